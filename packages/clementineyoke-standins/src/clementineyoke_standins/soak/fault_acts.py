"""How each kind of fault is brought about, and undone."""

from __future__ import annotations

import asyncio
import signal
import time
from random import Random
from typing import TYPE_CHECKING

import aiohttp

from clementineyoke_standins.edge.edge_runner import Act
from clementineyoke_standins.edge.edge_store import StoreFault
from clementineyoke_standins.soak.audit import APPLY_S
from clementineyoke_standins.soak.caller import Caller
from clementineyoke_standins.soak.fault_proxy import LinkFault
from clementineyoke_standins.soak.operator_state import COLD_CALLS_PER_S, RouteKind
from clementineyoke_standins.soak.schedule import FaultKind
from clementineyoke_standins.soak.soak_fleet import CRASHING_BODY, zone_name

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementineyoke_standins.soak.caller import CallRecord
    from clementineyoke_standins.soak.fault_proxy import FaultProxy
    from clementineyoke_standins.soak.node_process import NodeProcess
    from clementineyoke_standins.soak.schedule import PlannedFault
    from clementineyoke_standins.soak.soak_fleet import SoakFleet

SPOILED = (
    Act.RESET,
    Act.FAIL,
    Act.CROSSED,
    Act.EXTRA,
    Act.NO_PROOF,
    Act.UNFRAMED_RESET,
    Act.REFUSE,
    Act.BUSY,
)
SPOILED_ANSWERS = 6
STORE_FAULTS = (
    StoreFault.BUSY,
    StoreFault.MANY,
    StoreFault.RESET,
    StoreFault.SILENT,
)
LARGEST_SKEW_S = 30
STORM_CHANGES = 12
STORM_GAP_S = 0.05
TORN_SHARE = 0.6
CRASHING_KINDS = (RouteKind.NON_IDEMPOTENT, RouteKind.STREAM)
CRASHING_GAP_S = 0.3
LONG_COLD_MS = 60_000
"""Longer than a seed: the runner's next word ends it."""
STORE_POLL_S = 0.05
SHED_RETRY_AFTER_S = 2.0


async def send_crashing(
    caller: Caller, session: aiohttp.ClientSession, *, node: int, kind: RouteKind
) -> CallRecord:
    """Send a request that ends each runner which begins to run it."""
    return await caller.call(
        session,
        node=node,
        kind=kind,
        key=caller.good_key,
        request_body=CRASHING_BODY,
    )


