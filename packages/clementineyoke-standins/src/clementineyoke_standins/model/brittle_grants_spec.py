"""Model of grants on a brittle runner whose home may move at any moment.

The runner executes two calls, lets none wait, and falls over if it rejects more than
one call in a second. A new home learns of the calls under way by renewals, within a
second. It hears of rejections too late to rely on them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

SLOTS = 2
MAX_REJECTIONS = 1
MAX_MOVES = 2


class State(NamedTuple):
    """The runner, and what its home knows."""

    running: int = 0
    rejections: int = 0
    """Calls rejected in this second."""
    known: int = 0
    """Calls that the home counts on the runner."""
    is_new_home: bool = False
    at_risk: int = 0
    """Uncertain grants in this second."""
    moves: int = 0


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    let_none_wait: bool = True
    bound_new_home: bool = True
    learn_from_renewals: bool = True


INITIAL = State()
MUTATIONS = {
    "count on a queue at the runner": Guards(let_none_wait=False),
    "grant all slots after a move": Guards(bound_new_home=False),
    "ignore renewals after a move": Guards(learn_from_renewals=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="brittle_grants",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={"does_not_fall": lambda s: s["rejections"] <= MAX_REJECTIONS},
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    if _may_grant(state, guards):
        yield "grant", _grant(state)
    if state.running:
        known = max(0, state.known - 1)
        yield "end_call", state._replace(running=state.running - 1, known=known)
    if state.moves < MAX_MOVES and not state.is_new_home:
        moved = state._replace(known=0, is_new_home=True, moves=state.moves + 1)
        yield "move_home", moved._replace(at_risk=state.rejections)
    # Renewals have arrived by the end of the second.
    known = state.running if guards.learn_from_renewals else state.known
    next_second = state._replace(rejections=0, at_risk=0, known=known)
    yield "next_second", next_second._replace(is_new_home=False)


def _may_grant(state: State, guards: Guards) -> bool:
    max_calls = SLOTS if guards.let_none_wait else 2 * SLOTS
    if state.known >= max_calls or state.rejections > MAX_REJECTIONS:
        return False
    is_bounded = state.is_new_home and guards.bound_new_home
    return not is_bounded or state.at_risk < MAX_REJECTIONS


def _grant(state: State) -> State:
    at_risk = min(MAX_REJECTIONS + 1, state.at_risk + state.is_new_home)
    granted = state._replace(at_risk=at_risk)
    if state.running >= SLOTS:
        return granted._replace(rejections=state.rejections + 1)
    return granted._replace(running=state.running + 1, known=state.known + 1)
