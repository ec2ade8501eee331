"""Switches that make a stand-in runner fail."""

from __future__ import annotations

import msgspec


class RunnerFaults(msgspec.Struct, kw_only=True):
    """How many of the next exchanges fail in each way; all 0 at the start."""

    break_before: int = 0
    """Execute, then break the connection before the first byte."""
    break_after: int = 0
    """Break the connection after a part of the answer."""
    crossed: int = 0
    """Answer with another request's id."""
    no_end_mark: int = 0
    """End a stream in order, but without its end mark."""
    draining: bool = False
    """Say so on every answer, and take no new work."""
    padding_bytes: int = 0
    """Make a plain service's answer so much longer, and send it in two parts."""
    stall_ms: float = 0.0
    """Wait so long before the first byte, every time."""
