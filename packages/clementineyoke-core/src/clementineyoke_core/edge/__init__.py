"""Decisions of the edge: routes, attempts, runners and streams, without any I/O."""

from __future__ import annotations
