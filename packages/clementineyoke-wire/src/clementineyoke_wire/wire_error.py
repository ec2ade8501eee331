"""Error for messages from other nodes that are not valid."""

from __future__ import annotations


class WireError(Exception):
    """Failed verification or decoding of a message from a peer."""

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
