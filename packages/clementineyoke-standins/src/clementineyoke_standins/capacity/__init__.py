"""Capacity measurements: growth of memory, messages and CPU time, with fitted lines."""

from __future__ import annotations
