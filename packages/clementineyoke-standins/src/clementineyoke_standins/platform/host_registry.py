"""Host list of the fake platform, where changes become visible after a lag."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import HostBody


class HostRegistry:
    """Stores hosts by name; ``put`` and ``remove`` take effect after ``lag_ms``."""

    def __init__(self, *, lag_ms: float = 0.0) -> None:
        self.lag_ms = lag_ms
        self.revision = 0
        self.changed = asyncio.Condition()
        self._hosts: dict[str, HostBody] = {}
        self._revisions: dict[str, int] = {}

    async def put(self, host: HostBody) -> None:
        """Add or replace a host after the lag."""
        await asyncio.sleep(self.lag_ms / 1000)
        self._hosts[host["host"]] = host
        await self._record_change(host["host"])

    async def remove(self, name: str) -> None:
        """Remove a host after the lag."""
        await asyncio.sleep(self.lag_ms / 1000)
        self._hosts.pop(name, None)
        await self._record_change(name)

    def get(self, name: str) -> HostBody | None:
        """Return the host with a name, or None."""
        return self._hosts.get(name)

    def changes_after(self, revision: int) -> tuple[list[HostBody], list[str]]:
        """Return the hosts changed and the names removed after a revision."""
        names = [name for name, at in self._revisions.items() if at > revision]
        hosts = [self._hosts[name] for name in names if name in self._hosts]
        return hosts, [name for name in names if name not in self._hosts]

    async def _record_change(self, name: str) -> None:
        self.revision += 1
        self._revisions[name] = self.revision
        async with self.changed:
            self.changed.notify_all()