class FaultActs:
    """Play planned faults on a fleet, each until it is undone."""

    def __init__(self, *, fleet: SoakFleet, stop_limit_s: float) -> None:
        self._fleet = fleet
        self._stop_limit_s = stop_limit_s
        self._lock = asyncio.Lock()
        self.crashing: list[Caller] = []
        """Those whose requests end their runners, one for each time."""
        self._acts: dict[FaultKind, Callable[[PlannedFault], Awaitable[None]]] = {
            FaultKind.NODE_STOP: self._stop_node,
            FaultKind.NODE_KILL: self._kill_node,
            FaultKind.NODE_PAUSE: self._pause_node,
            FaultKind.NODE_CLOCK: self._skew_node,
            FaultKind.ALL_KILL: self._kill_all,
            FaultKind.HUP: self._hup,
            FaultKind.SETTINGS_TORN: self._tear_settings,
            FaultKind.STORE_LINK: self._break_store_link,
            FaultKind.STORE_AWAY: self._take_store_away,
            FaultKind.STORE_FORGETS: self._forget,
            FaultKind.RUNNER_LINK: self._break_runner_link,
            FaultKind.RUNNER_ANSWERS: self._spoil_answers,
            FaultKind.RUNNER_LEAVES: self._leave,
            FaultKind.KEY_CHANGE: self._change_key,
            FaultKind.STATE_STORM: self._storm,
            FaultKind.CRASHING_REQUEST: self._send_crashing,
            FaultKind.ZONE_EMPTIED: self._empty_zone,
            FaultKind.RUNNER_COLD: self._turn_cold,
            FaultKind.RUNNER_SHEDS: self._shed,
            FaultKind.RUNNER_DRAINS_UNLISTED: self._drain_unlisted,
        }

    async def play(self, fault: PlannedFault) -> None:
        """Bring a fault about and undo it after its time."""
        await self._acts[fault.kind](fault)

    async def _stop_node(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        if node.is_running:
            await node.stop(limit_s=self._stop_limit_s)
            await self._restart(node, fault)

    async def _kill_node(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        await node.kill()
        await self._restart(node, fault)

    async def _skew_node(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        await node.kill()
        node.skew_s = fault.pick % (2 * LARGEST_SKEW_S) - LARGEST_SKEW_S
        await self._restart(node, fault)

    async def _kill_all(self, fault: PlannedFault) -> None:
        await asyncio.gather(*(node.kill() for node in self._fleet.nodes))
        for node in self._fleet.nodes:
            await self._restart(node, fault._replace(for_s=0.0))

    async def _pause_node(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        node.send(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        node.send(signal.SIGCONT)

    async def _hup(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        node.write_settings()
        node.send(signal.SIGHUP)

    async def _tear_settings(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        node.write_settings(share=TORN_SHARE)
        node.send(signal.SIGHUP)
        await asyncio.sleep(fault.for_s)
        node.write_settings()

    async def _break_store_link(self, fault: PlannedFault) -> None:
        links = self._fleet.store_links
        await self._break(links[fault.pick % len(links)], fault)

    async def _break_runner_link(self, fault: PlannedFault) -> None:
        links = self._fleet.runner_links
        await self._break(links[fault.pick % len(links)], fault)

    async def _break(self, link: FaultProxy, fault: PlannedFault) -> None:
        faults = list(LinkFault)
        link.begin(faults[fault.pick // 16 % len(faults)])
        await asyncio.sleep(fault.for_s)
        link.heal()

    async def _take_store_away(self, fault: PlannedFault) -> None:
        self._fleet.store.fault = STORE_FAULTS[fault.pick % len(STORE_FAULTS)]
        await asyncio.sleep(fault.for_s)
        self._fleet.store.fault = None

    async def _forget(self, fault: PlannedFault) -> None:
        self._fleet.store.is_deaf = True
        await asyncio.sleep(min(1.0, fault.for_s))
        self._fleet.store.is_deaf = False
        self._fleet.store.forget_history()

    async def _spoil_answers(self, fault: PlannedFault) -> None:
        runner = self._fleet.runners[fault.pick % len(self._fleet.runners)]
        first = fault.pick // 16
        runner.script = [
            SPOILED[(first + n) % len(SPOILED)] for n in range(SPOILED_ANSWERS)
        ]
        await asyncio.sleep(fault.for_s)
        runner.script = []

    async def _leave(self, fault: PlannedFault) -> None:
        """Let a runner leave for good, unless it would be one of the last two."""
        number = self._pick_staying(fault)
        if number is not None:
            await self._leave_for_good(number, for_s=fault.for_s)

    async def _drain_unlisted(self, fault: PlannedFault) -> None:
        """Let a runner drain, and its entry say so only after a while."""
        number = self._pick_staying(fault)
        if number is None:
            return
        self._fleet.runners[number].is_draining = True
        await asyncio.sleep(APPLY_S + fault.for_s)
        await self._leave_for_good(number, for_s=fault.for_s)

    async def _leave_for_good(self, number: int, *, for_s: float) -> None:
        runner, link = self._fleet.runners[number], self._fleet.runner_links[number]
        runner.is_draining = True
        await self._fleet.state.enter(runner, link.listen, state="draining")
        await asyncio.sleep(for_s)
        await self._fleet.state.remove(runner)

    def _pick_staying(self, fault: PlannedFault) -> int | None:
        staying = [
            number
            for number, runner in enumerate(self._fleet.runners)
            if not runner.is_draining
        ]
        return None if len(staying) <= 2 else staying[fault.pick % len(staying)]

    async def _shed(self, fault: PlannedFault) -> None:
        """Let a runner refuse all calls for a while, each with a time to back off."""
        runner = self._fleet.runners[fault.pick % len(self._fleet.runners)]
        runner.is_shedding, runner.retry_after_s = True, SHED_RETRY_AFTER_S
        await asyncio.sleep(fault.for_s)
        runner.is_shedding, runner.retry_after_s = False, 0.0

    async def _change_key(self, fault: PlannedFault) -> None:
        async with self._lock:
            await self._fleet.state.change_key()

    async def _storm(self, fault: PlannedFault) -> None:
        async with self._lock:
            await self._fleet.state.storm(STORM_CHANGES, gap_s=STORM_GAP_S)

    async def _empty_zone(self, fault: PlannedFault) -> None:
        zone = zone_name(fault.pick)
        await self._fleet.state.empty_zone(zone, for_s=2 * APPLY_S + fault.for_s)

    async def _turn_cold(self, fault: PlannedFault) -> None:
        """Let a runner say that it is cold, and end at more calls than it bears.

        The limit binds once its word can be known: nobody hears it while the store is
        away.
        """
        number = fault.pick % len(self._fleet.runners)
        runner, link = self._fleet.runners[number], self._fleet.runner_links[number]
        if runner.runner_id in self._fleet.state.left:
            return
        await self._fleet.state.enter(runner, link.listen, cold_ms=LONG_COLD_MS)
        await self._wait_heard()
        runner.cold_calls_per_s = COLD_CALLS_PER_S
        runner.cold_until_s = time.monotonic() + fault.for_s
        await asyncio.sleep(fault.for_s)
        if runner.runner_id not in self._fleet.state.left:
            await self._fleet.state.enter(runner, link.listen)

    async def _wait_heard(self) -> None:
        """Wait until the store has served for as long as its news may take."""
        store = self._fleet.store
        served_since_s = time.monotonic()
        while time.monotonic() < served_since_s + APPLY_S:
            if store.fault is not None or store.is_deaf:
                served_since_s = time.monotonic()
            await asyncio.sleep(STORE_POLL_S)

    async def _send_crashing(self, fault: PlannedFault) -> None:
        """Let a request that ends its runners come again and again, at any node."""
        ends_s = time.monotonic() + fault.for_s
        kind = CRASHING_KINDS[fault.pick % len(CRASHING_KINDS)]
        rng = Random(fault.pick)
        caller = self.new_crashing()
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < ends_s:
                node = rng.randrange(len(self._fleet.nodes))
                await send_crashing(caller, session, node=node, kind=kind)
                await asyncio.sleep(CRASHING_GAP_S)

    def new_crashing(self) -> Caller:
        """Return a caller with ids of its own for such requests."""
        caller = Caller(
            name=f"crashing{len(self.crashing)}",
            endpoints=self._fleet.fronts,
            state=self._fleet.state,
            rng=Random(0),
        )
        self.crashing.append(caller)
        return caller

    async def _restart(self, node: NodeProcess, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.for_s)
        if not node.is_running:
            await node.start()

    def node_of(self, fault: PlannedFault) -> int | None:
        """Return the number of the node that is restarted or paused; None for all."""
        if fault.kind is FaultKind.ALL_KILL:
            return None
        return fault.pick % len(self._fleet.nodes)

    def _node(self, fault: PlannedFault) -> NodeProcess:
        return self._fleet.nodes[fault.pick % len(self._fleet.nodes)]
