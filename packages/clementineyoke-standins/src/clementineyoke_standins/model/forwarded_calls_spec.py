"""Model of a call that may not be repeated, at a node that may have lost its links.

Links to runners fail and return at any moment. The node that the caller chose forwards
the call to peers while it reaches no runner; connections between nodes may break. The
call must run at most once, an answer that it did not run must be true, and it makes one
hop at most.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

NODES = 3
MAX_FLIPS = 3
"""Times that a link fails or returns."""
MAX_CHAIN = 4
"""Keeps the model finite if a mutation forwards calls without end."""


class State(NamedTuple):
    """The call on its way, and what has become of it."""

    links: tuple[bool, ...] = (True,) * NODES
    """Whether each node reaches the runners."""
    flips: int = 0
    chain: tuple[int, ...] = (0,)
    """Nodes that wait for the call, the one that handles it last."""
    asked: frozenset[int] = frozenset()
    abandoned: tuple[int, ...] = ()
    """Nodes that still handle the call although the node before has lost them."""
    runs: int = 0
    answer: str = ""


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    forward_once: bool = True
    give_up_after_loss: bool = True
    """Whether a call is over when the connection to a peer breaks after it was sent."""
    refuse_unsent_only: bool = True
    """Whether a peer says "not run" only if it sent the call to no runner."""


INITIAL = State()
MUTATIONS = {
    "forward a forwarded call": Guards(forward_once=False),
    "ask the next peer after a broken connection": Guards(give_up_after_loss=False),
    "say that a call whose answer was lost did not run": Guards(
        refuse_unsent_only=False
    ),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="forwarded_calls",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "runs_at_most_once": lambda s: s["runs"] <= 1,
            "not_run_is_true": lambda s: s["answer"] != "not_run" or not s["runs"],
            "one_hop": lambda s: len(s["chain"]) <= 2,
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    if state.flips < MAX_FLIPS:
        for node in range(NODES):
            links = _replace(state.links, node, value=not state.links[node])
            yield f"flip {node}", state._replace(links=links, flips=state.flips + 1)
    for node in state.abandoned:
        if state.links[node]:
            abandoned = tuple(other for other in state.abandoned if other != node)
            runs = state.runs + 1
            yield f"run_late {node}", state._replace(abandoned=abandoned, runs=runs)
    if not state.answer:
        yield from _call_steps(state, guards)


def _call_steps(state: State, guards: Guards) -> Iterator[Step]:
    node = state.chain[-1]
    is_hop = len(state.chain) > 1
    if state.links[node]:
        ran = state._replace(runs=state.runs + 1)
        yield "answer", ran._replace(answer="ok")
        if is_hop and not guards.refuse_unsent_only:
            yield "lose_answer", ran._replace(chain=state.chain[:-1])
        else:
            yield "lose_answer", ran._replace(answer="unknown")
    elif is_hop and guards.forward_once:
        yield "refuse_hop", state._replace(chain=state.chain[:-1])
    elif len(state.chain) < MAX_CHAIN:
        yield from _forward_steps(state, node, guards)
    if is_hop:
        lost = state._replace(abandoned=(*state.abandoned, node))
        if guards.give_up_after_loss:
            yield "lose_hop", lost._replace(answer="unknown")
        else:
            yield "lose_hop", lost._replace(chain=state.chain[:-1])


def _forward_steps(state: State, node: int, guards: Guards) -> Iterator[Step]:
    peers = set(range(NODES)) - {node}
    if guards.forward_once:
        peers -= state.asked
    for peer in sorted(peers):
        chain, asked = (*state.chain, peer), state.asked | {peer}
        yield f"forward {peer}", state._replace(chain=chain, asked=asked)
    if not peers:
        yield "refuse", state._replace(answer="not_run")


def _replace(links: tuple[bool, ...], node: int, *, value: bool) -> tuple[bool, ...]:
    return (*links[:node], value, *links[node + 1 :])
