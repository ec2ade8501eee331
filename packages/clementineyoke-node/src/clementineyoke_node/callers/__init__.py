"""The HTTP interface for callers."""

from __future__ import annotations
