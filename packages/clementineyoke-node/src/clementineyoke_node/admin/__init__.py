"""The HTTP interface for operators and peers."""

from __future__ import annotations
