"""Orders to empty a zone: news in any order, a node that restarts, a watch that lags.

The operator empties a zone and takes it back, again and again. Each state of the orders
is the truth of one revision, and any of them may be told at any time later, also to a
node that has just started. A node must believe the newest truth that it has heard of in
its lifetime, and must serve nothing before it has heard any.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

LAST_REVISION = 5
UNHEARD = 0


class State(NamedTuple):
    """The store's truth by revision, and what one node believes."""

    truths: tuple[bool, ...] = (False,)
    """Whether the zone is emptied, as of revisions 1, 2 and so on. One revision may
    repeat the truth before it: other objects change as well."""
    as_of: int = UNHEARD
    """The revision of the node's view."""
    believed: bool = False
    heard: int = UNHEARD
    """The newest revision that the node was told of in its lifetime."""
    serves: bool = False


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    compare_revisions: bool = True
    same_orders_count: bool = True
    """Whether the same orders as of a later revision are newer knowledge."""
    wait_until_told: bool = True


INITIAL = State()
MUTATIONS = {
    "take words in the order of their arrival": Guards(compare_revisions=False),
    "pass over the same orders seen later": Guards(same_orders_count=False),
    "serve before any word": Guards(wait_until_told=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name="evacuations",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "believes_the_newest_it_heard": lambda s: (
                s["heard"] == UNHEARD or s["believed"] == s["truths"][s["heard"] - 1]
            ),
            "serves_nothing_untold": lambda s: not s["serves"] or s["heard"] > UNHEARD,
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    if len(state.truths) < LAST_REVISION:
        for order in (True, False):
            truths = (*state.truths, order)
            yield f"write {order}", state._replace(truths=truths)
    for revision in range(1, len(state.truths) + 1):
        yield f"hear {revision}", _hear(state, revision, guards)
    if not state.serves and (state.heard or not guards.wait_until_told):
        yield "serve", state._replace(serves=True)
    if state.heard or state.serves:
        yield "restart", State(truths=state.truths)


def _hear(state: State, revision: int, guards: Guards) -> State:
    told = state.truths[revision - 1]
    heard = max(state.heard, revision)
    if guards.compare_revisions and revision <= state.as_of:
        return state._replace(heard=heard)
    is_same = state.as_of != UNHEARD and told == state.believed
    if is_same and not guards.same_orders_count:
        return state._replace(heard=heard)
    return state._replace(as_of=revision, believed=told, heard=heard)
