"""Play one seed: calls, faults and checks while they run, then a last look at all."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_standins.edge.edge_runner import Act
from clementineyoke_standins.soak.audit import (
    APPLY_S,
    BLAMED,
    Evidence,
    Restart,
    RunnerSight,
    Span,
    audit,
)
from clementineyoke_standins.soak.caller import Caller
from clementineyoke_standins.soak.fault_acts import FaultActs, send_crashing
from clementineyoke_standins.soak.operator_state import RouteKind
from clementineyoke_standins.soak.schedule import (
    HARMLESS,
    PLANNED,
    RESTARTS,
    RUNNER_SIGNALS,
    FaultKind,
    PlannedFault,
    plan_crashes,
    plan_faults,
    plan_runner_signals,
    plan_zone_work,
)
from clementineyoke_standins.soak.soak_fleet import GRACE_S, SoakFleet

if TYPE_CHECKING:
    from pathlib import Path

NODES = 4
RUNNERS = 4
CALLERS = 6
START_LIMIT_S = 30.0
RECOVER_LIMIT_S = 30.0
"""Long for a busy machine; how long it took is in the report."""
POLL_S = 0.1
CALM_AFTER_S = 3.0
"""A node is in touch again so long after a fault."""
SEEN_S = 1.5
"""How long calls go on after the last change must be in force."""
STATUS_OK = 200
STATUS_UNKNOWN_KEY = 401
STATUS_REFUSED = 503
CRASHING_COPIES = 3
"""Times at which the request that ends its runners comes to each node at the end."""
CRASHING_PAUSE_S = 0.5
"""Between two of them: half of the time in which a runner is back, so that there is one
to end for most of them."""
MOST_CALM_CRASHES = 6


class SoakReport(NamedTuple):
    """What one seed showed."""

    seed: int
    calls: int
    served: int
    faults: list[str]
    recovered_s: float
    broken: list[str]


class SoakRun:
    """Own one seed's fleet, callers and faults."""

    def __init__(
        self,
        *,
        seed: int,
        length_s: float,
        folder: Path,
        is_timed: bool,
        has_crashes: bool = True,
        has_zone_work: bool = True,
        has_runner_signals: bool = True,
    ) -> None:
        self._seed = seed
        self._has_crashes = has_crashes
        self._has_zone_work = has_zone_work
        self._has_runner_signals = has_runner_signals
        self._length_s = length_s
        self._is_timed = is_timed
        self._fleet = SoakFleet(nodes=NODES, runners=RUNNERS, folder=folder)
        self._stop_limit_s = GRACE_S if is_timed else START_LIMIT_S
        self._acts = FaultActs(fleet=self._fleet, stop_limit_s=self._stop_limit_s)
        self._callers = [
            Caller(
                name=f"s{seed}c{number}",
                endpoints=self._fleet.fronts,
                state=self._fleet.state,
                rng=Random(seed * CALLERS + number),
            )
            for number in range(CALLERS)
        ]
        self._probe = Caller(
            name=f"s{seed}probe",
            endpoints=self._fleet.fronts,
            state=self._fleet.state,
            rng=Random(seed),
        )
        self._played: list[tuple[FaultKind, Span]] = []
        self._restarts: list[Restart] = []
        self._broken: list[str] = []

    async def run(self) -> SoakReport:
        """Play the seed and return what it showed."""
        async with self._fleet, aiohttp.ClientSession() as session:
            await self._wait_all_serve(session, START_LIMIT_S)
            for runner in self._fleet.runners:
                runner.answers_by_path = {"/streaming/": Act.STREAM}
            began_s = time.monotonic()
            async with BackgroundTasks() as tasks:
                for caller in self._callers:
                    tasks.spawn(caller.run(), name="soak_caller")
                planned = plan_faults(self._seed, length_s=self._length_s)
                if self._has_crashes:
                    planned += plan_crashes(self._seed, length_s=self._length_s)
                if self._has_zone_work:
                    planned += plan_zone_work(self._seed, length_s=self._length_s)
                if self._has_runner_signals:
                    planned += plan_runner_signals(self._seed, length_s=self._length_s)
                await asyncio.gather(*(self._play(fault, began_s) for fault in planned))
                recovered_s = await self._wait_all_serve(session, RECOVER_LIMIT_S)
                await self._change_in_calm()
                await self._check_newest(session)
                if self._has_crashes:
                    await self._check_crashing(session)
            for node in self._fleet.nodes:
                await node.stop(limit_s=self._stop_limit_s)
                self._broken += node.own_ends
        return self._report(planned, began_s, recovered_s)

    async def _play(self, fault: PlannedFault, began_s: float) -> None:
        await asyncio.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
        from_s = time.monotonic()
        for node in self._fleet.nodes:
            node.check_alive()
        await self._acts.play(fault)
        span = Span(from_s, time.monotonic() + CALM_AFTER_S)
        self._played.append((fault.kind, span))
        if fault.kind in RESTARTS:
            self._restarts.append(Restart(self._acts.node_of(fault), span))

    async def _wait_all_serve(
        self, session: aiohttp.ClientSession, limit_s: float
    ) -> float:
        """Wait until each node serves a call; return how long it took."""
        began_s = time.monotonic()
        for node in range(len(self._fleet.nodes)):
            while not await self._serves(session, node):
                if time.monotonic() > began_s + limit_s:
                    self._broken.append(f"node-{node} does not serve after {limit_s} s")
                    break
                await asyncio.sleep(POLL_S)
        return time.monotonic() - began_s

    async def _serves(self, session: aiohttp.ClientSession, node: int) -> bool:
        key = self._fleet.state.key
        record = await self._probe.call(
            session, node=node, kind=RouteKind.IDEMPOTENT, key=key
        )
        return record.status == STATUS_OK

    async def _change_in_calm(self) -> None:
        """Change key, runners and zones once more, with nothing else going on.

        Faults overlap from the first to the last, so that no promise with a time binds
        among them. A node that has been left deaf by them shows it here.
        """
        await asyncio.sleep(CALM_AFTER_S)
        kinds = [FaultKind.KEY_CHANGE, FaultKind.RUNNER_LEAVES]
        if self._has_zone_work and self._seed % 2 == 0:
            kinds += [FaultKind.ZONE_EMPTIED, FaultKind.RUNNER_COLD]
        if self._has_runner_signals:
            kinds += RUNNER_SIGNALS
        for kind in kinds:
            await self._acts.play(PlannedFault(0.0, kind, self._seed, SEEN_S))
        await asyncio.sleep(APPLY_S + SEEN_S)

    async def _check_newest(self, session: aiohttp.ClientSession) -> None:
        """See that no node went back to a state with a withdrawn key."""
        for entry in self._fleet.state.withdrawn:
            for node in range(len(self._fleet.nodes)):
                record = await self._probe.call(
                    session, node=node, kind=RouteKind.IDEMPOTENT, key=entry.key
                )
                if record.status != STATUS_UNKNOWN_KEY:
                    self._broken.append(
                        f"node-{node} answers {record.status} to the withdrawn key"
                        f" {entry.key}"
                    )

    async def _check_crashing(self, session: aiohttp.ClientSession) -> None:
        """Let the request that ends its runners come once more, with nothing else on.

        Its promise binds in calm: three runners may end until it is known, and three
        more sends are allowed to those that learn late.
        """
        before = self._count_crashes()
        caller = self._acts.new_crashing()
        for number in range(CRASHING_COPIES * len(self._fleet.nodes)):
            node = number % len(self._fleet.nodes)
            kind = RouteKind.NON_IDEMPOTENT
            record = await send_crashing(caller, session, node=node, kind=kind)
            await asyncio.sleep(CRASHING_PAUSE_S)
        ended = self._count_crashes() - before
        is_refused = record.status == STATUS_REFUSED and BLAMED in record.body
        if ended > MOST_CALM_CRASHES or not is_refused:
            self._broken.append(
                f"a request ended {ended} runners in calm; then {record.status}"
                f" {record.body}"
            )

    def _count_crashes(self) -> int:
        return sum(runner.crashes for runner in self._fleet.runners)

    def _report(
        self, planned: list[PlannedFault], began_s: float, recovered_s: float
    ) -> SoakReport:
        calls = [record for caller in self._callers for record in caller.records]
        calls += self._probe.records
        calls += [call for caller in self._acts.crashing for call in caller.records]
        sights = [
            RunnerSight(
                runner.runner_id,
                call.call_id,
                call.at_s,
                call.has_run,
                runner.zone,
                call.lifetime,
                call.says_draining,
                call.retry_after_s,
            )
            for runner in self._fleet.runners
            for call in runner.calls
        ]
        evidence = Evidence(
            calls=calls,
            sights=sights,
            issued=self._fleet.state.issued,
            withdrawn=self._fleet.state.withdrawn,
            left=self._fleet.state.left,
            emptied=self._fleet.state.emptied,
            overruns={r.runner_id: r.overruns for r in self._fleet.runners},
            ends={r.runner_id: r.ends_s for r in self._fleet.runners},
            calm=self._spans_without(HARMLESS, began_s),
            planned_only=self._spans_without(PLANNED, began_s),
            restarts=self._restarts,
            cuts=[span for kind, span in self._played if kind is FaultKind.RUNNER_LINK],
        )
        self._broken += audit(evidence, is_timed=self._is_timed)
        return SoakReport(
            seed=self._seed,
            calls=len(calls),
            served=sum(record.status == STATUS_OK for record in calls),
            faults=[fault.kind.value for fault in planned],
            recovered_s=recovered_s,
            broken=self._broken,
        )

    def _spans_without(
        self, allowed: frozenset[FaultKind], began_s: float
    ) -> list[Span]:
        """Return the spans in which nothing but the allowed kinds went on."""
        spans = []
        calm_since_s = began_s
        for span in sorted(span for kind, span in self._played if kind not in allowed):
            if span.from_s > calm_since_s:
                spans.append(Span(calm_since_s, span.from_s))
            calm_since_s = max(calm_since_s, span.until_s)
        spans.append(Span(calm_since_s, time.monotonic()))
        return spans
