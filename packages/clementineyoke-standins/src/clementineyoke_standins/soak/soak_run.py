"""Run one seed: calls and faults at the same time, then the checks and the audit."""

from __future__ import annotations

import asyncio
import sys
import time
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_standins.edge.edge_runner import CrashManner, ScriptedResponse
from clementineyoke_standins.soak import schedule
from clementineyoke_standins.soak.audit import (
    APPLY_DEADLINE_S,
    CRASH_CHECK_STEP,
    Evidence,
    NodeInterruption,
    RunnerObservation,
    Span,
    audit,
)
from clementineyoke_standins.soak.caller import LONG_TARGET, Caller, SlowCaller
from clementineyoke_standins.soak.entry_changes import EntryChanges
from clementineyoke_standins.soak.fault_acts import (
    FaultInjector,
    send_crashing_part,
    send_crashing_request,
)
from clementineyoke_standins.soak.memory_watch import (
    MemoryWatch,
    check_ended,
    check_taken,
)
from clementineyoke_standins.soak.operator_state import RouteKind
from clementineyoke_standins.soak.schedule import (
    ENDLESS_BYTES,
    INTERRUPTIONS,
    NON_DISRUPTIVE,
    PATH_FAULTS,
    PAUSES,
    PLANNED_WORK,
    RUNNER_SIGNALS,
    FaultKind,
    PlannedFault,
)
from clementineyoke_standins.soak.soak_fleet import (
    SOUND_PROMPTS,
    STOP_DEADLINE_S,
    SoakFleet,
)
from clementineyoke_standins.soak.stream_reader import TARGET, StreamReader
from clementineyoke_standins.soak.strict_caller import StrictCaller

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from clementineyoke_standins.soak.caller import CallRecord
    from clementineyoke_standins.soak.stream_counts import StreamCounts

NODES = 4
RUNNERS = 4
RUNNERS_ALONE = 8
CALLERS = 6
STRICT_CALLERS = 4
READERS = 2
PATIENT_READERS = 4
PATIENT_READERS_ALONE = 40
PATIENT_TRIES = 16
PATIENT_RETRY_DELAY_S = 0.4
STREAMS_PER_BREAK = 2
START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 30.0
"""Generous, for a loaded machine; the report shows the time that was needed."""
POLL_INTERVAL_S = 0.1
VERSIONS = ("v1", "v2")
RECOVERY_S = 3.0
"""Time after a fault within which a node is connected again."""
PATH_FAULT_S = 3.0
OBSERVATION_S = 1.5
"""How long calls go on after the deadline for applying the last change."""
STATUS_OK = 200
STATUS_UNKNOWN_KEY = 401
STATUS_FAILED = 500
STATUS_REFUSED = 503
CRASHING_REQUESTS_PER_NODE = 3
"""Number of times that the crashing request is sent to each node at the end."""
CRASHING_REQUEST_INTERVAL_S = 0.5
"""Half of a runner's restart delay, so that most of these requests find a runner that
they can crash."""
MAX_UNDISTURBED_CRASHES = 6


class SoakReport(NamedTuple):
    """Result of one seed."""

    seed: int
    calls: int
    served: int
    faults: list[str]
    recovery_s: float
    resumptions: int
    """Broken streams that callers resumed."""
    resumed: int
    """Resumptions that brought an event."""
    failed_resumptions: int
    """Resumptions that were answered with 500."""
    violations: list[str]
    streams: StreamCounts | None = None
    """Counted where runners are processes."""


