"""Where a node is and how its peers know it, whichever settings say so."""

from __future__ import annotations

from typing import Protocol


class NodePlace(Protocol):
    """What the state of a node needs of its settings."""

    @property
    def node_id(self) -> str:
        """The node's name."""

    @property
    def address(self) -> str:
        """IP number that callers and peers connect to."""

    @property
    def caller_port(self) -> int:
        """TCP port for callers."""

    @property
    def peer_port(self) -> int:
        """UDP port for peers."""

    @property
    def availability_zone(self) -> str:
        """The zone that the node is in."""

    @property
    def region(self) -> str:
        """The region that the node is in."""

    @property
    def calls_per_s(self) -> int:
        """Calls a second that the node bears; 0 if its settings do not tell."""

    @property
    def peer_keys(self) -> list[str]:
        """Keys of datagrams; the first signs, all are accepted."""

    @property
    def max_requests(self) -> int:
        """Calls in flight at which the node refuses more."""
