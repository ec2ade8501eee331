"""The settings that both kinds of nodes have in common."""

from __future__ import annotations

from typing import Protocol


class CommonNodeConfig(Protocol):
    """The settings that ``NodeState`` uses."""

    @property
    def node_id(self) -> str:
        """Unique name of the node."""

    @property
    def address(self) -> str:
        """IP address that callers and peers connect to."""

    @property
    def caller_port(self) -> int:
        """TCP port for callers."""

    @property
    def peer_port(self) -> int:
        """UDP port for peers."""

    @property
    def availability_zone(self) -> str:
        """Availability zone of the node."""

    @property
    def region(self) -> str:
        """Region of the node."""

    @property
    def calls_per_s(self) -> int:
        """Calls per second that the node can carry; 0 if unknown."""

    @property
    def peer_keys(self) -> list[str]:
        """Keys for datagrams; the first key signs, signatures by any are accepted."""

    @property
    def max_requests(self) -> int:
        """Maximum calls in flight; more are refused."""
