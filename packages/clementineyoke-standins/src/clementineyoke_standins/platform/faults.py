"""Switches that make the stand-in platform fail."""

from __future__ import annotations

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True):
    """What goes wrong now; all off at the start."""

    outage: bool = False
    """Every call is answered 503."""
    delay_ms: float = 0.0
    lost_replies: int = 0
    """So many next writes take effect and the connection then breaks."""
