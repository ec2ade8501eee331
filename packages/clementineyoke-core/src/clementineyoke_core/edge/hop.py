"""A call that one node has forwarded to another."""

from __future__ import annotations

from typing import NamedTuple


class Hop(NamedTuple):
    """What the forwarding node states of a call; such a call is not forwarded again."""

    node_id: str
    """Node that the caller sent the call to."""
    runners_used: int
    """Runners that the call was sent to before."""
    state_revision: int
    """Revision of the desired state by which the call was admitted."""
    stream_version: str | None = None
    """Software version of the runners that may go on with the call's stream, if it has
    begun; None for any."""
