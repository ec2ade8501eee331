"""Interface of the platform's list of live and leaving hosts, which may lag."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import HostBody


class HostChanges(NamedTuple):
    """Changes of the host list since a revision."""

    revision: int
    is_full: bool
    """Whether ``hosts`` is the complete list instead of only the changes."""
    hosts: list[HostBody]
    removed: list[str]


class HostList(Protocol):
    """The hosts with role, address, zone and state.

    Calls may raise ``PlatformError``.
    """

    async def watch_hosts(self, *, after_revision: int) -> HostChanges:
        """Wait for changes after a revision; 0 returns the full list immediately."""
        ...
