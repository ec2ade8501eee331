"""Model of grants on a cold runner whose home node may change or be unreachable.

Time advances in ticks, four per second; the runner's limit is two calls per second.
When its home node changes, the old and the new one both grant calls for a while, each
at even intervals. The runner must never get more than twice its limit in any second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

TICKS_PER_S = 4
MAX_CALLS_PER_S = 2
GRANT_INTERVAL_TICKS = TICKS_PER_S // MAX_CALLS_PER_S
HOMES = (0, 1)


class State(NamedTuple):
    """Counters of both home nodes, and the runner's calls in the last second."""

    recent_calls: tuple[int, ...] = (0,) * TICKS_PER_S
    """Calls in each of the last ticks, the newest tick last."""
    wait_ticks: tuple[int, int] = (0, 0)
    """Ticks until each home node may grant again."""
    bucket_tokens: tuple[int, int] = (MAX_CALLS_PER_S, MAX_CALLS_PER_S)
    """Tokens in a bucket of each home node; used by a mutation only."""
    has_moved: bool = False
    """Whether the home node changes, so that the old and the new one both grant."""


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    space_evenly: bool = True
    require_home_grant: bool = True
    pace_final_requests: bool = True
    """Whether the last request of a slot search is subject to the interval, too."""


INITIAL = State()
MUTATIONS = {
    "grant from a token bucket": Guards(space_evenly=False),
    "send without a grant": Guards(require_home_grant=False),
    "grant every final request": Guards(pace_final_requests=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="cold_grants",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "calls_per_second_within_limit_of_two_homes": lambda s: (
                sum(s["recent_calls"]) <= len(HOMES) * MAX_CALLS_PER_S
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    yield "tick", _tick(state)
    if not state.has_moved:
        yield "change home node", state._replace(has_moved=True)
    if sum(state.recent_calls) > len(HOMES) * MAX_CALLS_PER_S:
        return  # the invariant is already violated
    for home in HOMES[: 2 if state.has_moved else 1]:
        if _may_grant(state, home, guards):
            yield f"grant {home}", _grant(state, home)
    if not guards.require_home_grant:
        yield "send without a grant", _send(state)


def _may_grant(state: State, home: int, guards: Guards) -> bool:
    if not guards.pace_final_requests:
        return True
    if not guards.space_evenly:
        return state.bucket_tokens[home] > 0
    return state.wait_ticks[home] == 0


def _tick(state: State) -> State:
    wait_ticks = tuple(max(0, ticks - 1) for ticks in state.wait_ticks)
    # A bucket gains a token every second tick, up to the runner's limit.
    bucket_tokens = tuple(
        min(MAX_CALLS_PER_S, tokens + (ticks == 1))
        for tokens, ticks in zip(state.bucket_tokens, state.wait_ticks, strict=True)
    )
    return state._replace(
        recent_calls=(*state.recent_calls[1:], 0),
        wait_ticks=(wait_ticks[0], wait_ticks[1]),
        bucket_tokens=(bucket_tokens[0], bucket_tokens[1]),
    )


def _grant(state: State, home: int) -> State:
    wait_ticks, bucket_tokens = list(state.wait_ticks), list(state.bucket_tokens)
    wait_ticks[home] = GRANT_INTERVAL_TICKS
    bucket_tokens[home] = max(0, bucket_tokens[home] - 1)
    return _send(state)._replace(
        wait_ticks=(wait_ticks[0], wait_ticks[1]),
        bucket_tokens=(bucket_tokens[0], bucket_tokens[1]),
    )


def _send(state: State) -> State:
    return state._replace(
        recent_calls=(*state.recent_calls[:-1], state.recent_calls[-1] + 1)
    )
