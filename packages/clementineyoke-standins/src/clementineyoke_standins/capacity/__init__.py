"""Measure how state, bytes and processor time grow, and fit a line to each."""

from __future__ import annotations
