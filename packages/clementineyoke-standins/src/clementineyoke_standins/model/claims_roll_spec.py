"""Model of run-once claims while a shard advances to its next segment.

There are two holders of one key and two home nodes. A home node may read the head,
pause, and read the segments later. A claim must not be written to a segment that other
home nodes no longer use.
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
MAX_VERSION = 3


class Segment(NamedTuple):
    """A stored segment with the newest record of the key."""

    version: int
    holder: str
    is_sealed: bool


class Head(NamedTuple):
    """The stored head, with the number of the open segment."""

    version: int
    open_segment: int


class Cache(NamedTuple):
    """What a home node has read; no segments if it has only read the head."""

    head: Head
    segments: tuple[Segment, Segment] | None


class Write(NamedTuple):
    """A pending write, with the versions that it expects."""

    kind: str
    target: int
    segment: Segment
    head: Head


class State(NamedTuple):
    """State of the model."""

    head: Head
    segments: tuple[Segment, Segment]
    caches: tuple[Cache | None, Cache | None]
    writes: tuple[Write | None, Write | None]
    phases: tuple[str, str]
    runs: tuple[int, int]


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    seal_before_head: bool = True
    conditional_write: bool = True


EMPTY = Segment(0, NO_HOLDER, False)
INITIAL = State(
    Head(0, 0), (EMPTY, EMPTY), (None, None), (None, None), ("idle", "idle"), (0, 0)
)
MUTATIONS = {
    "advance the head before sealing": Guards(seal_before_head=False),
    "write without an expected version": Guards(conditional_write=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Any:
    """Return the protocol for the model checker."""
    return Protocol(
        name="claims_roll",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={"at_most_once": lambda s: s["runs"][0] + s["runs"][1] <= 1},
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    for index, holder in enumerate(HOLDERS):
        phase = state.phases[index]
        if phase == "idle":
            yield f"submit {holder}", _with_phase(state, index, "submitted")
        if phase == "granted":
            runs = _replace_at(state.runs, index, state.runs[index] + 1)
            after = _with_phase(state, index, "ran")._replace(runs=runs)
            yield f"run {holder}", after
        for home in HOMES:
            yield from _decide_steps(state, index, home)
    for home in HOMES:
        yield from _read_steps(state, home)
        yield from _write_steps(state, home, guards)
        yield from _reply_steps(state, home, guards)


def _decide_steps(state: State, index: int, home: int) -> Iterator[Step]:
    known = _known_holder(state.caches[home])
    if known in (None, NO_HOLDER) or state.phases[index] != "submitted":
        return
    verdict = "granted" if known == HOLDERS[index] else "unknown"
    yield f"decide {HOLDERS[index]} {home}", _with_phase(state, index, verdict)


def _read_steps(state: State, home: int) -> Iterator[Step]:
    cache = state.caches[home]
    if state.writes[home] is not None:
        return
    if cache is None:
        read = Cache(state.head, None)
        yield f"read_head {home}", _with_cache(state, home, read)
    elif cache.segments is None:
        read = cache._replace(segments=state.segments)
        yield f"load {home}", _with_cache(state, home, read)


def _write_steps(state: State, home: int, guards: Guards) -> Iterator[Step]:
    cache = state.caches[home]
    if cache is None or cache.segments is None or state.writes[home] is not None:
        return
    number = cache.head.open_segment
    segment = cache.segments[number]
    if segment.version < MAX_VERSION and not segment.is_sealed:
        for index, holder in enumerate(HOLDERS):
            if state.phases[index] == "submitted" and _known_holder(cache) == NO_HOLDER:
                claimed = segment._replace(holder=holder)
                write = Write("claims", number, claimed, cache.head)
                yield (
                    f"next_write claims {holder} {home}",
                    _with_write(state, home, write),
                )
        if number == 0:
            sealed = segment._replace(is_sealed=True)
            write = Write("seal", number, sealed, cache.head)
            yield f"next_write seal {home}", _with_write(state, home, write)
    if number == 0 and (segment.is_sealed or not guards.seal_before_head):
        write = Write("head", 1, segment, cache.head._replace(open_segment=1))
        yield f"next_write head {home}", _with_write(state, home, write)


def _reply_steps(state: State, home: int, guards: Guards) -> Iterator[Step]:
    write = state.writes[home]
    if write is None:
        return
    without_write = _with_write(state, home, None)
    applied = _apply_write(without_write, write, guards)
    if applied is None:
        yield f"mark_stale {home}", _with_cache(without_write, home, None)
        return
    yield f"lose_reply {home}", _with_cache(applied, home, None)
    yield (
        f"record_written {home}",
        _with_cache(applied, home, _after_write(applied, home, write)),
    )


def _apply_write(state: State, write: Write, guards: Guards) -> State | None:
    if write.kind == "head":
        if guards.conditional_write and write.head.version != state.head.version:
            return None
        return state._replace(
            head=Head(state.head.version + 1, write.head.open_segment)
        )
    stored = state.segments[write.target]
    if guards.conditional_write and write.segment.version != stored.version:
        return None
    segment = write.segment._replace(version=stored.version + 1)
    return state._replace(segments=_replace_at(state.segments, write.target, segment))


def _after_write(state: State, home: int, write: Write) -> Cache | None:
    cache = state.caches[home]
    if cache is None or cache.segments is None:
        return None
    if write.kind == "head":
        # The home node keeps its copy of the next segment instead of reading it again.
        return cache._replace(head=state.head)
    stored = state.segments[write.target]
    return cache._replace(segments=_replace_at(cache.segments, write.target, stored))


def _known_holder(cache: Cache | None) -> str | None:
    if cache is None or cache.segments is None:
        return None
    holder = NO_HOLDER
    for segment in cache.segments[: cache.head.open_segment + 1]:
        holder = segment.holder or holder
    return holder


def _with_phase(state: State, index: int, phase: str) -> State:
    return state._replace(phases=_replace_at(state.phases, index, phase))


def _with_cache(state: State, home: int, cache: Cache | None) -> State:
    return state._replace(caches=_replace_at(state.caches, home, cache))


def _with_write(state: State, home: int, write: Write | None) -> State:
    return state._replace(writes=_replace_at(state.writes, home, write))


def _replace_at(pair: tuple[T, T], index: int, value: T) -> tuple[T, T]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
