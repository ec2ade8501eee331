"""Model of one request, the runners that crash while executing it, and two nodes.

Runners crash one after the other, or several at once by one cause. The request may be
answered in between. Each node learns of any crash at any time or never, and receives
the other node's records late and repeatedly. No node may count more crashes than there
were causes. A node that knows that the request was cleared must not count older crashes
against it, whatever records it receives later.

Steps are executed by the core: a node's record is put into a ``CrashRecords``, which
executes the step, and the record is read from it again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from clementineyoke_core.edge.crash_records import (
    EMPTY_RECORD,
    CrashRecord,
    CrashRecords,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

NODES = (0, 1)
DIGEST = b"the request"
MAX_CRASHES = 2
"""Number of crashes after which no more follow; the last step may add two at once."""
STEP_MS = 100.0
"""Longer than the core's tolerance for delays between two reports of a crash."""


class Crash(NamedTuple):
    """A crash of a runner that was executing the request."""

    runner: str
    sent_ms: float
    crashed_ms: float


class State(NamedTuple):
    """The crashes so far and what both nodes know of them."""

    now_ms: float = STEP_MS
    crashes: tuple[Crash, ...] = ()
    answered_ms: float = 0.0
    nodes: tuple[CrashRecord, ...] = (EMPTY_RECORD, EMPTY_RECORD)
    knows_cleared: tuple[bool, ...] = (False, False)
    """Whether each node knows that the request was cleared."""
    shared: tuple[CrashRecord, ...] = ()
    """All non-empty records so far, any of which a node may receive at any time."""


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    count_common_cause_once: bool = True
    compare_ranks: bool = True
    retain_clears: bool = True


INITIAL = State()
MUTATIONS = {
    "count each crash with a common cause": Guards(count_common_cause_once=False),
    "merge records in order of arrival": Guards(compare_ranks=False),
    "forget that a request was cleared": Guards(retain_clears=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="crash_records",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "cause_counts_once": lambda s: all(
                record.crashes <= len({crash.crashed_ms for crash in s["crashes"]})
                for record in s["nodes"]
            ),
            "crashes_before_clear_do_not_count": lambda s: all(
                record.crashes <= _count_causes_since(s["crashes"], s["answered_ms"])
                for record, is_cleared in zip(
                    s["nodes"], s["knows_cleared"], strict=True
                )
                if is_cleared
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    if len(state.crashes) < MAX_CRASHES:
        yield "one crash", _crash(state, 1)
        yield "two crashes at once", _crash(state, 2)
    for node in NODES:
        for crash in state.crashes:
            yield (
                f"{node} records crash of {crash.runner}",
                _record_crash(state, node, crash, guards),
            )
        for record in state.shared:
            yield f"{node} merges record", _merge(state, node, record, guards)
        if state.crashes and not state.answered_ms:
            yield f"{node} records answer", _record_answer(state, node, guards)


def _count_causes_since(crashes: tuple[Crash, ...], since_ms: float) -> int:
    return len({crash.crashed_ms for crash in crashes if crash.sent_ms >= since_ms})


def _crash(state: State, count: int) -> State:
    crashed_ms = state.now_ms + STEP_MS
    number = len(state.crashes)
    crashes = tuple(
        Crash(f"runner-{number + copy}", state.now_ms, crashed_ms)
        for copy in range(count)
    )
    return state._replace(now_ms=crashed_ms, crashes=state.crashes + crashes)


def _make_table(record: CrashRecord, now_ms: float) -> CrashRecords:
    table = CrashRecords()
    table.merge(DIGEST, record, now_ms=now_ms)
    return table


def _with_record(state: State, node: int, table: CrashRecords) -> State:
    record = table.get(DIGEST)
    nodes = tuple(record if n == node else state.nodes[n] for n in NODES)
    is_new = (record.clears or record.crashes) and record not in state.shared
    shared = (*state.shared, record) if is_new else state.shared
    knows_cleared = tuple(
        is_known or (n == node and bool(record.clears))
        for n, is_known in enumerate(state.knows_cleared)
    )
    return state._replace(
        nodes=nodes, knows_cleared=knows_cleared, shared=tuple(sorted(shared))
    )


def _record_crash(state: State, node: int, crash: Crash, guards: Guards) -> State:
    table = _make_table(state.nodes[node], state.now_ms)
    sent_ms = crash.sent_ms if guards.count_common_cause_once else state.now_ms
    table.record_crash(
        DIGEST, lifetime=crash.runner, sent_ms=sent_ms, crashed_ms=crash.crashed_ms
    )
    return _with_record(state, node, table)


def _merge(state: State, node: int, record: CrashRecord, guards: Guards) -> State:
    known = state.nodes[node] if guards.compare_ranks else EMPTY_RECORD
    table = _make_table(known, state.now_ms)
    table.merge(DIGEST, record, now_ms=state.now_ms)
    return _with_record(state, node, table)


def _record_answer(state: State, node: int, guards: Guards) -> State:
    answered_ms = state.now_ms + STEP_MS
    table = _make_table(state.nodes[node], state.now_ms)
    table.record_answer(DIGEST, now_ms=answered_ms)
    cleared = _with_record(
        state._replace(now_ms=answered_ms, answered_ms=answered_ms), node, table
    )
    if guards.retain_clears:
        return cleared
    without_clear = _with_record(cleared, node, _make_table(EMPTY_RECORD, answered_ms))
    return without_clear._replace(shared=state.shared)
