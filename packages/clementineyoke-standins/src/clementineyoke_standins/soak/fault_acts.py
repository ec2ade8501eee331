"""Injection and removal of each kind of fault."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import aiohttp

from clementineyoke_standins.edge.edge_runner import ScriptedResponse
from clementineyoke_standins.edge.edge_store import StoreFault
from clementineyoke_standins.edge.endless_answers import ENDLESS_ANSWERS
from clementineyoke_standins.edge.malformed_answers import MALFORMED_FORMS, send_answer
from clementineyoke_standins.edge.source_filter import LinkCut
from clementineyoke_standins.soak.audit import (
    APPLY_DEADLINE_S,
    CUT_DETECTION_S,
    NodeCut,
    Span,
)
from clementineyoke_standins.soak.caller import Caller
from clementineyoke_standins.soak.fault_proxy import LinkFault
from clementineyoke_standins.soak.loopback import node_address
from clementineyoke_standins.soak.operator_state import COLD_CALLS_PER_S, RouteKind
from clementineyoke_standins.soak.releases import ReleaseInjector
from clementineyoke_standins.soak.schedule import ALL_NODES_KILLED, FaultKind
from clementineyoke_standins.soak.soak_fleet import (
    CRASHING_BODY,
    CRASHING_PART,
    SHARED_PART,
    zone_name,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementineyoke_standins.edge.edge_runner import EdgeRunner
    from clementineyoke_standins.soak.caller import CallRecord
    from clementineyoke_standins.soak.fault_proxy import FaultProxy
    from clementineyoke_standins.soak.node_process import NodeProcess
    from clementineyoke_standins.soak.schedule import PlannedFault
    from clementineyoke_standins.soak.soak_fleet import SoakFleet

FAULTY_RESPONSES = (
    ScriptedResponse.RESET,
    ScriptedResponse.FAIL,
    ScriptedResponse.CROSSED,
    ScriptedResponse.EXTRA,
    ScriptedResponse.NO_PROOF,
    ScriptedResponse.UNFRAMED_RESET,
    ScriptedResponse.REFUSE,
    ScriptedResponse.BUSY,
)
FAULTY_RESPONSE_COUNT = 6
STORE_FAULTS = (
    StoreFault.UNAVAILABLE,
    StoreFault.TOO_MANY_REQUESTS,
    StoreFault.RESET,
    StoreFault.SILENT,
)
MAX_SKEW_S = 30
RAPID_STATE_VERSIONS = 12
RAPID_STATE_INTERVAL_S = 0.05
TRUNCATED_FRACTION = 0.6
CRASHING_ROUTE_KINDS = (RouteKind.NON_IDEMPOTENT, RouteKind.STREAM)
CRASHING_INTERVAL_S = 0.3
LONG_COLD_MS = 60_000
"""Longer than a seed; the cold phase ends with the runner's next entry."""
STORE_POLL_INTERVAL_S = 0.05
SHED_RETRY_AFTER_S = 2.0
MAX_REJECTIONS_PER_S = 2
BRITTLE_NOTICE_S = 3.0
"""Time for which runners say that they are brittle before they are."""
BRITTLE_ROOM = 3
SILENCE_S = 1.1
FOREIGN_NAME = "foreign"
RELEASED_VERSION = "v3"
RELEASE_LEAD_S = 1.0
"""Time from the restart of runners at a new version until all nodes are killed."""
ENDLESS_KINDS = [name for name in ENDLESS_ANSWERS if "whole" not in name]
"""Without whole answers, which would not be those of their calls."""


async def send_crashing_request(
    caller: Caller, session: aiohttp.ClientSession, *, node: int, kind: RouteKind
) -> CallRecord:
    """Send a request that crashes each runner which starts to execute it."""
    return await caller.call(
        session,
        node=node,
        kind=kind,
        key=caller.current_key,
        request_body=CRASHING_BODY,
        crashes_runners=True,
    )


