"""Routing decisions of the edge: routes, attempts, runners and streams; no I/O."""

from __future__ import annotations
