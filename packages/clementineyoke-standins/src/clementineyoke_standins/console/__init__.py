"""Command-line entry points; they only parse options and print results."""

from __future__ import annotations
