"""Command-line interface for operators."""

from __future__ import annotations
