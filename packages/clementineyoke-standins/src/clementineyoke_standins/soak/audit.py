"""Check the guarantees of the fleet against what callers and runners observed."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_standins.edge.edge_runner import EVENTS
from clementineyoke_standins.soak.operator_state import RouteKind
from clementineyoke_standins.soak.version_audit import (
    check_resumptions,
    check_versions,
    without_versions,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_standins.soak.caller import CallRecord
    from clementineyoke_standins.soak.operator_state import WithdrawnKey, ZoneEvacuation
    from clementineyoke_standins.soak.stream_reader import StreamTry

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that the call was not executed and never will be."""
COMPLETE_STREAM = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, EVENTS + 1))
STATUS_OK = 200
CRASH_CHECK_STEP = "check_crashes"
"""Step named in the refusal of a request for which runners have crashed."""
REJECTED_STATUSES = frozenset((400, 401, 403, 404))
"""Statuses of calls that a node rejects without forwarding them."""
APPLY_DEADLINE_S = 2.0
"""Time within which a connected node applies a desired state or a runner's leave."""
BACKOFF_START_DEADLINE_S = 0.5
"""Time after a refusal with ``Retry-After`` within which the node must back off."""
MAX_CALLS_IN_BACKOFF = 2
CUT_DETECTION_S = 3.0
"""Time after which callers of cut-off nodes must be served like those of others."""
MIN_CUT_OFF_SHARE = 2 / 3
CUT_OFF_SLACK_CALLS = 10
CUT_OFF_SLACK_SHARE = 1 / 50
MIN_TIME_USED_S = 1.4
"""Seven tenths of the time that a call has; later it may be ended for lack of time."""
RUNNER_FALL_SLACK = 2
RUNNER_FALL_SHARE = 0.1
CLOCK_TOLERANCE_S = 0.5
"""Allowance for the delay between the store's reply and the soak's clock reading."""


class RunnerObservation(NamedTuple):
    """A call as a runner received it."""

    runner_id: str
    call_id: str
    received_s: float
    was_executed: bool
    zone: str = ""
    """Availability zone of the runner."""
    lifetime: int = 0
    """Number of the runner's lifetime that received the call."""
    signals_draining: bool = False
    """Whether the response signalled that the runner is draining."""
    retry_after_s: float = 0.0
    """``Retry-After`` of the refusal; 0 if there was none."""
    node: int = -1
    """Node that sent the call, which a peer may have forwarded to it."""


class NodeCut(NamedTuple):
    """A time in which nodes had no links to any runner."""

    nodes: list[int]
    start_s: float
    end_s: float


class Span(NamedTuple):
    """A period of monotonic time."""

    start_s: float
    end_s: float


class NodeInterruption(NamedTuple):
    """A restart or pause of one node, or of all nodes if the node is None."""

    node: int | None
    span: Span


class Evidence(NamedTuple):
    """What the soak observed."""

    calls: list[CallRecord]
    observations: list[RunnerObservation]
    key_issued_s: dict[str, float]
    """Time at which the store confirmed the first state version with a key."""
    withdrawn_keys: list[WithdrawnKey]
    runner_left_s: dict[str, float]
    """Time at which the store confirmed that a runner leaves."""
    evacuations: list[ZoneEvacuation]
    overload_crashes: dict[str, int]
    """Number of crashes of each cold runner by more calls than its limit."""
    rejection_crashes: int
    """Number of brittle runners' crashes by too many rejections."""
    brittle_spans: int
    """Number of times in which the runners were brittle."""
    node_cuts: list[NodeCut]
    crash_times_s: dict[str, list[float]]
    """Crash time of each lifetime of a runner, the first lifetime first."""
    undisturbed: list[Span]
    """Periods without disruptive faults, in which guarantees with a deadline hold."""
    planned_work_only: list[Span]
    """Periods with orderly stops, state changes and leaving runners at most."""
    path_faults_only: list[Span]
    """Periods with cut-off nodes, orderly work and state changes at most."""
    interruptions: list[NodeInterruption]
    stream_tries: list[StreamTry]
    """Requests of callers that resume broken streams."""
    runner_link_faults: list[Span]
    """Periods in which the path to a runner failed."""
    runner_pauses: list[Span]
    """Periods in which runners stopped working and broke off nothing."""
    pauses_only: list[Span]
    """Periods with such pauses, orderly work and state changes at most."""


