"""Check the promises of a soak from what callers and runners saw."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_standins.edge.edge_runner import EVENTS
from clementineyoke_standins.soak.operator_state import RouteKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_standins.soak.caller import CallRecord
    from clementineyoke_standins.soak.operator_state import EmptiedZone, WithdrawnKey

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that promise that the call has not run and never will."""
WHOLE_STREAM = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, EVENTS + 1))
STATUS_OK = 200
BLAMED = "check_crashes"
"""Step of a refusal for runners that ended under the same request."""
DENIALS = frozenset((400, 401, 403, 404))
APPLY_S = 2.0
"""How soon a desired state or a runner's leave is in force at a node in touch."""
BACKOFF_BEGINS_S = 0.5
"""How soon after a refusal with a time the node that got it must back off."""
MOST_IN_BACKOFF = 2
CLOCK_SLACK_S = 0.5
"""For what lies between the store's word and the soak's own clock reading."""


class RunnerSight(NamedTuple):
    """A call as a runner saw it."""

    runner_id: str
    call_id: str
    at_s: float
    has_run: bool
    zone: str = ""
    """Where the runner is."""
    lifetime: int = 0
    """Which of the runner's lifetimes saw it."""
    says_draining: bool = False
    """Whether its answer signalled that the runner drains."""
    retry_after_s: float = 0.0
    """Time that its refusal bore; 0 for none."""


class Span(NamedTuple):
    """A time from a beginning to an end; monotonic."""

    from_s: float
    until_s: float


class Restart(NamedTuple):
    """A node that was restarted or paused; None for all of them."""

    node: int | None
    span: Span


class Evidence(NamedTuple):
    """What the soak saw."""

    calls: list[CallRecord]
    sights: list[RunnerSight]
    issued: dict[str, float]
    """When the store confirmed the first version with a key."""
    withdrawn: list[WithdrawnKey]
    left: dict[str, float]
    """When the store confirmed a runner's leave."""
    emptied: list[EmptiedZone]
    overruns: dict[str, int]
    """How often a cold runner ended for more calls than it bore."""
    ends: dict[str, list[float]]
    """When each lifetime of a runner ended, the first one first."""
    calm: list[Span]
    """Without fault or restart; promises with a time bind in them."""
    planned_only: list[Span]
    """With planned work at most: stops in order, changes of state, runners leaving."""
    restarts: list[Restart]
    cuts: list[Span]
    """In which the path to a runner failed."""


def audit(evidence: Evidence, *, is_timed: bool) -> list[str]:
    """Return each broken promise in one line.

    Promises with a time are left out where the machine's load would decide.
    """
    runs: dict[str, list[RunnerSight]] = defaultdict(list)
    for sight in evidence.sights:
        if sight.has_run:
            runs[sight.call_id].append(sight)
    broken = [*_check_answers(evidence.calls), *_check_runs(evidence.calls, runs)]
    broken += _check_blame(evidence.calls)
    if is_timed:
        broken += _check_cuts(evidence, runs)
        broken += _check_keys(evidence, runs)
        broken += _check_leaves(evidence)
        broken += _check_zones(evidence)
        broken += _check_cold(evidence)
        broken += _check_draining(evidence, runs)
        broken += _check_backoffs(evidence)
    return broken


def _check_answers(calls: Iterable[CallRecord]) -> Iterable[str]:
    for call in calls:
        if call.status != STATUS_OK:
            continue
        if call.body not in _whole_answers(call):
            yield f"{call.call_id}: not its own whole answer: {call.body!r}"
        if not call.has_proof:
            yield f"{call.call_id}: a success without the runner's proof"


def _whole_answers(call: CallRecord) -> tuple[str, ...]:
    plain = f"answer to {call.call_id}"
    if call.kind is RouteKind.STREAM:
        # A runner that spoils its answers may also answer a stream's call at once.
        return (WHOLE_STREAM, plain)
    return (plain,)


def _check_runs(
    calls: Iterable[CallRecord], runs: dict[str, list[RunnerSight]]
) -> Iterable[str]:
    for call in calls:
        seen = runs.get(call.call_id, [])
        if call.kind is RouteKind.NON_IDEMPOTENT and len(seen) > 1:
            yield f"{call.call_id}: ran {len(seen)} times"
        if call.status in PROMISES and seen and call.kind is RouteKind.NON_IDEMPOTENT:
            yield f"{call.call_id}: told {call.status} and ran"
        if call.status in DENIALS and seen:
            yield f"{call.call_id}: told {call.status} and ran"


def _check_blame(calls: Iterable[CallRecord]) -> Iterable[str]:
    """Find calls that are refused for runners that another request has ended."""
    for call in calls:
        if BLAMED in call.body and not call.ends_runners:
            yield f"{call.call_id}: refused for what it stood beside"


def _check_cuts(
    evidence: Evidence, runs: dict[str, list[RunnerSight]]
) -> Iterable[str]:
    """Find calls that a runner had begun and that planned work cut."""
    for call in evidence.calls:
        seen = runs.get(call.call_id)
        if call.status is not None or not seen:
            continue
        if any(_has_ended(evidence, sight, call.ended_s) for sight in seen):
            continue
        if _is_in(evidence.planned_only, call.sent_s, call.ended_s):
            yield f"{call.call_id}: ran and was cut by planned work: {call.reason}"


def _has_ended(evidence: Evidence, sight: RunnerSight, until_s: float) -> bool:
    """Whether the lifetime that saw a call ended before the call did."""
    ends = evidence.ends[sight.runner_id]
    return sight.lifetime < len(ends) and ends[sight.lifetime] <= until_s


