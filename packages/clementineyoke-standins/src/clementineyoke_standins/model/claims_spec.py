"""Model of run-once claims: two holders of one key, two home nodes, one stored object.

``load``, ``decide``, ``next_write``, ``record_written`` and ``mark_stale`` are steps
named after the methods of ``ClaimChain`` that they model. Holder ``B`` is the caller's
retry of ``A`` with the same key through another node. Crashes, pauses and lost messages
are modelled as steps that are not taken; a write whose reply was lost may be applied
late or never.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")

HOLDERS = ("A", "B")
HOMES = (0, 1)
NO_HOLDER = ""
MAX_VERSION = 4
"""Bound on the search; four writes in any order are enough to take every step."""


class Record(NamedTuple):
    """The stored object: version, holder of the key, whether its run is reported."""

    version: int
    holder: str
    finished: bool


class State(NamedTuple):
    """State of the model."""

    stored: Record
    caches: tuple[Record | None, Record | None]
    """The object as each home node knows it; None if it must load the object."""
    writes: tuple[Record | None, Record | None]
    """Pending write of each home node, with the version that it expects."""
    late_writes: tuple[Record | None, Record | None]
    """Write that timed out at each home node and may still be applied."""
    phases: tuple[str, str]
    """``idle``, ``submitted``, ``gave_up``, ``granted``, ``ran``, ``unknown``, ..."""
    runs: tuple[int, int]


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    conditional_write: bool = True
    grant_own_holder_only: bool = True
    gave_up_is_final: bool = True
    grant_after_write_only: bool = True


INITIAL = State(
    stored=Record(0, NO_HOLDER, False),
    caches=(None, None),
    writes=(None, None),
    late_writes=(None, None),
    phases=("idle", "idle"),
    runs=(0, 0),
)
MUTATIONS = {
    "write without an expected version": Guards(conditional_write=False),
    "grant to any holder": Guards(grant_own_holder_only=False),
    "accept a grant after giving up": Guards(gave_up_is_final=False),
    "grant before the write": Guards(grant_after_write_only=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Any:
    """Return the protocol for the model checker."""
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "at_most_once": _at_most_once,
            "abandoned_claim_never_runs": _abandoned_claim_never_runs,
            "answered_after_run": _answered_after_run,
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    for index, holder in enumerate(HOLDERS):
        yield from _holder_steps(state, index)
        for home in HOMES:
            yield from _decide_steps(state, index, holder, home, guards)
            yield from _write_steps(state, index, holder, home, guards)
    for home in HOMES:
        yield from _home_steps(state, home, guards)


def _holder_steps(state: State, index: int) -> Iterator[Step]:
    holder = HOLDERS[index]
    phase = state.phases[index]
    if phase == "idle":
        yield f"submit {holder}", _with_phase(state, index, "submitted")
    if phase == "submitted":
        yield f"give_up {holder}", _with_phase(state, index, "gave_up")
    if phase == "granted":
        runs = _replace_at(state.runs, index, state.runs[index] + 1)
        yield f"run {holder}", _with_phase(state, index, "ran")._replace(runs=runs)


def _decide_steps(
    state: State, index: int, holder: str, home: int, guards: Guards
) -> Iterator[Step]:
    cache = state.caches[home]
    if cache is None or cache.holder == NO_HOLDER:
        return
    phase = state.phases[index]
    accepts_decision = phase == "submitted" or (
        phase == "gave_up" and not guards.gave_up_is_final
    )
    if not accepts_decision:
        return
    if cache.finished:
        verdict = "answered"
    elif cache.holder == holder or not guards.grant_own_holder_only:
        verdict = "granted"
    else:
        verdict = "unknown"
    yield f"decide {holder} {home}", _with_phase(state, index, verdict)


def _write_steps(
    state: State, index: int, holder: str, home: int, guards: Guards
) -> Iterator[Step]:
    cache = state.caches[home]
    is_writing = state.writes[home] is not None
    if cache is None or is_writing or cache.version >= MAX_VERSION:
        return
    phase = state.phases[index]
    if phase == "submitted" and cache.holder == NO_HOLDER:
        write = cache._replace(holder=holder)
        after = _with_write(state, home, write)
        if not guards.grant_after_write_only:
            after = _with_phase(after, index, "granted")
        yield f"next_write claim {holder} {home}", after
    if phase == "ran" and cache.holder == holder and not cache.finished:
        write = cache._replace(finished=True)
        yield f"next_write ran {holder} {home}", _with_write(state, home, write)
    if phase == "gave_up" and cache.holder == holder and not cache.finished:
        write = cache._replace(holder=NO_HOLDER)
        yield f"next_write free {holder} {home}", _with_write(state, home, write)


def _home_steps(state: State, home: int, guards: Guards) -> Iterator[Step]:
    write = state.writes[home]
    late_write = state.late_writes[home]
    if state.caches[home] is None and write is None:
        yield f"load {home}", _with_cache(state, home, state.stored)
    if write is not None:
        without_write = _with_write(state, home, None)
        stored = _apply_write(state.stored, write, guards)
        if stored is None:
            yield f"mark_stale {home}", _with_cache(without_write, home, None)
        else:
            applied = without_write._replace(stored=stored)
            yield f"record_written {home}", _with_cache(applied, home, stored)
        if late_write is None:
            lost = without_write._replace(
                late_writes=_replace_at(state.late_writes, home, write)
            )
            yield f"lose_reply {home}", _with_cache(lost, home, None)
    if late_write is not None:
        without_late_write = state._replace(
            late_writes=_replace_at(state.late_writes, home, None)
        )
        yield f"drop_late_write {home}", without_late_write
        stored = _apply_write(state.stored, late_write, guards)
        if stored is not None:
            yield f"apply_late_write {home}", without_late_write._replace(stored=stored)


def _apply_write(stored: Record, write: Record, guards: Guards) -> Record | None:
    if guards.conditional_write and write.version != stored.version:
        return None
    return write._replace(version=stored.version + 1)


def _with_phase(state: State, index: int, phase: str) -> State:
    return state._replace(phases=_replace_at(state.phases, index, phase))


def _with_write(state: State, home: int, write: Record | None) -> State:
    return state._replace(writes=_replace_at(state.writes, home, write))


def _with_cache(state: State, home: int, cache: Record | None) -> State:
    return state._replace(caches=_replace_at(state.caches, home, cache))


def _replace_at(pair: tuple[T, T], index: int, value: T) -> tuple[T, T]:
    return (value, pair[1]) if index == 0 else (pair[0], value)


def _at_most_once(state: dict[str, Any]) -> bool:
    runs: tuple[int, int] = state["runs"]
    return sum(runs) <= 1


def _abandoned_claim_never_runs(state: dict[str, Any]) -> bool:
    pairs = zip(state["phases"], state["runs"], strict=True)
    return all(runs == 0 for phase, runs in pairs if phase == "gave_up")


def _answered_after_run(state: dict[str, Any]) -> bool:
    return "answered" not in state["phases"] or any(state["runs"])