def audit(evidence: Evidence, *, is_timed: bool) -> list[str]:
    """Return one line for each violated guarantee.

    Guarantees with a deadline are checked only if ``is_timed`` is set: on a loaded
    machine the load would decide whether they hold.
    """
    executions: dict[str, list[RunnerObservation]] = defaultdict(list)
    for observation in evidence.observations:
        if observation.was_executed:
            executions[observation.call_id].append(observation)
    violations = [
        *_check_responses(evidence.calls),
        *_check_executions(evidence.calls, executions),
    ]
    violations += _check_crash_refusals(evidence.calls)
    violations += check_versions(evidence.calls, evidence.stream_tries)
    if is_timed:
        violations += _check_interrupted_calls(evidence, executions)
        violations += _check_pauses(evidence, executions)
        violations += _check_keys(evidence, executions)
        violations += _check_leaving_runners(evidence)
        violations += _check_evacuations(evidence)
        violations += _check_cold_runners(evidence)
        violations += _check_draining(evidence, executions)
        violations += _check_backoffs(evidence)
        violations += _check_brittle_runners(evidence)
        violations += _check_cut_off_nodes(evidence)
        violations += check_resumptions(evidence.stream_tries, evidence.undisturbed)
    return violations


def _check_responses(calls: Iterable[CallRecord]) -> Iterable[str]:
    for call in calls:
        if call.status != STATUS_OK:
            continue
        if without_versions(call.body) not in _expected_bodies(call):
            yield f"{call.call_id}: response body is wrong or incomplete: {call.body!r}"
        if not call.has_proof:
            yield f"{call.call_id}: successful response without the runner's signature"


def _expected_bodies(call: CallRecord) -> tuple[str, ...]:
    plain = f"answer to {call.call_id}"
    if call.kind is RouteKind.STREAM:
        # A runner with a fault script may answer a streaming call without a stream.
        return (COMPLETE_STREAM, plain)
    return (plain,)


def _check_executions(
    calls: Iterable[CallRecord], executions: dict[str, list[RunnerObservation]]
) -> Iterable[str]:
    for call in calls:
        seen = executions.get(call.call_id, [])
        if call.kind is RouteKind.NON_IDEMPOTENT and len(seen) > 1:
            yield f"{call.call_id}: executed {len(seen)} times"
        if (
            call.status in NOT_EXECUTED_STATUSES
            and seen
            and call.kind is RouteKind.NON_IDEMPOTENT
        ):
            yield f"{call.call_id}: answered with {call.status} but executed"
        if call.status in REJECTED_STATUSES and seen:
            yield f"{call.call_id}: answered with {call.status} but executed"


def _check_crash_refusals(calls: Iterable[CallRecord]) -> Iterable[str]:
    """Find calls that are refused for crashes that another request has caused."""
    for call in calls:
        if CRASH_CHECK_STEP in call.body and not call.crashes_runners:
            yield f"{call.call_id}: refused for crashes caused by another request"


def _check_interrupted_calls(
    evidence: Evidence, executions: dict[str, list[RunnerObservation]]
) -> Iterable[str]:
    """Find calls that a runner had started and that planned work interrupted."""
    for call in _broken_calls(evidence, executions):
        if _is_within(evidence.planned_work_only, call.sent_s, call.ended_s):
            yield f"{call.call_id}: interrupted by planned work: {call.reason}"


def _check_pauses(
    evidence: Evidence, executions: dict[str, list[RunnerObservation]]
) -> Iterable[str]:
    """Find calls that a node ended early because their runner had stopped working."""
    for call in _broken_calls(evidence, executions):
        has_used_its_time = call.ended_s - call.sent_s >= MIN_TIME_USED_S
        if has_used_its_time or not _overlaps(
            evidence.runner_pauses, call.sent_s, call.ended_s
        ):
            continue
        if _is_within(evidence.pauses_only, call.sent_s, call.ended_s):
            yield f"{call.call_id}: cut while runners were paused: {call.reason}"


