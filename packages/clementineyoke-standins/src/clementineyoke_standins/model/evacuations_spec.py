"""Model of zone evacuations with unordered updates, restarts and delayed watches.

The operator evacuates a zone and ends the evacuation repeatedly. Each revision of the
store has one state of the orders, and a node may receive any of them at any later time,
also just after its start. A node must follow the newest state that it has received in
its lifetime, and must not serve calls before it has received one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_REVISION = 5
NO_REVISION = 0


class State(NamedTuple):
    """The store's state by revision, and what one node knows of it."""

    history: tuple[bool, ...] = (False,)
    """Whether the zone is evacuated as of revisions 1, 2 and so on. A revision may
    repeat the state before it, since other objects change as well."""
    known_revision: int = NO_REVISION
    """Revision of the node's view."""
    known_evacuated: bool = False
    newest_received: int = NO_REVISION
    """Newest revision that the node has received in its lifetime."""
    is_serving: bool = False


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    compare_revisions: bool = True
    accept_unchanged_orders: bool = True
    """Whether unchanged orders of a later revision advance the node's view."""
    require_orders_to_serve: bool = True


INITIAL = State()
MUTATIONS = {
    "apply updates in order of arrival": Guards(compare_revisions=False),
    "ignore unchanged orders of a later revision": Guards(
        accept_unchanged_orders=False
    ),
    "serve before receiving orders": Guards(require_orders_to_serve=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="evacuations",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "knows_newest_received": lambda s: (
                s["newest_received"] == NO_REVISION
                or s["known_evacuated"] == s["history"][s["newest_received"] - 1]
            ),
            "serves_only_with_orders": lambda s: (
                not s["is_serving"] or s["newest_received"] > NO_REVISION
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    if len(state.history) < MAX_REVISION:
        for is_evacuated in (True, False):
            history = (*state.history, is_evacuated)
            yield f"write {is_evacuated}", state._replace(history=history)
    for revision in range(1, len(state.history) + 1):
        yield f"receive {revision}", _receive(state, revision, guards)
    if not state.is_serving and (
        state.newest_received or not guards.require_orders_to_serve
    ):
        yield "serve", state._replace(is_serving=True)
    if state.newest_received or state.is_serving:
        yield "restart", State(history=state.history)


def _receive(state: State, revision: int, guards: Guards) -> State:
    is_evacuated = state.history[revision - 1]
    newest_received = max(state.newest_received, revision)
    if guards.compare_revisions and revision <= state.known_revision:
        return state._replace(newest_received=newest_received)
    is_unchanged = (
        state.known_revision != NO_REVISION and is_evacuated == state.known_evacuated
    )
    if is_unchanged and not guards.accept_unchanged_orders:
        return state._replace(newest_received=newest_received)
    return state._replace(
        known_revision=revision,
        known_evacuated=is_evacuated,
        newest_received=newest_received,
    )
