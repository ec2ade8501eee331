"""Model of the reports that a runner is unreachable, by nodes that may be cut off.

Two nodes call the runner and report failures to its home. The second report pauses the
runner, and the home has a third node verify the pause. A sound runner that this node
reaches must not stay paused, nor count as ended; one that has ended must stay paused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

REPORTERS = (0, 1)
WITNESS = 2
MAX_FLIPS = 3


class State(NamedTuple):
    """The runner, the links of the nodes, and what the home knows."""

    is_alive: bool = True
    links: tuple[bool, ...] = (True, True, True)
    flips: int = 0
    reports: frozenset[int] = frozenset()
    is_paused: bool = False
    is_verified: bool = True
    doubted: frozenset[int] = frozenset()
    """Reporters that were wrong."""
    counts_as_ended: bool = False


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    verify: bool = True
    doubt_reporters: bool = True
    isolated_witness_abstains: bool = True


INITIAL = State()
MUTATIONS = {
    "pause without verification": Guards(verify=False),
    "believe reporters that were wrong": Guards(doubt_reporters=False),
    "count a witness that is cut off itself": Guards(isolated_witness_abstains=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="reach_reports",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "sound_runner_is_not_paused": lambda s: (
                not (
                    s["is_alive"]
                    and s["is_paused"]
                    and s["is_verified"]
                    and s["links"] == (False, False, True)
                    and s["flips"] == len(REPORTERS)
                )
            ),
            "wrong_reporters_do_not_pause_again": lambda s: (
                not (s["is_alive"] and s["is_paused"] and s["doubted"] >= s["reports"])
            ),
            "sound_runner_has_not_ended": lambda s: (
                not (s["is_alive"] and s["counts_as_ended"])
            ),
            "ended_runner_stays_paused": lambda s: (
                s["is_alive"] or not s["counts_as_ended"] or s["is_paused"]
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    if state.flips < MAX_FLIPS:
        for node, link in enumerate(state.links):
            links = (*state.links[:node], not link, *state.links[node + 1 :])
            yield f"flip {node}", state._replace(links=links, flips=state.flips + 1)
    if state.is_alive:
        yield "end", state._replace(is_alive=False)
    for node in REPORTERS:
        if not (state.is_alive and state.links[node]) and not state.is_paused:
            yield f"report {node}", _report(state, node, guards)
    if not state.is_verified:
        yield "verify", _verify(state, guards)


def _report(state: State, node: int, guards: Guards) -> State:
    reports = state.reports | {node}
    is_doubted = guards.doubt_reporters and reports <= state.doubted
    if reports != frozenset(REPORTERS) or is_doubted:
        return state._replace(reports=reports)
    return state._replace(
        reports=reports, is_paused=True, is_verified=not guards.verify
    )


def _verify(state: State, guards: Guards) -> State:
    verified = state._replace(is_verified=True)
    if state.is_alive and state.links[WITNESS]:
        return verified._replace(
            is_paused=False, reports=frozenset(), doubted=state.reports
        )
    if state.links[WITNESS] or not guards.isolated_witness_abstains:
        return verified._replace(counts_as_ended=True)
    return verified