def _broken_calls(
    evidence: Evidence, executions: dict[str, list[RunnerObservation]]
) -> Iterable[CallRecord]:
    """Return calls without a response that runners had started and outlived."""
    for call in evidence.calls:
        seen = executions.get(call.call_id)
        if call.status is not None or not seen:
            continue
        if not any(_has_crashed(evidence, item, call.ended_s) for item in seen):
            yield call


def _has_crashed(
    evidence: Evidence, observation: RunnerObservation, until_s: float
) -> bool:
    """Return whether the lifetime that received a call has crashed by ``until_s``."""
    crashes_s = evidence.crash_times_s[observation.runner_id]
    return (
        observation.lifetime < len(crashes_s)
        and crashes_s[observation.lifetime] <= until_s
    )


def _check_keys(
    evidence: Evidence, executions: dict[str, list[RunnerObservation]]
) -> Iterable[str]:
    """Find calls executed with a withdrawn key or rejected with a valid one."""
    withdrawn_s = {entry.key: entry.confirmed_s for entry in evidence.withdrawn_keys}
    for call in evidence.calls:
        # Changes confirmed before this time must be applied when the call is sent.
        cutoff_s = call.sent_s - APPLY_DEADLINE_S - CLOCK_TOLERANCE_S
        if not _is_within(evidence.undisturbed, cutoff_s, call.ended_s):
            continue
        key_end_s = withdrawn_s.get(call.key, math.inf)
        if key_end_s <= cutoff_s and executions.get(call.call_id):
            delay_s = call.sent_s - key_end_s
            yield f"{call.call_id}: executed {delay_s:.1f} s after its key's withdrawal"
        is_valid = (
            evidence.key_issued_s[call.key] <= cutoff_s and call.ended_s < key_end_s
        )
        if is_valid and call.status in REJECTED_STATUSES:
            yield f"{call.call_id}: rejected with {call.status}; {call.key} is valid"


def _check_leaving_runners(evidence: Evidence) -> Iterable[str]:
    """Find new calls that reached a leaving runner after the deadline."""
    sent_s = {call.call_id: call.sent_s for call in evidence.calls}
    for observation in evidence.observations:
        cutoff_s = observation.received_s - APPLY_DEADLINE_S - CLOCK_TOLERANCE_S
        left_s = evidence.runner_left_s.get(observation.runner_id, math.inf)
        is_new = sent_s.get(observation.call_id, 0.0) > left_s
        if left_s > cutoff_s or not is_new:
            continue
        if _is_within(evidence.undisturbed, cutoff_s, observation.received_s):
            delay_s = observation.received_s - left_s
            yield (
                f"{observation.call_id}: reached {observation.runner_id}"
                f" {delay_s:.1f} s after it began to leave"
            )


def _check_evacuations(evidence: Evidence) -> Iterable[str]:
    """Find calls that reached a runner of an evacuated zone after the deadline."""
    for zone, start_s, end_s in evidence.evacuations:
        for observation in evidence.observations:
            cutoff_s = observation.received_s - APPLY_DEADLINE_S - CLOCK_TOLERANCE_S
            if (
                observation.zone != zone
                or not start_s <= cutoff_s
                or observation.received_s > end_s
            ):
                continue
            if _is_within(evidence.undisturbed, cutoff_s, observation.received_s):
                delay_s = observation.received_s - start_s
                yield (
                    f"{observation.call_id}: reached {observation.runner_id}"
                    f" {delay_s:.1f} s after the evacuation of its zone"
                )


def _check_cold_runners(evidence: Evidence) -> Iterable[str]:
    """Find cold runners that crashed because they received too many calls."""
    for runner_id, times in evidence.overload_crashes.items():
        if times:
            yield f"{runner_id}: exceeded its call limit while cold, {times} times"