def _check_keys(
    evidence: Evidence, runs: dict[str, list[RunnerSight]]
) -> Iterable[str]:
    """Find withdrawn keys that ran something, and good ones that were refused."""
    withdrawn_s = {entry.key: entry.confirmed_s for entry in evidence.withdrawn}
    for call in evidence.calls:
        settled_s = call.sent_s - APPLY_S - CLOCK_SLACK_S
        if not _is_in(evidence.calm, settled_s, call.ended_s):
            continue
        gone_s = withdrawn_s.get(call.key, math.inf)
        if gone_s <= settled_s and runs.get(call.call_id):
            late_s = call.sent_s - gone_s
            yield f"{call.call_id}: ran {late_s:.1f} s after its key was withdrawn"
        is_good = evidence.issued[call.key] <= settled_s and call.ended_s < gone_s
        if is_good and call.status in DENIALS:
            yield f"{call.call_id}: told {call.status} though {call.key} is good"


def _check_leaves(evidence: Evidence) -> Iterable[str]:
    """Find new work that reached a leaving runner after the bound."""
    sent_s = {call.call_id: call.sent_s for call in evidence.calls}
    for sight in evidence.sights:
        settled_s = sight.at_s - APPLY_S - CLOCK_SLACK_S
        since_s = evidence.left.get(sight.runner_id, math.inf)
        is_new = sent_s.get(sight.call_id, 0.0) > since_s
        if since_s > settled_s or not is_new:
            continue
        if _is_in(evidence.calm, settled_s, sight.at_s):
            late_s = sight.at_s - since_s
            yield f"{sight.call_id}: reached {sight.runner_id} {late_s:.1f} s too late"


def _check_zones(evidence: Evidence) -> Iterable[str]:
    """Find calls that reached a runner of an emptied zone after the bound."""
    for zone, from_s, until_s in evidence.emptied:
        for sight in evidence.sights:
            settled_s = sight.at_s - APPLY_S - CLOCK_SLACK_S
            if sight.zone != zone or not from_s <= settled_s or sight.at_s > until_s:
                continue
            if _is_in(evidence.calm, settled_s, sight.at_s):
                late_s = sight.at_s - from_s
                yield (
                    f"{sight.call_id}: reached {sight.runner_id} {late_s:.1f} s after"
                    f" its zone was emptied"
                )


def _check_cold(evidence: Evidence) -> Iterable[str]:
    """Find cold runners that ended for more calls than they bore."""
    for runner_id, times in evidence.overruns.items():
        if times:
            yield f"{runner_id}: got more calls than it bore while cold, {times} times"


def _check_draining(
    evidence: Evidence, runs: dict[str, list[RunnerSight]]
) -> Iterable[str]:
    """Find calls to a runner whose draining their node had passed on."""
    told_s: dict[tuple[int, str, int], float] = {}
    for call in evidence.calls:
        seen = runs.get(call.call_id, [])
        if call.status == STATUS_OK and len(seen) == 1 and seen[0].says_draining:
            key = (call.node, seen[0].runner_id, seen[0].lifetime)
            told_s[key] = min(told_s.get(key, math.inf), call.ended_s)
    calls = {call.call_id: call for call in evidence.calls}
    for sight in evidence.sights:
        if sight.call_id not in calls:
            continue  # its caller was gone before the end
        call = calls[sight.call_id]
        since_s = told_s.get((call.node, sight.runner_id, sight.lifetime), math.inf)
        if call.sent_s <= since_s + APPLY_S:
            continue
        if not _has_restarted(evidence, call.node, since_s, sight.at_s):
            late_s = call.sent_s - since_s
            yield (
                f"{call.call_id}: reached {sight.runner_id} {late_s:.1f} s after"
                f" node-{call.node} had passed on its draining"
            )


def _check_backoffs(evidence: Evidence) -> Iterable[str]:
    """Find calls to a runner that had asked their node to back off."""
    nodes = {call.call_id: call.node for call in evidence.calls}
    by_sender: dict[tuple[int, str, int], list[RunnerSight]] = defaultdict(list)
    for sight in evidence.sights:
        if sight.call_id in nodes:
            key = (nodes[sight.call_id], sight.runner_id, sight.lifetime)
            by_sender[key].append(sight)
    for (node, runner_id, _), sights in by_sender.items():
        for refusal in sights:
            from_s = refusal.at_s + BACKOFF_BEGINS_S
            until_s = refusal.at_s + refusal.retry_after_s
            got = sum(from_s < sight.at_s < until_s for sight in sights)
            is_excused = _has_restarted(
                evidence, node, refusal.at_s, until_s
            ) or _overlaps(evidence.cuts, refusal.at_s, until_s)
            if got > MOST_IN_BACKOFF and not is_excused:
                yield (
                    f"{runner_id}: got {got} calls from node-{node} in"
                    f" {refusal.retry_after_s} s of backoff"
                )


def _has_restarted(
    evidence: Evidence, node: int, from_s: float, until_s: float
) -> bool:
    spans = [span for number, span in evidence.restarts if number in (None, node)]
    return _overlaps(spans, from_s, until_s)


def _overlaps(spans: list[Span], from_s: float, until_s: float) -> bool:
    return any(span.from_s <= until_s and from_s <= span.until_s for span in spans)


def _is_in(spans: list[Span], from_s: float, until_s: float) -> bool:
    return any(span.from_s <= from_s and until_s <= span.until_s for span in spans)
