"""Model of a stream that a caller resumes while a second software version appears.

Node 0 begins the stream and may be killed; its caller resumes it at another node. Each
node learns of runners by itself and at any time, or never; a list may skip changes.
Nodes lose their links to each other, and one datagram with the stream's record may be
lost. At the lookup the store confirms the answer of one node, or of none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

NODES = 3
V1, V2 = 1, 2
"""Versions, as bits of a set."""
MAX_LOST = 1
MAX_CUTS = 2

_T = TypeVar("_T")


class State(NamedTuple):
    """The runners, what each node knows, and the stream."""

    history: tuple[int, ...] = (V1,)
    """Versions of the runners in the store, by revision."""
    revisions: tuple[int, ...] = (0,) * NODES
    """The revision of each node's list."""
    since: tuple[int, ...] = (0,) * NODES
    """The revision from which each node has missed no change; 0 for the whole time."""
    recent: tuple[int, ...] = (V1,) * NODES
    """Versions that each node has ever listed."""
    records: tuple[int, ...] = (0,) * NODES
    """Version that each node has recorded for the stream; 0 for none."""
    is_shared: bool = False
    is_cut: tuple[bool, ...] = (False,) * NODES
    """Whether each node has lost its links to the others."""
    cuts: int = 0
    lost: int = 0
    is_killed: bool = False
    sent: int = 0
    """Version of the runner that the call was sent to last."""
    began: int = 0
    """Version of the first event that the caller got; 0 for none."""
    resumed: int = 0
    """Version at which the stream went on; -1 if it was refused."""


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    look_up: bool = True
    share: bool = True
    record_first_event: bool = True
    """Whether the version of the first event counts, not of the first runner."""
    remember_former: bool = True
    """Whether versions count whose last runner has gone."""
    need_confirmation: bool = True
    """Whether the store has to confirm a lookup without a record."""
    distrust_majority: bool = True
    """Whether that holds where over half of the nodes agree."""
    need_contiguity: bool = True
    """Whether no change may be missing between what two nodes know."""


