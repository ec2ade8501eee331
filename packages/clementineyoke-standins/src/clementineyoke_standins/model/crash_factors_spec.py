"""Model of requests that share a crashing part, and sound ones with their first part.

Requests with both parts crash the runner that answers them. A runner may crash by
chance under a sound request. One home node counts all crashes; another node learns of
its records of the two parts separately, and decides about both kinds of requests. A
crashing request must be refused after a few crashes, a sound one never.

The core counts the crashes and judges the requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from clementineyoke_core.edge.crash_factors import CrashFactors, part_digest
from clementineyoke_core.edge.crash_judge import CrashJudge
from clementineyoke_core.edge.crash_records import (
    EMPTY_RECORD,
    CrashRecord,
    CrashRecords,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

TEAM = 1
SHARED, CRASHING, OTHER = (part_digest(part) for part in ("5e0a", "bad0", "c0de"))
PARTS = (SHARED, CRASHING)
REQUEST_BYTES = 16
SOUND = CrashFactors(bytes(REQUEST_BYTES), (SHARED, OTHER), TEAM)
BAD = CrashFactors(bytes(REQUEST_BYTES), PARTS, TEAM)
MAX_BAD_CRASHES = 4
"""Three until the part is known, and one by a request that arrives before the news."""
MAX_CHANCE_CRASHES = 1
MAX_HALF_ANSWERS = 3
STEP_MS = 1_000.0
"""Longer than all delays of the core."""
ANSWER_MS = 1.0
"""Shorter than all of them."""
Records = tuple[CrashRecord, CrashRecord]


class State(NamedTuple):
    """What has happened, and what both nodes know of the two parts."""

    now_ms: float = STEP_MS
    bad_crashes: int = 0
    chance_crashes: int = 0
    answers: int = 0
    home: Records = (EMPTY_RECORD, EMPTY_RECORD)
    node: Records = (EMPTY_RECORD, EMPTY_RECORD)
    has_unknown_crash: bool = False
    """Whether a runner has crashed since the node got all news."""


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    tell_companions: bool = True
    wait_for_news: bool = True
    require_complete_answers: bool = True


INITIAL = State()
MUTATIONS = {
    "do not tell which parts crashed together": Guards(tell_companions=False),
    "judge before the records of other parts arrive": Guards(wait_for_news=False),
    "take a half answer as complete": Guards(require_complete_answers=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="crash_factors",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "sound_request_is_not_refused": lambda s: (
                not _is_refused(s["node"], SOUND, s["now_ms"])
            ),
            "crashing_requests_stop": lambda s: s["bad_crashes"] <= MAX_BAD_CRASHES,
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    may_send = not _is_refused(state.node, BAD, state.now_ms)
    if may_send and state.bad_crashes <= MAX_BAD_CRASHES:
        # All but one request arrive after the news of the crash before.
        is_late = state.has_unknown_crash and state.bad_crashes > state.chance_crashes
        if not is_late or state.bad_crashes == MAX_BAD_CRASHES - 1:
            crashed = state._replace(bad_crashes=state.bad_crashes + 1)
            yield "bad request crashes", _crash(crashed, BAD, guards)
    if state.chance_crashes < MAX_CHANCE_CRASHES:
        crashed = state._replace(chance_crashes=state.chance_crashes + 1)
        yield "runner crashes by chance", _crash(crashed, SOUND, guards)
    if not state.answers:
        yield "sound request is answered", _answer(state, SHARED)
    is_half_answered = not guards.require_complete_answers and state.bad_crashes
    if is_half_answered and state.answers < MAX_HALF_ANSWERS:
        yield "half of a bad request is answered", _answer(state, CRASHING)
    for index, part in enumerate(PARTS):
        if state.node[index] != state.home[index]:
            yield (
                f"news of {'shared' if part == SHARED else 'bad'}",
                _tell(state, index),
            )
    if state.node == state.home or not guards.wait_for_news:
        later = state._replace(now_ms=state.now_ms + STEP_MS, has_unknown_crash=False)
        if state.has_unknown_crash:
            yield "time passes", later


def _table(records: Records) -> CrashRecords:
    table = CrashRecords()
    for part, record in zip(PARTS, records, strict=True):
        table.merge(part, record, now_ms=record.last_ms)
    return table


def _is_refused(records: Records, factors: CrashFactors, now_ms: float) -> bool:
    judge = CrashJudge(records=_table(records))
    return judge.verdict(factors, now_ms=now_ms) is not None


def _crash(state: State, factors: CrashFactors, guards: Guards) -> State:
    sent_ms, crashed_ms = state.now_ms, state.now_ms + STEP_MS
    table = _table(state.home)
    for part in factors.parts:
        table.record_crash(
            part,
            lifetime=f"runner-{state.bad_crashes}-{state.chance_crashes}",
            sent_ms=sent_ms,
            crashed_ms=crashed_ms,
            companions=[other for other in factors.parts if other != part]
            if guards.tell_companions
            else (),
            team=TEAM,
        )
    home = (table.get(SHARED), table.get(CRASHING))
    return state._replace(now_ms=crashed_ms, home=home, has_unknown_crash=True)


def _answer(state: State, part: bytes) -> State:
    answered_ms = state.now_ms + ANSWER_MS
    table = _table(state.home)
    table.record_answer(part, now_ms=answered_ms, team=TEAM)
    home = (table.get(SHARED), table.get(CRASHING))
    return state._replace(
        now_ms=answered_ms,
        home=home,
        answers=state.answers + 1,
    )


def _tell(state: State, index: int) -> State:
    node = tuple(
        state.home[number] if number == index else record
        for number, record in enumerate(state.node)
    )
    return state._replace(node=(node[0], node[1]))
