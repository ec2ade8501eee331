"""Parsing of arguments and output of results."""

from __future__ import annotations
