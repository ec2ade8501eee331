"""Monitor for the settings versions of all nodes, which must never decrease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from clementineyoke_cli.admin_error import AdminError
from clementineyoke_standins.demo.demo_scenario import make_admin_client
from clementineyoke_standins.demo.layout import admin_url

if TYPE_CHECKING:
    from clementineyoke_standins.demo.fleet_processes import FleetProcesses
    from clementineyoke_wire.bodies import HostBody

POLL_INTERVAL_S = 0.3
AGREEMENT_TIMEOUT_S = 10.0


class SettingsMonitor:
    """Count decreases of settings versions and compare the nodes' histories."""

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._fleet = fleet
        self._max_versions: dict[tuple[str, int], int] = {}
        self.reverts = 0

    async def run(self) -> None:
        """Poll all nodes until cancelled."""
        while True:
            await asyncio.gather(*map(self._poll_node, self._fleet.nodes))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def find_differences(self, accepted: dict[int, str]) -> list[str]:
        """Return how nodes differ from each other or from the accepted changes."""
        histories = await self._wait_for_agreement()
        if len({len(history) for history in histories}) != 1:
            return [
                f"nodes hold {sorted(len(history) for history in histories)} versions"
            ]
        notes = [{c["version"]: c["note"] for c in history} for history in histories]
        first, *others = notes
        differences = (
            ["nodes hold different changes"] if any(o != first for o in others) else []
        )
        lost = [v for v, note in accepted.items() if v in first and first[v] != note]
        return differences + [
            f"accepted version {version} is not in force" for version in lost
        ]

    async def _wait_for_agreement(self) -> list[list[dict[str, Any]]]:
        histories: list[list[dict[str, Any]]] = []
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + AGREEMENT_TIMEOUT_S
        while loop.time() < deadline_s:
            histories = await asyncio.gather(
                *map(self._fetch_history, self._fleet.nodes)
            )
            if len({history[-1]["version"] for history in histories if history}) == 1:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return histories

    async def _fetch_history(self, host: HostBody) -> list[dict[str, Any]]:
        client = make_admin_client(admin_url(host))
        history: list[dict[str, Any]] = await client.get("/admin/settings/history")
        return history

    async def _poll_node(self, host: HostBody) -> None:
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                status = await make_admin_client(admin_url(host)).get("/admin/status")
        except (AdminError, TimeoutError):
            return
        key = (host["host"], status["started"])
        version = status["settings_version"]
        if version < self._max_versions.get(key, 0):
            self.reverts += 1
        self._max_versions[key] = max(version, self._max_versions.get(key, 0))
