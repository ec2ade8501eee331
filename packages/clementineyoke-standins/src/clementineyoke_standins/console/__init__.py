"""Command lines of the tools; they only parse and print."""

from __future__ import annotations
