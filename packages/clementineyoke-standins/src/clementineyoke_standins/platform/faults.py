"""Injected faults of the fake platform."""

from __future__ import annotations

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Faults that are active now; all off by default."""

    outage: bool = False
    """Respond to every call with status 503."""
    delay_ms: float = 0.0
    lost_replies: int = 0
    """Number of next writes that take effect before the connection is aborted."""
