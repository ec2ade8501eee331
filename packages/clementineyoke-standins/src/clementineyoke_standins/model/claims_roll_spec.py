"""Run-once claims while a shard moves on to its next segment.

Two holders of one key, two homes; a home may read the head, pause, and read the
segments later. The danger is a claim that lands in a segment the others have left.
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
LAST_VERSION = 3


class Segment(NamedTuple):
    """A segment object; the newest record of the one key."""

    version: int
    holder: str
    is_sealed: bool


class Head(NamedTuple):
    """The head object: which of two segments is open."""

    version: int
    open: int


class Cache(NamedTuple):
    """What a home has read, or only the head of it."""

    head: Head
    segments: tuple[Segment, Segment] | None


class Write(NamedTuple):
    """A write under way; versions are the expected ones."""

    kind: str
    target: int
    segment: Segment
    head: Head


class State(NamedTuple):
    """Everything that a step may depend on."""

    head: Head
    segments: tuple[Segment, Segment]
    caches: tuple[Cache | None, Cache | None]
    writes: tuple[Write | None, Write | None]
    phases: tuple[str, str]
    runs: tuple[int, int]


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    seal_before_head: bool = True
    conditional_write: bool = True


EMPTY = Segment(0, NOBODY, False)
INITIAL = State(
    Head(0, 0), (EMPTY, EMPTY), (None, None), (None, None), ("idle", "idle"), (0, 0)
)
MUTATIONS = {
    "move the head before the seal": Guards(seal_before_head=False),
    "write without a version": Guards(conditional_write=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Any:
    """Return the protocol for the checker."""
    return Protocol(
        name="claims_roll",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={"at_most_once": lambda s: s["runs"][0] + s["runs"][1] <= 1},
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    for index, holder in enumerate(HOLDERS):
        phase = state.phases[index]
        if phase == "idle":
            yield f"ask {holder}", _with_phase(state, index, "asked")
        if phase == "granted":
            runs = _put(state.runs, index, state.runs[index] + 1)
            after = _with_phase(state, index, "ran")._replace(runs=runs)
            yield f"run {holder}", after
        for home in HOMES:
            yield from _decide_steps(state, index, home)
    for home in HOMES:
        yield from _read_steps(state, home)
        yield from _prepare_steps(state, home, guards)
        yield from _land_steps(state, home, guards)


def _decide_steps(state: State, index: int, home: int) -> Iterator[Step]:
    known = _known_holder(state.caches[home])
    if known in (None, NOBODY) or state.phases[index] != "asked":
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


def _prepare_steps(state: State, home: int, guards: Guards) -> Iterator[Step]:
    cache = state.caches[home]
    if cache is None or cache.segments is None or state.writes[home] is not None:
        return
    number = cache.head.open
    segment = cache.segments[number]
    if segment.version < LAST_VERSION and not segment.is_sealed:
        for index, holder in enumerate(HOLDERS):
            if state.phases[index] == "asked" and _known_holder(cache) == NOBODY:
                claimed = segment._replace(holder=holder)
                write = Write("claims", number, claimed, cache.head)
                yield f"prepare claims {holder} {home}", _with_write(state, home, write)
        if number == 0:
            sealed = segment._replace(is_sealed=True)
            write = Write("seal", number, sealed, cache.head)
            yield f"prepare seal {home}", _with_write(state, home, write)
    if number == 0 and (segment.is_sealed or not guards.seal_before_head):
        write = Write("head", 1, segment, cache.head._replace(open=1))
        yield f"prepare head {home}", _with_write(state, home, write)


def _land_steps(state: State, home: int, guards: Guards) -> Iterator[Step]:
    write = state.writes[home]
    if write is None:
        return
    freed = _with_write(state, home, None)
    landed = _land(freed, write, guards)
    if landed is None:
        yield f"distrust {home}", _with_cache(freed, home, None)
        return
    yield f"lose_reply {home}", _with_cache(landed, home, None)
    yield (
        f"written {home}",
        _with_cache(landed, home, _after_write(landed, home, write)),
    )


def _land(state: State, write: Write, guards: Guards) -> State | None:
    if write.kind == "head":
        if guards.conditional_write and write.head.version != state.head.version:
            return None
        return state._replace(head=Head(state.head.version + 1, write.head.open))
    stored = state.segments[write.target]
    if guards.conditional_write and write.segment.version != stored.version:
        return None
    segment = write.segment._replace(version=stored.version + 1)
    return state._replace(segments=_put(state.segments, write.target, segment))


def _after_write(state: State, home: int, write: Write) -> Cache | None:
    cache = state.caches[home]
    if cache is None or cache.segments is None:
        return None
    if write.kind == "head":
        # The home does not read the next segment: it takes it to be as it last was.
        return cache._replace(head=state.head)
    written = state.segments[write.target]
    return cache._replace(segments=_put(cache.segments, write.target, written))


def _known_holder(cache: Cache | None) -> str | None:
    if cache is None or cache.segments is None:
        return None
    holder = NOBODY
    for segment in cache.segments[: cache.head.open + 1]:
        holder = segment.holder or holder
    return holder


def _with_phase(state: State, index: int, phase: str) -> State:
    return state._replace(phases=_put(state.phases, index, phase))


def _with_cache(state: State, home: int, cache: Cache | None) -> State:
    return state._replace(caches=_put(state.caches, home, cache))


def _with_write(state: State, home: int, write: Write | None) -> State:
    return state._replace(writes=_put(state.writes, home, write))


def _put(pair: tuple[T, T], index: int, value: T) -> tuple[T, T]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