def _check_draining(
    evidence: Evidence, executions: dict[str, list[RunnerObservation]]
) -> Iterable[str]:
    """Find calls to a runner whose draining signal their node had already relayed."""
    signalled_s: dict[tuple[int, str, int], float] = {}
    for call in evidence.calls:
        seen = executions.get(call.call_id, [])
        if call.status == STATUS_OK and len(seen) == 1 and seen[0].signals_draining:
            key = (seen[0].node, seen[0].runner_id, seen[0].lifetime)
            signalled_s[key] = min(signalled_s.get(key, math.inf), call.ended_s)
    calls = {call.call_id: call for call in evidence.calls}
    for observation in evidence.observations:
        if observation.call_id not in calls:
            continue  # the caller was cancelled before it recorded the call
        call = calls[observation.call_id]
        since_s = signalled_s.get(
            (observation.node, observation.runner_id, observation.lifetime), math.inf
        )
        if call.sent_s <= since_s + APPLY_DEADLINE_S:
            continue
        received_s = observation.received_s
        if not _was_interrupted(evidence, observation.node, since_s, received_s):
            delay_s = call.sent_s - since_s
            yield (
                f"{call.call_id}: reached {observation.runner_id} {delay_s:.1f} s after"
                f" node-{observation.node} had relayed its draining signal"
            )


def _check_backoffs(evidence: Evidence) -> Iterable[str]:
    """Find calls to a runner that had asked their node to back off."""
    by_sender: dict[tuple[int, str, int], list[RunnerObservation]] = defaultdict(list)
    for observation in evidence.observations:
        key = (observation.node, observation.runner_id, observation.lifetime)
        by_sender[key].append(observation)
    for (node, runner_id, _), observations in by_sender.items():
        for refusal in observations:
            start_s = refusal.received_s + BACKOFF_START_DEADLINE_S
            end_s = refusal.received_s + refusal.retry_after_s
            count = sum(start_s < item.received_s < end_s for item in observations)
            is_exempt = _was_interrupted(
                evidence, node, refusal.received_s, end_s
            ) or _overlaps(evidence.runner_link_faults, refusal.received_s, end_s)
            if count > MAX_CALLS_IN_BACKOFF and not is_exempt:
                yield (
                    f"{runner_id}: received {count} calls from node-{node} during"
                    f" {refusal.retry_after_s} s of backoff"
                )


def _check_brittle_runners(evidence: Evidence) -> Iterable[str]:
    """Find brittle runners that fell over more often than the platform allows."""
    runners = len(evidence.crash_times_s)
    max_falls = RUNNER_FALL_SLACK + RUNNER_FALL_SHARE * runners
    if evidence.rejection_crashes > max_falls * evidence.brittle_spans:
        yield (
            f"brittle runners fell over {evidence.rejection_crashes} times in"
            f" {evidence.brittle_spans} such times"
        )


def _check_cut_off_nodes(evidence: Evidence) -> Iterable[str]:
    """Find cuts in which callers of cut-off nodes were served worse than others."""
    for cut in evidence.node_cuts:
        start_s = cut.start_s + CUT_DETECTION_S
        if not _is_within(evidence.path_faults_only, cut.start_s, cut.end_s):
            continue
        calls = [
            call
            for call in evidence.calls
            if call.sent_s >= start_s and call.ended_s <= cut.end_s
        ]
        served = {True: 0, False: 0}
        sent = {True: 0, False: 0}
        for call in calls:
            sent[call.node in cut.nodes] += 1
            served[call.node in cut.nodes] += call.status == STATUS_OK
        if not sent[True] or not sent[False]:
            continue
        share, other_share = served[True] / sent[True], served[False] / sent[False]
        slack = CUT_OFF_SLACK_CALLS + CUT_OFF_SLACK_SHARE * len(calls)
        failed = sent[True] - served[True]
        if share < MIN_CUT_OFF_SHARE * other_share and failed > slack:
            yield (
                f"nodes {cut.nodes} without links to runners served {served[True]} of"
                f" {sent[True]} calls, the others {served[False]} of {sent[False]}"
            )


def _was_interrupted(
    evidence: Evidence, node: int, start_s: float, end_s: float
) -> bool:
    spans = [span for number, span in evidence.interruptions if number in (None, node)]
    return _overlaps(spans, start_s, end_s)


def _overlaps(spans: list[Span], start_s: float, end_s: float) -> bool:
    return any(span.start_s <= end_s and start_s <= span.end_s for span in spans)


def _is_within(spans: list[Span], start_s: float, end_s: float) -> bool:
    return any(span.start_s <= start_s and end_s <= span.end_s for span in spans)
