"""Lifetimes of one runner under one id: late writes, late news, ends of old entries.

A runner dies and starts anew under its id. The store may do a write of the lifetime
before late, and an entry lapses that only such a write had renewed. A node hears of
each change at some time, and of any change again later. It must not go back to a
lifetime that it has seen replaced, must not take a living runner for gone because its
predecessor's entry ended, and must not take back what it has seen end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

NONE, OLD, NEW = 0, 1, 2
HELD, WAITED, GONE = "held", "waited", "gone"


class Word(NamedTuple):
    """What the store said of the entry at one revision."""

    revision: int
    lifetime: int
    """Of the entry, or of the entry that ended."""
    is_end: bool


class State(NamedTuple):
    """The store's entry, the living lifetime, and what one node believes."""

    revision: int = 1
    entered: int = OLD
    living: int = OLD
    has_late_write: bool = False
    """Whether a write of the old lifetime is still under way."""
    words: tuple[Word, ...] = (Word(1, OLD, is_end=False),)
    """All that was ever said: peers may tell any of it late."""
    known_lifetime: int = OLD
    known_revision: int = 1
    belief: str = HELD
    heard_end_revision: int = 0
    """Of the newest end that the node has heard of."""
    has_seen_new: bool = False
    ended_by_own_entry: bool = False
    """Whether the node dropped the runner at the end of this lifetime's entry."""


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    compare_lifetimes: bool = True
    wait_at_old_end: bool = True
    compare_revisions: bool = True


INITIAL = State()
MUTATIONS = {
    "believe a late write": Guards(compare_lifetimes=False),
    "take an old entry's end for the new runner's": Guards(wait_at_old_end=False),
    "take words in the order of their arrival": Guards(compare_revisions=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name="runner_lifetimes",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "no_lifetime_returns": lambda s: (
                not s["has_seen_new"] or s["known_lifetime"] == NEW
            ),
            "an_old_end_is_not_the_new_ones": lambda s: (
                s["belief"] != GONE or not s["has_seen_new"] or s["ended_by_own_entry"]
            ),
            "an_end_is_final": lambda s: (
                s["belief"] != HELD or s["known_revision"] >= s["heard_end_revision"]
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    yield from _world_steps(state)
    for word in state.words:
        yield f"hear {word.revision}", _hear(state, word, guards)


def _world_steps(state: State) -> Iterator[Step]:
    if state.living == OLD:
        yield (
            "die in the middle of a write",
            state._replace(living=NONE, has_late_write=True),
        )
    if state.living == NONE:
        yield "start anew", _say(state._replace(living=NEW), NEW, is_end=False)
    if state.has_late_write:
        late = state._replace(has_late_write=False)
        yield "late write", _say(late, OLD, is_end=False)
    if state.entered == OLD and state.living != OLD:
        yield "lapse", _say(state, OLD, is_end=True)
    if state.living == NEW and state.entered != NEW:
        yield "renew", _say(state, NEW, is_end=False)


def _say(state: State, lifetime: int, *, is_end: bool) -> State:
    revision = state.revision + 1
    return state._replace(
        revision=revision,
        entered=NONE if is_end else lifetime,
        words=(*state.words, Word(revision, lifetime, is_end)),
    )


def _hear(state: State, word: Word, guards: Guards) -> State:
    if guards.compare_revisions and word.revision <= state.known_revision:
        return state
    is_older = word.lifetime < state.known_lifetime
    if word.is_end:
        return _hear_end(state, word, is_older=is_older, guards=guards)
    if is_older and guards.compare_lifetimes:
        return state
    return state._replace(
        known_lifetime=word.lifetime,
        known_revision=word.revision,
        belief=HELD,
        has_seen_new=state.has_seen_new or word.lifetime == NEW,
        ended_by_own_entry=False,
    )


def _hear_end(state: State, word: Word, *, is_older: bool, guards: Guards) -> State:
    heard = state._replace(
        known_revision=word.revision,
        heard_end_revision=max(state.heard_end_revision, word.revision),
    )
    if state.belief != HELD:
        return heard
    if is_older and guards.wait_at_old_end:
        return heard._replace(belief=WAITED)
    return heard._replace(belief=GONE, ended_by_own_entry=not is_older)
