"""Run-once claims: two holders of one key, two homes, one platform object.

Step names follow the code: ``ask``, ``load``, ``decide``, ``prepare_write``,
``written`` and ``distrust`` are methods of ``ClaimChain`` (``prepare_write`` is its
``next_write``). A holder's ``B`` is the
caller's repeat of ``A`` with the same key through another node. Crashes, pauses and
lost messages are steps that do not happen; a lost reply may land late or never.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")

HOLDERS = ("A", "B")
HOMES = (0, 1)
NOBODY = ""
LAST_VERSION = 4
"""Bounds the search; every interleaving of four writes is enough for each step."""


class Record(NamedTuple):
    """The object: its version, who holds the key, and whether the run is reported."""

    version: int
    holder: str
    finished: bool


class State(NamedTuple):
    """Everything that a step may depend on."""

    stored: Record
    caches: tuple[Record | None, Record | None]
    """What each home believes; None when it must read."""
    writes: tuple[Record | None, Record | None]
    """A write whose reply its home waits for; the version is the expected one."""
    late: tuple[Record | None, Record | None]
    """A write that its home has given up on; it may still land."""
    phases: tuple[str, str]
    """``idle``, ``asked``, ``gave_up``, ``granted``, ``ran``, ``unknown``, ..."""
    runs: tuple[int, int]


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    conditional_write: bool = True
    grant_own_holder_only: bool = True
    gave_up_is_final: bool = True
    grant_after_write_only: bool = True


INITIAL = State(
    stored=Record(0, NOBODY, False),
    caches=(None, None),
    writes=(None, None),
    late=(None, None),
    phases=("idle", "idle"),
    runs=(0, 0),
)
MUTATIONS = {
    "write without a version": Guards(conditional_write=False),
    "grant to any holder": Guards(grant_own_holder_only=False),
    "act on a grant after giving up": Guards(gave_up_is_final=False),
    "grant before the write": Guards(grant_after_write_only=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Any:
    """Return the protocol for the checker."""
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "at_most_once": _at_most_once,
            "not_run_is_true": _not_run_is_true,
            "answered_after_run": _answered_after_run,
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    for index, holder in enumerate(HOLDERS):
        yield from _holder_steps(state, index)
        for home in HOMES:
            yield from _decide_steps(state, index, holder, home, guards)
            yield from _prepare_steps(state, index, holder, home, guards)
    for home in HOMES:
        yield from _home_steps(state, home, guards)


def _holder_steps(state: State, index: int) -> Iterator[Step]:
    holder = HOLDERS[index]
    phase = state.phases[index]
    if phase == "idle":
        yield f"ask {holder}", _with_phase(state, index, "asked")
    if phase == "asked":
        yield f"give_up {holder}", _with_phase(state, index, "gave_up")
    if phase == "granted":
        runs = _put(state.runs, index, state.runs[index] + 1)
        yield f"run {holder}", _with_phase(state, index, "ran")._replace(runs=runs)


def _decide_steps(
    state: State, index: int, holder: str, home: int, guards: Guards
) -> Iterator[Step]:
    cache = state.caches[home]
    if cache is None or cache.holder == NOBODY:
        return
    phase = state.phases[index]
    listens = phase == "asked" or (phase == "gave_up" and not guards.gave_up_is_final)
    if not listens:
        return
    if cache.finished:
        verdict = "answered"
    elif cache.holder == holder or not guards.grant_own_holder_only:
        verdict = "granted"
    else:
        verdict = "unknown"
    yield f"decide {holder} {home}", _with_phase(state, index, verdict)


def _prepare_steps(
    state: State, index: int, holder: str, home: int, guards: Guards
) -> Iterator[Step]:
    cache = state.caches[home]
    busy = state.writes[home] is not None
    if cache is None or busy or cache.version >= LAST_VERSION:
        return
    phase = state.phases[index]
    if phase == "asked" and cache.holder == NOBODY:
        write = cache._replace(holder=holder)
        after = _with_write(state, home, write)
        if not guards.grant_after_write_only:
            after = _with_phase(after, index, "granted")
        yield f"prepare_write claim {holder} {home}", after
    if phase == "ran" and cache.holder == holder and not cache.finished:
        write = cache._replace(finished=True)
        yield f"prepare_write ran {holder} {home}", _with_write(state, home, write)
    if phase == "gave_up" and cache.holder == holder and not cache.finished:
        write = cache._replace(holder=NOBODY)
        yield f"prepare_write free {holder} {home}", _with_write(state, home, write)


def _home_steps(state: State, home: int, guards: Guards) -> Iterator[Step]:
    write = state.writes[home]
    late = state.late[home]
    if state.caches[home] is None and write is None:
        yield f"load {home}", _with_cache(state, home, state.stored)
    if write is not None:
        freed = _with_write(state, home, None)
        stored = _land(state.stored, write, guards)
        if stored is None:
            yield f"distrust {home}", _with_cache(freed, home, None)
        else:
            done = freed._replace(stored=stored)
            yield f"written {home}", _with_cache(done, home, stored)
        if late is None:
            lost = freed._replace(late=_put(state.late, home, write))
            yield f"lose_reply {home}", _with_cache(lost, home, None)
    if late is not None:
        dropped = state._replace(late=_put(state.late, home, None))
        yield f"drop_late {home}", dropped
        stored = _land(state.stored, late, guards)
        if stored is not None:
            yield f"land_late {home}", dropped._replace(stored=stored)


def _land(stored: Record, write: Record, guards: Guards) -> Record | None:
    if guards.conditional_write and write.version != stored.version:
        return None
    return write._replace(version=stored.version + 1)


def _with_phase(state: State, index: int, phase: str) -> State:
    return state._replace(phases=_put(state.phases, index, phase))


def _with_write(state: State, home: int, write: Record | None) -> State:
    return state._replace(writes=_put(state.writes, home, write))


def _with_cache(state: State, home: int, cache: Record | None) -> State:
    return state._replace(caches=_put(state.caches, home, cache))


def _put(pair: tuple[T, T], index: int, value: T) -> tuple[T, T]:
    return (value, pair[1]) if index == 0 else (pair[0], value)


def _at_most_once(state: dict[str, Any]) -> bool:
    runs: tuple[int, int] = state["runs"]
    return sum(runs) <= 1


def _not_run_is_true(state: dict[str, Any]) -> bool:
    pairs = zip(state["phases"], state["runs"], strict=True)
    return all(runs == 0 for phase, runs in pairs if phase == "gave_up")


def _answered_after_run(state: dict[str, Any]) -> bool:
    return "answered" not in state["phases"] or any(state["runs"])