class SoakRun:
    """Run one seed; owns its fleet, callers and faults."""

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
        has_path_faults: bool = True,
        has_versions: bool = True,
        has_crashing_parts: bool = True,
        has_pauses: bool = True,
        has_endless_bytes: bool = True,
        has_release: bool = True,
        has_replacements: bool = True,
        has_entry_changes: bool = True,
        has_malformed_answers: bool = True,
        has_other_faults: bool = True,
        node_python: str = sys.executable,
    ) -> None:
        self._seed = seed
        self._has_crashes = has_crashes
        self._has_zone_work = has_zone_work
        self._has_runner_signals = has_runner_signals
        self._has_path_faults = has_path_faults
        self._has_versions = has_versions
        self._has_crashing_parts = has_crashing_parts
        self._has_pauses = has_pauses
        self._has_endless_bytes = has_endless_bytes
        self._has_release = has_release
        self._has_replacements = has_replacements
        self._has_entry_changes = has_entry_changes
        self._has_malformed_answers = has_malformed_answers
        self._has_other_faults = has_other_faults
        self._length_s = length_s
        self._is_timed = is_timed
        self._fleet = SoakFleet(
            nodes=NODES,
            runners=RUNNERS if has_other_faults else RUNNERS_ALONE,
            folder=folder,
            has_new_ids=has_replacements,
            node_python=node_python,
        )
        self._stop_timeout_s = STOP_DEADLINE_S if is_timed else START_TIMEOUT_S
        self._injector = FaultInjector(
            fleet=self._fleet, stop_timeout_s=self._stop_timeout_s
        )
        self._callers = [
            Caller(
                name=f"s{seed}c{number}",
                endpoints=self._fleet.caller_endpoints,
                state=self._fleet.state,
                rng=Random(seed * CALLERS + number),
                prompts=SOUND_PROMPTS if has_crashing_parts else (),
            )
            for number in range(CALLERS)
        ]
        self._probe = Caller(
            name=f"s{seed}probe",
            endpoints=self._fleet.caller_endpoints,
            state=self._fleet.state,
            rng=Random(seed),
        )
        self._slow_caller = SlowCaller(
            name=f"s{seed}slow",
            endpoints=self._fleet.caller_endpoints,
            state=self._fleet.state,
            rng=Random(f"slow caller of {seed}"),
        )
        self._strict_callers = [
            StrictCaller(
                name=f"s{seed}strict{number}",
                endpoints=self._fleet.caller_endpoints,
                state=self._fleet.state,
                rng=Random(f"strict caller {number} of {seed}"),
            )
            for number in range(STRICT_CALLERS if has_malformed_answers else 0)
        ]
        self._readers = [
            StreamReader(
                name=f"s{seed}r{number}",
                endpoints=self._fleet.caller_endpoints,
                state=self._fleet.state,
                rng=Random(f"reader {number} of {seed}"),
            )
            for number in range(READERS if has_versions else 0)
        ]
        patient_readers = PATIENT_READERS if has_other_faults else PATIENT_READERS_ALONE
        self._readers += [
            StreamReader(
                name=f"s{seed}p{number}",
                endpoints=self._fleet.caller_endpoints,
                state=self._fleet.state,
                rng=Random(f"patient reader {number} of {seed}"),
                max_tries=PATIENT_TRIES,
                retry_delay_s=PATIENT_RETRY_DELAY_S,
            )
            for number in range(patient_readers if has_replacements else 0)
        ]
        self._injected: list[tuple[FaultKind, Span]] = []
        self._interruptions: list[NodeInterruption] = []
        self._violations: list[str] = []

    async def run(self) -> SoakReport:
        """Run the seed and return its result."""
        for runner in self._fleet.runners:
            runner.tells_version = self._has_versions or self._has_replacements
        if self._has_versions:
            for number, runner in enumerate(self._fleet.runners):
                runner.version = VERSIONS[number % len(VERSIONS)]
                runner.break_every = STREAMS_PER_BREAK
                runner.break_prefix = TARGET
        if self._has_crashing_parts and self._seed % 2:
            for runner in self._fleet.runners:
                runner.frames_streams = False
                runner.crash_manner = CrashManner.CLOSE
        async with self._fleet, aiohttp.ClientSession() as session:
            await self._wait_until_serving(session, START_TIMEOUT_S)
            for runner in self._fleet.runners:
                runner.responses_by_prefix = {"/streaming/": ScriptedResponse.STREAM}
                runner.padded_target = LONG_TARGET
            run_start_s = time.monotonic()
            async with BackgroundTasks() as tasks:
                if self._has_pauses:
                    tasks.spawn(self._slow_caller.run(), name="soak_slow_caller")
                for strict_caller in self._strict_callers:
                    tasks.spawn(strict_caller.run(), name="soak_strict_caller")
                for caller in self._callers:
                    tasks.spawn(caller.run(), name="soak_caller")
                for reader in self._readers:
                    tasks.spawn(reader.run(), name="soak_reader")
                planned = self._plan_faults()
                with EntryChanges(fleet=self._fleet, is_active=self._has_entry_changes):
                    await asyncio.gather(
                        *(self._inject(fault, run_start_s) for fault in planned)
                    )
                recovery_s = await self._wait_until_serving(session, RECOVERY_TIMEOUT_S)
                await self._apply_changes_undisturbed()
                await self._check_withdrawn_keys(session)
                if self._has_crashes:
                    await self._check_crashes(session, send_crashing_request)
                if self._has_crashing_parts:
                    await self._check_crashes(session, send_crashing_part)
            for node in self._fleet.nodes:
                await node.stop(timeout_s=self._stop_timeout_s)
                self._violations += node.failures
                self._violations += node.failed_calls()
        return self._report(planned, run_start_s, recovery_s)

    def _plan_faults(self) -> list[PlannedFault]:
        if not self._has_other_faults:
            return schedule.plan_replacements_alone(self._seed)
        plans = (
            (schedule.plan_faults, True),
            (schedule.plan_crashes, self._has_crashes),
            (schedule.plan_crashing_parts, self._has_crashing_parts),
            (schedule.plan_zone_work, self._has_zone_work),
            (schedule.plan_runner_signals, self._has_runner_signals),
            (schedule.plan_path_faults, self._has_path_faults),
            (schedule.plan_pauses, self._has_pauses),
            (schedule.plan_endless_bytes, self._has_endless_bytes),
            (schedule.plan_malformed_answers, self._has_malformed_answers),
            (schedule.plan_release, self._has_release),
            (schedule.plan_replacements, self._has_replacements),
        )
        return [
            fault
            for plan, is_wanted in plans
            if is_wanted
            for fault in plan(self._seed, length_s=self._length_s)
        ]

    async def _inject(self, fault: PlannedFault, run_start_s: float) -> None:
        await asyncio.sleep(max(0.0, run_start_s + fault.start_s - time.monotonic()))
        start_s = time.monotonic()
        for node in self._fleet.nodes:
            node.record_unexpected_exit()
        await self._injector.inject(fault)
        span = Span(start_s, time.monotonic() + RECOVERY_S)
        self._injected.append((fault.kind, span))
        if fault.kind in INTERRUPTIONS:
            self._interruptions.append(
                NodeInterruption(self._injector.interrupted_node(fault), span)
            )

    async def _wait_until_serving(
        self, session: aiohttp.ClientSession, timeout_s: float
    ) -> float:
        """Wait until each node serves a call and return the time that this took."""
        start_s = time.monotonic()
        for node in range(len(self._fleet.nodes)):
            while not await self._is_serving(session, node):
                if time.monotonic() > start_s + timeout_s:
                    self._violations.append(
                        f"node-{node} serves no calls after {timeout_s} s"
                    )
                    break
                await asyncio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s

    async def _is_serving(self, session: aiohttp.ClientSession, node: int) -> bool:
        key = self._fleet.state.current_key
        record = await self._probe.call(
            session, node=node, kind=RouteKind.IDEMPOTENT, key=key
        )
        return record.status == STATUS_OK

    async def _apply_changes_undisturbed(self) -> None:
        """Change keys, runners and zones once more while no other fault is active.

        Faults overlap from the first to the last, so that no guarantee with a deadline
        can be checked among them. A node that no longer receives updates is
        detected here.
        """
        await asyncio.sleep(RECOVERY_S)
        kinds = [FaultKind.KEY_CHANGE, FaultKind.RUNNER_LEAVES]
        if self._has_zone_work and self._seed % 2 == 0:
            kinds += [FaultKind.ZONE_EMPTIED, FaultKind.RUNNER_COLD]
        if self._has_runner_signals:
            kinds += RUNNER_SIGNALS
        for kind in kinds:
            await self._injector.inject(
                PlannedFault(0.0, kind, self._seed, OBSERVATION_S)
            )
        undrawn = PATH_FAULTS if self._has_path_faults else ()
        for kind in (*undrawn, *(PAUSES if self._has_pauses else ())):
            await self._inject(PlannedFault(0.0, kind, self._seed, PATH_FAULT_S), 0.0)
        if self._has_malformed_answers:
            kind = FaultKind.RUNNER_MALFORMED
            await self._inject(PlannedFault(0.0, kind, self._seed, PATH_FAULT_S), 0.0)
        if self._has_endless_bytes:
            await self._check_endless_bytes()
        await asyncio.sleep(APPLY_DEADLINE_S + OBSERVATION_S)
        self._violations += check_ended(self._fleet.runners)

    async def _check_endless_bytes(self) -> None:
        """Send bytes without end while no other fault is active; watch the nodes."""
        since_s = time.monotonic()
        async with MemoryWatch(self._fleet.nodes) as watch:
            for kind in ENDLESS_BYTES:
                fault = PlannedFault(0.0, kind, 16 * self._seed, PATH_FAULT_S)
                await self._inject(fault, 0.0)
        self._violations += watch.violations()
        for runner in self._fleet.runners:
            self._violations += check_taken(runner, since_s=since_s)

    async def _check_withdrawn_keys(self, session: aiohttp.ClientSession) -> None:
        """Check that no node has reverted to a state with a withdrawn key."""
        for entry in self._fleet.state.withdrawn_keys:
            for node in range(len(self._fleet.nodes)):
                record = await self._probe.call(
                    session, node=node, kind=RouteKind.IDEMPOTENT, key=entry.key
                )
                if record.status != STATUS_UNKNOWN_KEY:
                    self._violations.append(
                        f"node-{node} answers the withdrawn key {entry.key} with"
                        f" {record.status}"
                    )

    async def _check_crashes(
        self,
        session: aiohttp.ClientSession,
        send: Callable[..., Awaitable[CallRecord]],
    ) -> None:
        """Send requests that crash their runners while no other fault is active.

        The limit on crashes holds only then: three runners may crash until their cause
        is known, and three more may crash through nodes that learn of it late.
        """
        before = self._count_crashes()
        caller = self._injector.new_crashing_caller()
        for number in range(CRASHING_REQUESTS_PER_NODE * len(self._fleet.nodes)):
            node = number % len(self._fleet.nodes)
            kind = RouteKind.NON_IDEMPOTENT
            record = await send(caller, session, node=node, kind=kind)
            await asyncio.sleep(CRASHING_REQUEST_INTERVAL_S)
        crashes = self._count_crashes() - before
        is_refused = record.status == STATUS_REFUSED and CRASH_CHECK_STEP in record.body
        if crashes > MAX_UNDISTURBED_CRASHES or not is_refused:
            self._violations.append(
                f"{send.__name__}: {crashes} runners crashed without other faults;"
                f" the last response was {record.status} {record.body}"
            )

    def _count_crashes(self) -> int:
        return sum(runner.crashes for runner in self._fleet.runners)

    def _report(
        self, planned: list[PlannedFault], run_start_s: float, recovery_s: float
    ) -> SoakReport:
        calls = [record for caller in self._callers for record in caller.records]
        calls += self._probe.records + self._slow_caller.records
        calls += [
            call
            for caller in self._injector.crashing_callers
            for call in caller.records
        ]
        observations = [
            RunnerObservation(
                call.runner_id,
                call.call_id,
                call.received_s,
                call.was_executed,
                runner.zone,
                call.lifetime,
                call.signals_draining,
                call.retry_after_s,
                self._fleet.sender_of(number, call),
            )
            for number, runner in enumerate(self._fleet.runners)
            for call in runner.calls
        ]
        evidence = Evidence(
            calls=calls,
            observations=observations,
            key_issued_s=self._fleet.state.key_issued_s,
            withdrawn_keys=self._fleet.state.withdrawn_keys,
            runner_left_s=self._fleet.state.runner_left_s,
            evacuations=self._fleet.state.evacuations,
            overload_crashes={
                r.runner_id: r.overload_crashes for r in self._fleet.runners
            },
            rejection_crashes=sum(r.rejection_crashes for r in self._fleet.runners),
            brittle_spans=len(self._injector.brittle_spans),
            node_cuts=self._injector.node_cuts,
            crash_times_s={
                call.runner_id: runner.crash_times_s
                for runner in self._fleet.runners
                for call in runner.calls
            },
            undisturbed=self._spans_without(NON_DISRUPTIVE, run_start_s),
            planned_work_only=self._spans_without(PLANNED_WORK, run_start_s),
            path_faults_only=self._spans_without(
                NON_DISRUPTIVE | frozenset(PATH_FAULTS), run_start_s
            ),
            runner_pauses=self._injector.pauses,
            pauses_only=self._spans_without(
                PLANNED_WORK | {FaultKind.RUNNERS_PAUSE}, run_start_s
            ),
            interruptions=self._interruptions,
            stream_tries=[t for reader in self._readers for t in reader.tries],
            runner_link_faults=[
                span for kind, span in self._injected if kind is FaultKind.RUNNER_LINK
            ],
        )
        self._violations += audit(evidence, is_timed=self._is_timed)
        for strict_caller in self._strict_callers:
            self._violations += strict_caller.violations
        resumptions = [t for t in evidence.stream_tries if t.is_resumption]
        return SoakReport(
            seed=self._seed,
            calls=len(calls),
            served=sum(record.status == STATUS_OK for record in calls),
            faults=[fault.kind.value for fault in planned],
            recovery_s=recovery_s,
            resumptions=len(resumptions),
            resumed=sum(bool(attempt.events) for attempt in resumptions),
            failed_resumptions=sum(t.status == STATUS_FAILED for t in resumptions),
            violations=self._violations,
        )

    def _spans_without(
        self, allowed: frozenset[FaultKind], run_start_s: float
    ) -> list[Span]:
        """Return the periods in which only faults of the allowed kinds were active."""
        spans = []
        free_since_s = run_start_s
        for span in sorted(
            span for kind, span in self._injected if kind not in allowed
        ):
            if span.start_s > free_since_s:
                spans.append(Span(free_since_s, span.start_s))
            free_since_s = max(free_since_s, span.end_s)
        spans.append(Span(free_since_s, time.monotonic()))
        return spans
