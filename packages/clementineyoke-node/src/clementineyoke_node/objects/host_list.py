"""The platform's list of live and leaving hosts; it lags."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import HostBody


class HostChanges(NamedTuple):
    """What changed since a revision."""

    revision: int
    is_whole: bool
    """Whether these are all the hosts, not only the changed ones."""
    hosts: list[HostBody]
    gone: list[str]


class HostList(Protocol):
    """Hosts with role, address, zone and state. A call may raise PlatformError."""

    async def watch_hosts(self, *, after_revision: int) -> HostChanges:
        """Wait for changes after a revision; 0 asks for the whole list at once."""
        ...
