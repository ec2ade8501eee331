"""Store, runners, proxied links and node processes of one soak."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, Self

from aiohttp import web

from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_standins.edge.edge_runner import CrashManner, EdgeRunner
from clementineyoke_standins.edge.edge_store import EdgeStore
from clementineyoke_standins.soak.fault_proxy import FaultProxy
from clementineyoke_standins.soak.loopback import Endpoint, free_ports, node_address
from clementineyoke_standins.soak.node_process import NodeProcess
from clementineyoke_standins.soak.operator_state import OperatorState

if TYPE_CHECKING:
    from pathlib import Path

    from clementineyoke_standins.edge.edge_runner import ReceivedCall

LOCAL = "127.0.0.1"
NODE_PORTS = ("front", "ready", "directory", "control", "peer_port")
STOP_DEADLINE_S = 8
ZONES = 2
MS_PER_S = 1000.0
RESTARTS_PER_KEPT_ID = 4
RUNNER_RESTART_DELAY_S = 1.0
"""Time until a crashed runner accepts connections again."""
CRASHING_BODY = b"ends whoever runs it"
SHARED_PART = "5e0a"
CRASHING_PART = "bad0"
SOUND_PROMPTS = tuple((SHARED_PART, f"c0{number}") for number in range(3))
"""Shared parts of sound requests; the first one is that of crashing requests, too."""


def zone_name(number: int) -> str:
    """Return the availability zone of the node or runner with a given number."""
    return f"zone-{number % ZONES}"


def _now_ms() -> int:
    return round(time.time() * MS_PER_S)


class SoakFleet:
    """Start all parts of a soak and stop them on exit.

    Each node has a link of its own to the store; each runner has one link that all
    nodes share.
    """

    def __init__(
        self,
        *,
        nodes: int,
        runners: int,
        folder: Path,
        has_new_ids: bool = True,
        node_python: str = sys.executable,
        spare_nodes: int = 0,
    ) -> None:
        """Create a fleet in which most runners return under new IDs after crashes.

        Spare nodes are not part of it until ``add_node`` starts them.
        """
        self._folder = folder
        self._has_new_ids = has_new_ids
        self._restarts = 0
        self._requested_ids: dict[str, bool] = {}
        """Whether runners that have been ended on purpose return under new IDs."""
        self._stack = AsyncExitStack()
        self._tasks = BackgroundTasks()
        all_nodes = nodes + spare_nodes
        ports = free_ports(len(NODE_PORTS) + 1 + all_nodes + 2 * runners)
        self._node_ports = dict(zip(NODE_PORTS, ports, strict=False))
        self._store_endpoint = Endpoint(LOCAL, ports[len(NODE_PORTS)])
        link_ports = ports[len(NODE_PORTS) + 1 :]
        self.store = EdgeStore()
        self.state = OperatorState(store=self.store)
        self.runners = [
            EdgeRunner(runner_id=f"runner-{n}", zone=zone_name(n))
            for n in range(runners)
        ]
        self.runner_links: list[FaultProxy] = []
        self._runner_ports = link_ports[all_nodes : all_nodes + runners]
        self.store_links = [
            FaultProxy(
                listen=Endpoint(LOCAL, link_ports[n]), target=self._store_endpoint
            )
            for n in range(all_nodes)
        ]
        self.nodes = [
            NodeProcess(
                name=f"node-{n}",
                folder=folder,
                settings=self._settings(n),
                python=node_python,
            )
            for n in range(all_nodes)
        ]
        self._spare_nodes = [self.nodes.pop() for _ in range(spare_nodes)]

    async def __aenter__(self) -> Self:
        """Start the store and the runners, then the nodes."""
        self._folder.mkdir(parents=True, exist_ok=True)
        server = web.AppRunner(self.store.application(), shutdown_timeout=0.1)
        await server.setup()
        self._stack.push_async_callback(server.cleanup)
        await web.TCPSite(server, *self._store_endpoint).start()
        await self.state.write_initial()
        await self._stack.enter_async_context(self._tasks)
        for runner, port in zip(self.runners, self._runner_ports, strict=True):
            runner.crashing_bodies.add(CRASHING_BODY)
            runner.crashing_parts.add(CRASHING_PART)
            runner.on_crash = self._handle_crash
            await self._stack.enter_async_context(runner)
            link = FaultProxy(
                listen=Endpoint(LOCAL, port), target=Endpoint(LOCAL, runner.port)
            )
            self.runner_links.append(await self._stack.enter_async_context(link))
            await self.state.write_entry(runner, link.listen, born_ms=_now_ms())
        for store_link in self.store_links:
            await self._stack.enter_async_context(store_link)
        for node in self.nodes:
            await self._stack.enter_async_context(node)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop everything."""
        await self._stack.aclose()

    async def add_node(self) -> NodeProcess | None:
        """Start a spare node as a part of the fleet; return None if there is none."""
        if not self._spare_nodes:
            return None
        node = self._spare_nodes.pop()
        await self._stack.enter_async_context(node)
        self.nodes.append(node)
        return node

    @property
    def caller_endpoints(self) -> list[Endpoint]:
        """Endpoints for callers, in the order of the nodes."""
        port = self._node_ports["front"]
        return [Endpoint(node_address(n), port) for n in range(len(self.nodes))]

    def sender_of(self, runner: int, call: ReceivedCall) -> int:
        """Return the number of the node that sent a call to a runner."""
        source = self.runner_links[runner].sources[call.sender_port]
        return [node_address(n) for n in range(len(self.nodes))].index(source)

    def is_leaving(self, runner: EdgeRunner) -> bool:
        """Return whether a runner leaves or has left."""
        return runner.is_draining or runner.runner_id in self.state.runner_left_s

    async def announce_leave(self, runner: EdgeRunner) -> None:
        """Make a runner drain, as its responses and its entry tell."""
        link = self.runner_links[self.runners.index(runner)]
        runner.is_draining = True
        await self.state.write_entry(runner, link.listen, state="draining")

    def restart_runner(
        self, runner: EdgeRunner, *, version: str, has_new_id: bool
    ) -> None:
        """End a runner; it returns at the same address with another version."""
        runner.version = version
        self._requested_ids[runner.runner_id] = has_new_id
        runner.crash()

    def _handle_crash(self, runner: EdgeRunner) -> None:
        """Stop the link of a crashed runner and schedule the restart of both."""
        link = self.runner_links[self.runners.index(runner)]
        link.stop(is_orderly=runner.crash_manner is CrashManner.CLOSE)
        self._tasks.spawn(self._restart_runner(runner, link), name="start_runner")

    async def _restart_runner(self, runner: EdgeRunner, link: FaultProxy) -> None:
        await asyncio.sleep(RUNNER_RESTART_DELAY_S)
        runner.cold_until_s = 0.0
        former_id = runner.runner_id
        has_new_id = self._takes_new_id(former_id)
        if has_new_id:
            number = self.runners.index(runner)
            runner.runner_id = f"runner-{number}-{runner.crashes}"
        runner.port = 0  # its former port may be that of a connection by now
        await runner.start()
        link.target = Endpoint(LOCAL, runner.port)
        await link.start()
        if runner.runner_id not in self.state.runner_left_s:
            runner.is_draining = False
            await self.state.write_entry(runner, link.listen, born_ms=_now_ms())
        if has_new_id:
            await self.state.remove_entry_of(former_id)

    def _takes_new_id(self, former_id: str) -> bool:
        """Return whether a runner returns with a new ID, as after most restarts."""
        if former_id in self._requested_ids:
            return self._requested_ids.pop(former_id)
        self._restarts += 1
        has_left = former_id in self.state.runner_left_s
        is_kept = self._restarts % RESTARTS_PER_KEPT_ID == 0
        return self._has_new_ids and not has_left and not is_kept

    def _settings(self, number: int) -> dict[str, Any]:
        address = node_address(number)
        listeners = {
            name: f"{address}:{self._node_ports[name]}"
            for name in ("front", "ready", "directory", "control")
        }
        seed_address = f"{node_address(0)}:{self._node_ports['control']}"
        return {
            "node_id": f"node-{number}",
            "address": address,
            "runner_source_address": address,
            **listeners,
            "peer_port": self._node_ports["peer_port"],
            "availability_zone": zone_name(number),
            "region": "region",
            "store": str(self.store_links[number].listen),
            "seeds": [seed_address],
            "peer_keys": ["soak"],
            "heartbeat_ms": 1_200,
            "apply_within_ms": 2_000,
            "drain_within_ms": 2_000,
            "evacuate_within_ms": 2_000,
            "retry_ratio": 0.2,
            "retry_allowance": 50,
            "retry_window_s": 10,
            "cap_factor": 2,
            "stop_deadline_s": STOP_DEADLINE_S,
            "longest_keep_s": 5,
        }
