"""The operators command line."""

from __future__ import annotations
