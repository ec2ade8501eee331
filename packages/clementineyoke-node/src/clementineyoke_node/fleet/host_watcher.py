"""Watch the platform's host list and update the membership and the runner table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from clementineyoke_core.node import Node
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_node.objects.platform_error import PlatformError
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.membership import Membership
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.objects.host_list import HostChanges, HostList
    from clementineyoke_node.timers.timer_service import TimerService
    from clementineyoke_wire.bodies import HostBody

RETRY_DELAY_S = 1.0
ENTRY_ROLE = "entry"
LEAVING = "leaving"


class HostWatcher:
    """Watches the host list; during an outage the last known list stays in effect."""

    def __init__(
        self,
        *,
        host_list: HostList,
        membership: Membership,
        table: RunnerTable,
        timers: TimerService,
        on_change: Callable[[], None],
    ) -> None:
        self._host_list = host_list
        self._membership = membership
        self._table = table
        self._timers = timers
        self._on_change = on_change
        self._hosts: dict[str, HostBody] = {}
        self._revision = 0
        self._tasks = BackgroundTasks()
        self.ready = asyncio.Event()
        """Set once a host list has been applied."""

    async def __aenter__(self) -> Self:
        """Start watching."""
        self._tasks.spawn(self._follow(), name="host_watcher")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop watching."""
        await self._tasks.__aexit__(*exc_info)

    async def _follow(self) -> None:
        while True:
            try:
                changes = await self._host_list.watch_hosts(
                    after_revision=self._revision
                )
            except PlatformError as error:
                log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._apply_changes(changes)

    def _apply_changes(self, changes: HostChanges) -> None:
        self._revision = changes.revision
        if changes.is_full:
            self._hosts = {}
        self._hosts.update({host["host"]: host for host in changes.hosts})
        for name in changes.removed:
            self._hosts.pop(name, None)
        if changes.is_full or changes.hosts or changes.removed:
            self._apply_hosts()
            log_event(Event.HOSTS_CHANGED, revision=self._revision)
        self.ready.set()

    def _apply_hosts(self) -> None:
        nodes: list[Node] = []
        leaving_nodes: list[Node] = []
        runners: list[Runner] = []
        leaving_runners: list[Runner] = []
        for host in self._hosts.values():
            is_leaving = host["state"] == LEAVING
            if host["role"] == ENTRY_ROLE:
                (leaving_nodes if is_leaving else nodes).append(_to_node(host))
            else:
                (leaving_runners if is_leaving else runners).append(_to_runner(host))
        self._membership.apply_host_list(live=nodes, leaving=leaving_nodes)
        self._table.apply_host_list(
            live=runners, leaving=leaving_runners, now_ms=self._timers.now_ms()
        )
        self._on_change()


def _to_node(host: HostBody) -> Node:
    return Node(
        node_id=host["host"],
        address=host["address"],
        caller_port=host["port"],
        peer_port=host["peer_port"],
        availability_zone=host["availability_zone"],
        region=host["region"],
    )


def _to_runner(host: HostBody) -> Runner:
    return Runner(
        runner_id=host["host"],
        address=host["address"],
        port=host["port"],
        availability_zone=host["availability_zone"],
        region=host["region"],
        kind=RunnerKind(host["role"]),
        pool=host["pool"],
        slots=host["slots"],
    )
