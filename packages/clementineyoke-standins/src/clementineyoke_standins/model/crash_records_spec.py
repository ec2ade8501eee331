"""One request, the runners that end with it on them, and two nodes that count.

Runners end one after the other or several at once by one cause. The request may be
answered in between. Each node hears of any end at any time, or never, and of the other
node's records late and again. No node may count more ends than there were causes. A
node that has heard that the request was cleared may not hold older ends against it,
whatever it is told later.

The steps are those of the core: each node's records are put into a table, the table
does the step, and the records are read from it again.
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
MOST_ENDS = 2
"""Ends after which no more follow; two may come at once."""
STEP_MS = 100.0
"""Above what the order of two reports may be mistaken by."""


class End(NamedTuple):
    """A runner's end with a copy of the request on it."""

    runner: str
    sent_ms: float
    ended_ms: float


class State(NamedTuple):
    """What happened, and what both nodes know."""

    now_ms: float = STEP_MS
    ends: tuple[End, ...] = ()
    answered_ms: float = 0.0
    nodes: tuple[CrashRecord, ...] = (EMPTY_RECORD, EMPTY_RECORD)
    heard_clear: tuple[bool, ...] = (False, False)
    """Which node has heard that the request was cleared."""
    told: tuple[CrashRecord, ...] = ()
    """All records that were ever worth telling."""


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    one_after_the_other: bool = True
    compare_ranks: bool = True
    count_clears: bool = True


INITIAL = State()
MUTATIONS = {
    "count each runner of a common end": Guards(one_after_the_other=False),
    "take records in the order of their arrival": Guards(compare_ranks=False),
    "forget that a request was cleared": Guards(count_clears=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name="crash_records",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "a_cause_counts_once": lambda s: all(
                record.crashes <= len({end.ended_ms for end in s["ends"]})
                for record in s["nodes"]
            ),
            "old_news_is_not_held_against_it": lambda s: all(
                record.crashes <= _causes_since(s["ends"], s["answered_ms"])
                for record, is_told in zip(s["nodes"], s["heard_clear"], strict=True)
                if is_told
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    if len(state.ends) < MOST_ENDS:
        yield "one ends", _end(state, 1)
        yield "two end at once", _end(state, 2)
    for node in NODES:
        for end in state.ends:
            yield f"{node} hears of {end.runner}", _report(state, node, end, guards)
        for record in state.told:
            yield f"{node} is told", _take(state, node, record, guards)
        if state.ends and not state.answered_ms:
            yield f"{node} sees it answered", _answer(state, node, guards)


def _causes_since(ends: tuple[End, ...], since_ms: float) -> int:
    return len({end.ended_ms for end in ends if end.sent_ms >= since_ms})


def _end(state: State, count: int) -> State:
    ended_ms = state.now_ms + STEP_MS
    number = len(state.ends)
    ends = tuple(
        End(f"runner-{number + copy}", state.now_ms, ended_ms) for copy in range(count)
    )
    return state._replace(now_ms=ended_ms, ends=state.ends + ends)


def _table(record: CrashRecord, now_ms: float) -> CrashRecords:
    table = CrashRecords()
    table.merge(DIGEST, record, now_ms=now_ms)
    return table


def _with(state: State, node: int, table: CrashRecords) -> State:
    record = table.get(DIGEST)
    nodes = tuple(record if n == node else state.nodes[n] for n in NODES)
    is_new = (record.clears or record.crashes) and record not in state.told
    told = (*state.told, record) if is_new else state.told
    heard = tuple(
        known or (n == node and bool(record.clears))
        for n, known in enumerate(state.heard_clear)
    )
    return state._replace(nodes=nodes, heard_clear=heard, told=tuple(sorted(told)))


def _report(state: State, node: int, end: End, guards: Guards) -> State:
    table = _table(state.nodes[node], state.now_ms)
    sent_ms = end.sent_ms if guards.one_after_the_other else state.now_ms
    table.record_crash(
        DIGEST, lifetime=end.runner, sent_ms=sent_ms, crashed_ms=end.ended_ms
    )
    return _with(state, node, table)


def _take(state: State, node: int, record: CrashRecord, guards: Guards) -> State:
    known = state.nodes[node] if guards.compare_ranks else EMPTY_RECORD
    table = _table(known, state.now_ms)
    table.merge(DIGEST, record, now_ms=state.now_ms)
    return _with(state, node, table)


def _answer(state: State, node: int, guards: Guards) -> State:
    answered_ms = state.now_ms + STEP_MS
    table = _table(state.nodes[node], state.now_ms)
    table.record_answer(DIGEST, now_ms=answered_ms)
    cleared = _with(
        state._replace(now_ms=answered_ms, answered_ms=answered_ms), node, table
    )
    if guards.count_clears:
        return cleared
    forgotten = _with(cleared, node, _table(EMPTY_RECORD, answered_ms))
    return forgotten._replace(told=state.told)
