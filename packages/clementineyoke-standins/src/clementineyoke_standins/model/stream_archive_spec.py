"""Model of streams that callers resume after all nodes have ended.

The nodes are in touch with each other, so that one stands for all of them. They store
the recent versions of the pool, which one version comes to and another leaves, and the
streams under way. They end together at any moment and start without any memory. What
the model takes for granted: a version does not go before it has been stored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

V1, V2 = 1, 2
"""Versions, as bits of a set."""
MAX_ENDS = 2


class State(NamedTuple):
    """The runners, the store, what the nodes know, and the stream."""

    listed: int = V1
    """Versions of the runners in the store."""
    stored: int = V1
    """Recent versions that the nodes have stored."""
    archived: int = 0
    """Version that is stored for the stream; 0 for none."""
    is_up: bool = True
    recent: int = V1
    """Versions that the nodes know."""
    knows_whole_time: bool = True
    record: int = 0
    """Version that the nodes have recorded for the stream; 0 for none."""
    ends: int = 0
    began: int = 0
    resumed: int = 0
    """Version at which the stream went on; -1 if it was refused."""


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    need_whole_time: bool = True
    """Whether versions that are not listed any more must be known."""
    read_before_write: bool = True
    """Whether a node adds what is stored before it replaces it."""
    store_versions: bool = True


INITIAL = State()
MUTATIONS = {
    "take the listed versions for all": Guards(need_whole_time=False),
    "replace the stored versions unread": Guards(read_before_write=False),
    "store no version that appears": Guards(store_versions=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="stream_archive",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "goes_on_at_its_version": lambda s: s["resumed"] in (0, -1, s["began"]),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    if state.resumed:
        return
    yield from _runner_steps(state, guards)
    if not state.is_up:
        yield "start", state._replace(is_up=True)
        return
    if state.recent | state.listed != state.recent:
        yield "list", state._replace(recent=state.recent | state.listed)
    yield from _store_steps(state, guards)
    yield from _stream_steps(state, guards)
    if state.ends < MAX_ENDS:
        yield (
            "all end",
            state._replace(
                is_up=False,
                recent=0,
                knows_whole_time=False,
                record=0,
                ends=state.ends + 1,
            ),
        )


def _runner_steps(state: State, guards: Guards) -> Iterator[Step]:
    for version in (V1, V2):
        if not state.listed & version:
            yield f"v{version} appears", state._replace(listed=state.listed | version)
        elif state.listed != version and (
            state.stored & version or not guards.store_versions
        ):
            yield f"v{version} goes", state._replace(listed=state.listed & ~version)


def _store_steps(state: State, guards: Guards) -> Iterator[Step]:
    if not state.knows_whole_time:
        yield (
            "read versions",
            state._replace(recent=state.recent | state.stored, knows_whole_time=True),
        )
    if guards.store_versions and state.recent & ~state.stored:
        known = state.recent
        if guards.read_before_write:
            known |= state.stored
        yield "write versions", state._replace(stored=known, recent=known)
    if state.record and not state.archived and state.recent == V1 | V2:
        yield "write stream", state._replace(archived=state.record)


def _stream_steps(state: State, guards: Guards) -> Iterator[Step]:
    if not state.began:
        for version in (V1, V2):
            if version & state.listed & state.recent:
                begun = state._replace(began=version, record=version)
                yield f"begin at v{version}", begun
        return
    if not state.ends:
        return
    if state.record or state.archived:
        yield "resume", state._replace(resumed=state.record or state.archived)
        return
    known = state.recent | state.listed
    may_conclude = state.knows_whole_time or not guards.need_whole_time
    is_only = may_conclude and known in (V1, V2)
    yield "resume", state._replace(resumed=known if is_only else -1)