async def send_crashing_part(
    caller: Caller, session: aiohttp.ClientSession, *, node: int, kind: RouteKind
) -> CallRecord:
    """Send a request alike to no other, with a part that crashes its runners."""
    return await caller.call(
        session,
        node=node,
        kind=kind,
        key=caller.current_key,
        request_body=f"request {len(caller.records)}".encode(),
        prompt=(SHARED_PART, CRASHING_PART),
        crashes_runners=True,
    )


class FaultInjector:
    """Inject planned faults into a fleet and remove them again."""

    def __init__(self, *, fleet: SoakFleet, stop_timeout_s: float) -> None:
        self._fleet = fleet
        self._stop_timeout_s = stop_timeout_s
        self._lock = asyncio.Lock()
        self.node_cuts: list[NodeCut] = []
        self.brittle_spans: list[float] = []
        """Length of each time in which runners were brittle."""
        self.pauses: list[Span] = []
        """Times in which runners stopped working."""
        self.crashing_callers: list[Caller] = []
        """Callers of requests that crash runners, one for each such fault."""
        self._releases = ReleaseInjector(fleet=fleet)
        self._handlers: dict[FaultKind, Callable[[PlannedFault], Awaitable[None]]] = {
            FaultKind.NODE_STOP: self._stop_node,
            FaultKind.NODE_KILL: self._kill_node,
            FaultKind.NODE_PAUSE: self._pause_node,
            FaultKind.NODE_CLOCK: self._skew_clock,
            FaultKind.ALL_KILL: self._kill_all,
            FaultKind.RELEASE_KILL: self._kill_all_in_release,
            FaultKind.REPLACE_KILL: self._releases.inject,
            FaultKind.HUP: self._reload_settings,
            FaultKind.SETTINGS_TORN: self._truncate_settings,
            FaultKind.STORE_LINK: self._break_store_link,
            FaultKind.STORE_AWAY: self._fail_store,
            FaultKind.STORE_FORGETS: self._drop_store_history,
            FaultKind.RUNNER_LINK: self._break_runner_link,
            FaultKind.RUNNER_ANSWERS: self._inject_faulty_responses,
            FaultKind.RUNNER_LEAVES: self._remove_runner,
            FaultKind.KEY_CHANGE: self._change_key,
            FaultKind.STATE_STORM: self._write_states_rapidly,
            FaultKind.CRASHING_REQUEST: partial(
                self._send_crashing_requests, send_crashing_request
            ),
            FaultKind.CRASHING_PART: partial(
                self._send_crashing_requests, send_crashing_part
            ),
            FaultKind.ZONE_EMPTIED: self._evacuate_zone,
            FaultKind.RUNNER_COLD: self._start_cold_phase,
            FaultKind.RUNNER_SHEDS: self._shed_calls,
            FaultKind.RUNNER_DRAINS_UNLISTED: self._drain_unlisted,
            FaultKind.NODE_CUT: self._cut_off_nodes,
            FaultKind.RUNNERS_BRITTLE: self._make_brittle,
            FaultKind.RUNNER_SILENT: self._silence_runner,
            FaultKind.RUNNERS_PAUSE: self._pause_runners,
            FaultKind.FOREIGN_ENTRY: self._add_foreign_entry,
            FaultKind.RUNNER_ENDLESS: self._answer_without_end,
            FaultKind.STORE_ENDLESS: self._store_without_end,
            FaultKind.RUNNER_MALFORMED: self._answer_malformed,
        }

    async def inject(self, fault: PlannedFault) -> None:
        """Inject a fault and remove it after its duration."""
        await self._handlers[fault.kind](fault)

    async def _stop_node(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        if node.is_running:
            await node.stop(timeout_s=self._stop_timeout_s)
            await self._restart_node(node, fault)

    async def _kill_node(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        await node.kill()
        await self._restart_node(node, fault)

    async def _skew_clock(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        await node.kill()
        node.skew_s = fault.selector % (2 * MAX_SKEW_S) - MAX_SKEW_S
        await self._restart_node(node, fault)

    async def _kill_all(self, fault: PlannedFault) -> None:
        await asyncio.gather(*(node.kill() for node in self._fleet.nodes))
        for node in self._fleet.nodes:
            await self._restart_node(node, fault._replace(duration_s=0.0))

    async def _kill_all_in_release(self, fault: PlannedFault) -> None:
        """Restart runners at a new version and kill all nodes meanwhile."""
        runners = self._fleet.runners
        half = len(runners) // 2
        self._release(runners[:half])
        await asyncio.sleep(RELEASE_LEAD_S)
        await asyncio.gather(*(node.kill() for node in self._fleet.nodes))
        if fault.selector % 2:
            self._release(runners[half:])
        for node in self._fleet.nodes:
            await self._restart_node(node, fault._replace(duration_s=0.0))

    def _release(self, runners: list[EdgeRunner]) -> None:
        for runner in runners:
            if runner.runner_id not in self._fleet.state.runner_left_s:
                self._fleet.restart_runner(
                    runner, version=RELEASED_VERSION, has_new_id=False
                )

    async def _pause_node(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        node.send(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        node.send(signal.SIGCONT)

    async def _reload_settings(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        node.write_settings()
        node.send(signal.SIGHUP)

    async def _truncate_settings(self, fault: PlannedFault) -> None:
        node = self._node(fault)
        node.write_settings(fraction=TRUNCATED_FRACTION)
        node.send(signal.SIGHUP)
        await asyncio.sleep(fault.duration_s)
        node.write_settings()

    async def _break_store_link(self, fault: PlannedFault) -> None:
        links = self._fleet.store_links
        await self._inject_link_fault(links[fault.selector % len(links)], fault)

    async def _break_runner_link(self, fault: PlannedFault) -> None:
        links = self._fleet.runner_links
        await self._inject_link_fault(links[fault.selector % len(links)], fault)

    async def _inject_link_fault(self, link: FaultProxy, fault: PlannedFault) -> None:
        faults = list(LinkFault)
        link.start_fault(faults[fault.selector // 16 % len(faults)])
        await asyncio.sleep(fault.duration_s)
        link.clear_fault()

    async def _fail_store(self, fault: PlannedFault) -> None:
        self._fleet.store.fault = STORE_FAULTS[fault.selector % len(STORE_FAULTS)]
        await asyncio.sleep(fault.duration_s)
        self._fleet.store.fault = None

    async def _drop_store_history(self, fault: PlannedFault) -> None:
        self._fleet.store.suspends_watches = True
        await asyncio.sleep(min(1.0, fault.duration_s))
        self._fleet.store.suspends_watches = False
        self._fleet.store.drop_history()

    async def _inject_faulty_responses(self, fault: PlannedFault) -> None:
        runner = self._fleet.runners[fault.selector % len(self._fleet.runners)]
        first = fault.selector // 16
        runner.script = [
            FAULTY_RESPONSES[(first + n) % len(FAULTY_RESPONSES)]
            for n in range(FAULTY_RESPONSE_COUNT)
        ]
        await asyncio.sleep(fault.duration_s)
        runner.script = []

    async def _remove_runner(self, fault: PlannedFault) -> None:
        """Drain and remove a runner, unless only two active ones remain."""
        number = self._select_active_runner(fault)
        if number is not None:
            await self._drain_and_remove(number, duration_s=fault.duration_s)

    async def _drain_unlisted(self, fault: PlannedFault) -> None:
        """Drain a runner whose entry in the store is updated only later."""
        number = self._select_active_runner(fault)
        if number is None:
            return
        self._fleet.runners[number].is_draining = True
        await asyncio.sleep(APPLY_DEADLINE_S + fault.duration_s)
        await self._drain_and_remove(number, duration_s=fault.duration_s)

    async def _drain_and_remove(self, number: int, *, duration_s: float) -> None:
        runner = self._fleet.runners[number]
        await self._fleet.announce_leave(runner)
        await asyncio.sleep(duration_s)
        await self._fleet.state.remove_entry(runner)

    def _select_active_runner(self, fault: PlannedFault) -> int | None:
        active = [
            number
            for number, runner in enumerate(self._fleet.runners)
            if not runner.is_draining
        ]
        return None if len(active) <= 2 else active[fault.selector % len(active)]

    async def _shed_calls(self, fault: PlannedFault) -> None:
        """Make a runner refuse all calls with ``Retry-After`` for a while."""
        runner = self._fleet.runners[fault.selector % len(self._fleet.runners)]
        runner.is_shedding, runner.retry_after_s = True, SHED_RETRY_AFTER_S
        await asyncio.sleep(fault.duration_s)
        runner.is_shedding, runner.retry_after_s = False, 0.0

    async def _cut_off_nodes(self, fault: PlannedFault) -> None:
        """Cut the links of up to all but one nodes to all runners."""
        nodes = len(self._fleet.nodes)
        first, count = fault.selector % nodes, 1 + fault.selector // nodes % (nodes - 1)
        cut = [(first + n) % nodes for n in range(count)]
        addresses = [node_address(number) for number in cut]
        how = list(LinkCut)[fault.selector // 16 % len(LinkCut)]
        start_s = time.monotonic()
        for link in self._fleet.runner_links:
            link.cut_links(addresses, how)
        await asyncio.sleep(CUT_DETECTION_S + fault.duration_s)
        for link in self._fleet.runner_links:
            link.cut_links((), LinkCut.SILENT)
        self.node_cuts.append(NodeCut(cut, start_s, time.monotonic()))

    async def _make_brittle(self, fault: PlannedFault) -> None:
        """Make runners fall over if they reject more calls than they say."""
        for runner in self._fleet.runners:
            runner.brittle_header = str(MAX_REJECTIONS_PER_S)
        await asyncio.sleep(BRITTLE_NOTICE_S)
        for runner in self._fleet.runners:
            runner.max_running = BRITTLE_ROOM
            runner.max_rejections_per_s = MAX_REJECTIONS_PER_S
        await asyncio.sleep(fault.duration_s)
        for runner in self._fleet.runners:
            runner.brittle_header = ""
            runner.max_running = runner.max_rejections_per_s = None
        self.brittle_spans.append(fault.duration_s)

    async def _silence_runner(self, fault: PlannedFault) -> None:
        links = self._fleet.runner_links
        link = links[fault.selector % len(links)]
        addresses = [node_address(n) for n in range(len(self._fleet.nodes))]
        link.cut_links(addresses, LinkCut.SILENT)
        await asyncio.sleep(SILENCE_S)
        link.cut_links((), LinkCut.SILENT)

    async def _pause_runners(self, fault: PlannedFault) -> None:
        count = 1 + fault.selector % len(self._fleet.runners)
        runners = self._fleet.runners[:count]
        start_s = time.monotonic()
        for runner in runners:
            runner.fall_silent()
        await asyncio.sleep(SILENCE_S)
        for runner in runners:
            runner.go_on()
        self.pauses.append(Span(start_s, time.monotonic()))

    async def _add_foreign_entry(self, fault: PlannedFault) -> None:
        await self._fleet.state.write_foreign_entry(FOREIGN_NAME)
        await asyncio.sleep(APPLY_DEADLINE_S + fault.duration_s)
        await self._fleet.state.remove_foreign_entry(FOREIGN_NAME)

    async def _answer_without_end(self, fault: PlannedFault) -> None:
        runner = self._fleet.runners[fault.selector % len(self._fleet.runners)]
        name = ENDLESS_KINDS[fault.selector // 16 % len(ENDLESS_KINDS)]
        former, runner.raw_answer = runner.raw_answer, ENDLESS_ANSWERS[name].send
        await asyncio.sleep(fault.duration_s)
        runner.raw_answer = former

    async def _answer_malformed(self, fault: PlannedFault) -> None:
        """Have a runner that takes calls answer each in another malformed form."""
        active = [runner for runner in self._fleet.runners if not runner.is_draining]
        runner = active[fault.selector % len(active)]
        forms = itertools.cycle(MALFORMED_FORMS)
        former = runner.raw_answer
        runner.raw_answer = lambda call: send_answer(call, next(forms))
        await asyncio.sleep(fault.duration_s)
        runner.raw_answer = former

    async def _store_without_end(self, fault: PlannedFault) -> None:
        self._fleet.store.is_endless = True
        await asyncio.sleep(fault.duration_s)
        self._fleet.store.is_endless = False

    async def _change_key(self, fault: PlannedFault) -> None:
        async with self._lock:
            await self._fleet.state.change_key()

    async def _write_states_rapidly(self, fault: PlannedFault) -> None:
        async with self._lock:
            await self._fleet.state.write_versions(
                RAPID_STATE_VERSIONS, interval_s=RAPID_STATE_INTERVAL_S
            )

    async def _evacuate_zone(self, fault: PlannedFault) -> None:
        zone = zone_name(fault.selector)
        await self._fleet.state.evacuate_zone(
            zone, duration_s=2 * APPLY_DEADLINE_S + fault.duration_s
        )

    async def _start_cold_phase(self, fault: PlannedFault) -> None:
        """Report a runner as cold, and crash it if it gets more calls than its limit.

        The limit applies once nodes can know of it: while the store is unavailable,
        they cannot read the entry.
        """
        number = fault.selector % len(self._fleet.runners)
        runner, link = self._fleet.runners[number], self._fleet.runner_links[number]
        if runner.runner_id in self._fleet.state.runner_left_s:
            return
        crashes = -1
        while crashes != runner.crashes:
            # A restart writes an entry that is not cold.
            crashes = runner.crashes
            await self._fleet.state.write_entry(
                runner, link.listen, cold_ms=LONG_COLD_MS
            )
            await self._wait_until_propagated()
        runner.cold_calls_per_s = COLD_CALLS_PER_S
        runner.cold_until_s = time.monotonic() + fault.duration_s
        await asyncio.sleep(fault.duration_s)
        if runner.runner_id not in self._fleet.state.runner_left_s:
            await self._fleet.state.write_entry(runner, link.listen)

    async def _wait_until_propagated(self) -> None:
        """Wait until the store has been available for the whole apply deadline."""
        store = self._fleet.store
        available_since_s = time.monotonic()
        while time.monotonic() < available_since_s + APPLY_DEADLINE_S:
            is_away = store.fault is not None or store.is_endless
            if is_away or store.suspends_watches:
                available_since_s = time.monotonic()
            await asyncio.sleep(STORE_POLL_INTERVAL_S)

    async def _send_crashing_requests(
        self, send: Callable[..., Awaitable[CallRecord]], fault: PlannedFault
    ) -> None:
        """Send requests that crash their runners to random nodes again and again."""
        end_s = time.monotonic() + fault.duration_s
        kind = CRASHING_ROUTE_KINDS[fault.selector % len(CRASHING_ROUTE_KINDS)]
        rng = Random(fault.selector)
        caller = self.new_crashing_caller()
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < end_s:
                node = rng.randrange(len(self._fleet.nodes))
                await send(caller, session, node=node, kind=kind)
                await asyncio.sleep(CRASHING_INTERVAL_S)

    def new_crashing_caller(self) -> Caller:
        """Return a new caller for crashing requests, with call IDs of its own."""
        caller = Caller(
            name=f"crashing{len(self.crashing_callers)}",
            endpoints=self._fleet.caller_endpoints,
            state=self._fleet.state,
            rng=Random(0),
        )
        self.crashing_callers.append(caller)
        return caller

    async def _restart_node(self, node: NodeProcess, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.duration_s)
        if not node.is_running:
            await node.start()

    def interrupted_node(self, fault: PlannedFault) -> int | None:
        """Return the number of the node that is restarted or paused, None for all."""
        if fault.kind in ALL_NODES_KILLED:
            return None
        return fault.selector % len(self._fleet.nodes)

    def _node(self, fault: PlannedFault) -> NodeProcess:
        return self._fleet.nodes[fault.selector % len(self._fleet.nodes)]
