"""Look at every node's settings version all the time: it must never fall."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from clementineyoke_cli.admin_error import AdminError
from clementineyoke_standins.demo.evening import operator_client
from clementineyoke_standins.demo.layout import admin_url

if TYPE_CHECKING:
    from clementineyoke_standins.demo.fleet_processes import FleetProcesses
    from clementineyoke_wire.bodies import HostBody

LOOK_S = 0.3
AGREE_S = 10.0


class SettingsWatch:
    """Count reverts, and compare all nodes at the end."""

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._fleet = fleet
        self._highest: dict[tuple[str, int], int] = {}
        self.reverts = 0

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.gather(*map(self._look, self._fleet.nodes))
            await asyncio.sleep(LOOK_S)

    async def differences(self, accepted: dict[int, str]) -> list[str]:
        """Return how nodes differ from one another or from what was accepted."""
        histories = await self._wait_agreement()
        if len({len(history) for history in histories}) != 1:
            return [f"versions {sorted(len(history) for history in histories)}"]
        notes = [{c["version"]: c["note"] for c in history} for history in histories]
        first, *others = notes
        found = (
            ["nodes hold different changes"] if any(o != first for o in others) else []
        )
        lost = [v for v, note in accepted.items() if v in first and first[v] != note]
        return found + [
            f"accepted version {version} is not in force" for version in lost
        ]

    async def _wait_agreement(self) -> list[list[dict[str, Any]]]:
        histories: list[list[dict[str, Any]]] = []
        loop = asyncio.get_running_loop()
        until_s = loop.time() + AGREE_S
        while loop.time() < until_s:
            histories = await asyncio.gather(*map(self._history, self._fleet.nodes))
            if len({history[-1]["version"] for history in histories if history}) == 1:
                break
            await asyncio.sleep(LOOK_S)
        return histories

    async def _history(self, host: HostBody) -> list[dict[str, Any]]:
        client = operator_client(admin_url(host))
        history: list[dict[str, Any]] = await client.get("/admin/settings/history")
        return history

    async def _look(self, host: HostBody) -> None:
        try:
            async with asyncio.timeout(LOOK_S):
                status = await operator_client(admin_url(host)).get("/admin/status")
        except (AdminError, TimeoutError):
            return
        key = (host["host"], status["started"])
        version = status["settings_version"]
        if version < self._highest.get(key, 0):
            self.reverts += 1
        self._highest[key] = max(version, self._highest.get(key, 0))
