"""Model of a runner's lifetimes under one ID, with late writes and late updates.

A runner crashes and restarts under the same ID. The store may execute a write of the
previous lifetime late, and an entry that only such a write had renewed lapses. A node
receives each change at some time and may receive it again later. It must not return to
a lifetime that it knows to be replaced, must not treat a live runner as gone because
its predecessor's entry was removed, and must not restore an entry that it knows to be
removed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

NONE, OLD, NEW = 0, 1, 2
REGISTERED, AWAITED, GONE = "registered", "awaited", "gone"


class Update(NamedTuple):
    """State of the entry at one revision of the store."""

    revision: int
    lifetime: int
    """Lifetime of the entry, or of the removed entry."""
    is_removal: bool


class State(NamedTuple):
    """The store's entry, the current lifetime, and what one node knows."""

    revision: int = 1
    registered: int = OLD
    """The lifetime that the entry is of."""
    living: int = OLD
    has_late_write: bool = False
    """Whether a write of the old lifetime is still pending."""
    updates: tuple[Update, ...] = (Update(1, OLD, is_removal=False),)
    """All updates so far; peers may send any of them late."""
    known_lifetime: int = OLD
    known_revision: int = 1
    runner_state: str = REGISTERED
    newest_removal_revision: int = 0
    """Revision of the newest removal that the node has received."""
    has_received_new: bool = False
    removed_by_own_entry: bool = False
    """Whether the node removed the runner because this lifetime's entry was removed."""


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    compare_lifetimes: bool = True
    retain_at_old_removal: bool = True
    compare_revisions: bool = True


INITIAL = State()
MUTATIONS = {
    "accept a late write": Guards(compare_lifetimes=False),
    "apply the removal of an old entry to the new runner": Guards(
        retain_at_old_removal=False
    ),
    "apply updates in order of arrival": Guards(compare_revisions=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="runner_lifetimes",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "replaced_lifetime_never_returns": lambda s: (
                not s["has_received_new"] or s["known_lifetime"] == NEW
            ),
            "old_removal_does_not_remove_new": lambda s: (
                s["runner_state"] != GONE
                or not s["has_received_new"]
                or s["removed_by_own_entry"]
            ),
            "removal_is_final": lambda s: (
                s["runner_state"] != REGISTERED
                or s["known_revision"] >= s["newest_removal_revision"]
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    yield from _environment_steps(state)
    for update in state.updates:
        yield f"receive {update.revision}", _apply_update(state, update, guards)


def _environment_steps(state: State) -> Iterator[Step]:
    if state.living == OLD:
        yield (
            "crash during a write",
            state._replace(living=NONE, has_late_write=True),
        )
    if state.living == NONE:
        yield "restart", _write(state._replace(living=NEW), NEW, is_removal=False)
    if state.has_late_write:
        late = state._replace(has_late_write=False)
        yield "late write", _write(late, OLD, is_removal=False)
    if state.registered == OLD and state.living != OLD:
        yield "lapse", _write(state, OLD, is_removal=True)
    if state.living == NEW and state.registered != NEW:
        yield "renew", _write(state, NEW, is_removal=False)


def _write(state: State, lifetime: int, *, is_removal: bool) -> State:
    revision = state.revision + 1
    return state._replace(
        revision=revision,
        registered=NONE if is_removal else lifetime,
        updates=(*state.updates, Update(revision, lifetime, is_removal)),
    )


def _apply_update(state: State, update: Update, guards: Guards) -> State:
    if guards.compare_revisions and update.revision <= state.known_revision:
        return state
    is_older = update.lifetime < state.known_lifetime
    if update.is_removal:
        return _apply_removal(state, update, is_older=is_older, guards=guards)
    if is_older and guards.compare_lifetimes:
        return state
    return state._replace(
        known_lifetime=update.lifetime,
        known_revision=update.revision,
        runner_state=REGISTERED,
        has_received_new=state.has_received_new or update.lifetime == NEW,
        removed_by_own_entry=False,
    )


def _apply_removal(
    state: State, update: Update, *, is_older: bool, guards: Guards
) -> State:
    updated = state._replace(
        known_revision=update.revision,
        newest_removal_revision=max(state.newest_removal_revision, update.revision),
    )
    if state.runner_state != REGISTERED:
        return updated
    if is_older and guards.retain_at_old_removal:
        return updated._replace(runner_state=AWAITED)
    return updated._replace(runner_state=GONE, removed_by_own_entry=not is_older)
