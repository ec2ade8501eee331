"""Grants on a cold runner: homes that move, and askers whose home is silent.

Time goes in ticks, four to a second; the runner bears two calls a second. Its home may
move, and for a while the old and the new home both grant. Each spaces its grants. The
runner must never get more than twice what it bears within any second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

TICKS_A_SECOND = 4
BEARS = 2
GAP_TICKS = TICKS_A_SECOND // BEARS
HOMES = (0, 1)


class State(NamedTuple):
    """What both homes count, and what the runner got in the last second."""

    lately: tuple[int, ...] = (0,) * TICKS_A_SECOND
    """Calls in each of the last ticks, the newest last."""
    waits: tuple[int, int] = (0, 0)
    """Ticks until each home may grant again."""
    allowances: tuple[int, int] = (BEARS, BEARS)
    """What a bucket of each home holds; only a mutation goes by it."""
    has_moved: bool = False
    """Whether the home moves; the old one and the new one then both grant."""


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    space_evenly: bool = True
    ask_a_home: bool = True
    bind_last_asks: bool = True


INITIAL = State()
MUTATIONS = {
    "grant from a bucket": Guards(space_evenly=False),
    "send without a home": Guards(ask_a_home=False),
    "grant each last ask": Guards(bind_last_asks=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name="cold_grants",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "no_second_has_more_than_two_homes_worth": lambda s: (
                sum(s["lately"]) <= len(HOMES) * BEARS
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    yield "tick", _tick(state)
    if not state.has_moved:
        yield "move home", state._replace(has_moved=True)
    if sum(state.lately) > len(HOMES) * BEARS:
        return  # broken already: the checker stops at the first
    for home in HOMES[: 2 if state.has_moved else 1]:
        if _may_grant(state, home, guards):
            yield f"grant {home}", _grant(state, home)
    if not guards.ask_a_home:
        yield "send without a home", _send(state)


def _may_grant(state: State, home: int, guards: Guards) -> bool:
    if not guards.bind_last_asks:
        return True
    if not guards.space_evenly:
        return state.allowances[home] > 0
    return state.waits[home] == 0


def _tick(state: State) -> State:
    waits = tuple(max(0, wait - 1) for wait in state.waits)
    # A bucket gets a call back each second tick, up to what the runner bears.
    allowances = tuple(
        min(BEARS, held + (wait == 1))
        for held, wait in zip(state.allowances, state.waits, strict=True)
    )
    return state._replace(
        lately=(*state.lately[1:], 0),
        waits=(waits[0], waits[1]),
        allowances=(allowances[0], allowances[1]),
    )


def _grant(state: State, home: int) -> State:
    waits, allowances = list(state.waits), list(state.allowances)
    waits[home] = GAP_TICKS
    allowances[home] = max(0, allowances[home] - 1)
    return _send(state)._replace(
        waits=(waits[0], waits[1]), allowances=(allowances[0], allowances[1])
    )


def _send(state: State) -> State:
    return state._replace(lately=(*state.lately[:-1], state.lately[-1] + 1))