INITIAL = State()
MUTATIONS = {
    "go on at any version": Guards(look_up=False),
    "tell no other node, and trust any list": Guards(
        share=False, need_confirmation=False
    ),
    "record the version when the call is sent": Guards(record_first_event=False),
    "forget versions whose runners have gone": Guards(remember_former=False),
    "trust an old list of runners": Guards(need_confirmation=False),
    "take the word of two nodes that have missed the same version": Guards(
        distrust_majority=False
    ),
    "take what a node that is behind knows for the whole time": Guards(
        need_contiguity=False
    ),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="stream_versions",
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
    yield from _platform_steps(state)
    for node in range(NODES):
        if node or not state.is_killed:
            yield from _learn_steps(state, node, guards)
    if not state.is_killed:
        yield from _origin_steps(state, guards)
    if state.is_killed and state.began:
        for node in range(1, NODES):
            yield from _resume_steps(state, node, guards)


def _platform_steps(state: State) -> Iterator[Step]:
    listed = state.history[-1]
    if len(state.history) == 1:
        yield "v2 appears", state._replace(history=(*state.history, V1 | V2))
    if listed == V1 | V2:
        for left in (V1, V2):
            label = f"v{V1 + V2 - left} goes"
            yield label, state._replace(history=(*state.history, left))
    if state.cuts < MAX_CUTS:
        for node in range(NODES):
            is_cut = _replace(state.is_cut, node, not state.is_cut[node])
            yield f"cut {node}", state._replace(is_cut=is_cut, cuts=state.cuts + 1)


def _learn_steps(state: State, node: int, guards: Guards) -> Iterator[Step]:
    if state.revisions[node] == len(state.history) - 1:
        return
    learnt = _learn(state, node)
    if node == 0 and state.records[0] and not state.is_shared:
        for label, shared in _share(learnt, guards):
            yield f"learn 0, {label}", shared
    else:
        yield f"learn {node}", learnt
    if node:
        yield f"learn {node}, with a gap", _learn(state, node, has_gap=True)


def _learn(state: State, node: int, *, has_gap: bool = False) -> State:
    """Return the state in which a node's list is the store's newest."""
    newest = len(state.history) - 1
    recent = state.recent[node]
    first = newest if has_gap else state.revisions[node]
    for listed in state.history[first:]:
        recent |= listed
    return state._replace(
        revisions=_replace(state.revisions, node, newest),
        since=_replace(state.since, node, newest) if has_gap else state.since,
        recent=_replace(state.recent, node, recent),
    )


def _origin_steps(state: State, guards: Guards) -> Iterator[Step]:
    if not state.began:
        for version in (V1, V2):
            if version & state.history[state.revisions[0]]:
                sent = state._replace(sent=version)
                if guards.record_first_event:
                    yield f"send to v{version}", sent
                else:
                    yield from _record(f"send to v{version}", sent, guards)
    if state.sent and not state.began:
        begun = state._replace(began=state.sent)
        if guards.record_first_event:
            yield from _record("first event", begun, guards)
        else:
            yield "first event", begun
    yield "kill 0", state._replace(is_killed=True)


def _record(label: str, state: State, guards: Guards) -> Iterator[Step]:
    recorded = state._replace(records=_replace(state.records, 0, state.sent))
    for how, shared in _share(recorded, guards):
        yield f"{label}, {how}", shared
    if state.recent[0] != V1 | V2:
        # Where one version serves, not all nodes are told; here, none.
        yield label, recorded


def _share(state: State, guards: Guards) -> Iterator[Step]:
    if not guards.share:
        yield "tell nobody", state
        return
    for lost in (None, *range(1, NODES)):
        if lost is not None and state.lost >= MAX_LOST:
            continue
        records = list(state.records)
        for node in range(1, NODES):
            is_reached = not state.is_cut[0] and not state.is_cut[node]
            if node != lost and is_reached:
                records[node] = state.records[0]
        shared = state._replace(
            records=tuple(records),
            is_shared=True,
            lost=state.lost + (lost is not None),
        )
        yield f"lose {lost}", shared


def _resume_steps(state: State, node: int, guards: Guards) -> Iterator[Step]:
    label = f"resume at {node}"
    if not guards.look_up:
        for version in (V1, V2):
            if version & state.history[state.revisions[node]]:
                yield label, state._replace(resumed=version)
        return
    peers = [
        peer
        for peer in range(1, NODES)
        if peer != node and not state.is_cut[node] and not state.is_cut[peer]
    ]
    known = [node, *peers]
    records = [state.records[n] for n in known if state.records[n]]
    if records:
        yield label, state._replace(resumed=records[0])
        return
    for confirming in (None, *known):
        how = label if confirming is None else f"{label}, confirmed at {confirming}"
        for has_gap in (False, True) if confirming is not None else (False,):
            read = state
            if confirming is not None:
                read = _learn(state, confirming, has_gap=has_gap)
            yield how, _conclude(read, known, confirming, guards)


def _conclude(
    state: State, known: list[int], confirming: int | None, guards: Guards
) -> State:
    """Return the state after a lookup without a record."""
    versions = 0
    for n in known:
        listed = state.history[state.revisions[n]]
        versions |= state.recent[n] if guards.remember_former else listed
    has_majority = 2 * len(known) > NODES
    may_conclude = (
        confirming is not None
        or not guards.need_confirmation
        or (has_majority and not guards.distrust_majority)
    )
    first = 0 if confirming is None else state.since[confirming]
    is_covered = any(
        not state.since[n]
        and (
            n == confirming or state.revisions[n] >= first or not guards.need_contiguity
        )
        for n in known
    )
    is_only = versions in (V1, V2)
    resumed = versions if is_only and may_conclude and is_covered else -1
    return state._replace(resumed=resumed)


def _replace(values: tuple[_T, ...], index: int, value: _T) -> tuple[_T, ...]:
    return (*values[:index], value, *values[index + 1 :])
