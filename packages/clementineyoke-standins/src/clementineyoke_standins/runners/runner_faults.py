"""Injected faults of a fake runner."""

from __future__ import annotations

import msgspec


class RunnerFaults(msgspec.Struct, kw_only=True):
    """Number of next requests to fail in each way, and lasting faults; initially 0."""

    break_before: int = 0
    """Execute the request and abort the connection before the first byte."""
    break_after: int = 0
    """Abort the connection after a part of the response."""
    crossed: int = 0
    """Respond with the id of another request."""
    no_end_mark: int = 0
    """Complete a stream without its end marker."""
    draining: bool = False
    """Reject every chat with a header that reports draining."""
    padding_bytes: int = 0
    """Padding of a plain service's responses, which are then sent in two parts."""
    stall_ms: float = 0.0
    """Delay of every response before its first byte."""
