"""Which faults a seed brings, when and how long; the same for a seed each time."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

CALM_BEFORE_S = 2.0
"""Calls before the first fault, so that connections are kept and caches are warm."""
LEAST_GAP_S = 0.1
LARGEST_GAP_S = 1.6
"""Between the beginnings of two faults: most of them overlap."""
SHORTEST_S = 0.4
LONGEST_S = 3.0
CRASHING_REQUESTS = 2
"""Times in a seed at which such a request comes, again and again for a while."""


class FaultKind(Enum):
    """What a soak does to the fleet."""

    NODE_STOP = "node_stop"
    NODE_KILL = "node_kill"
    NODE_PAUSE = "node_pause"
    NODE_CLOCK = "node_clock"
    """Killed, and started again with a time of day that is off."""
    ALL_KILL = "all_kill"
    HUP = "hup"
    SETTINGS_TORN = "settings_torn"
    """The settings file is half written when the node is told to read it."""
    STORE_LINK = "store_link"
    """The path from one node to the store fails."""
    STORE_AWAY = "store_away"
    STORE_FORGETS = "store_forgets"
    RUNNER_LINK = "runner_link"
    """The path from all nodes to one runner fails."""
    RUNNER_ANSWERS = "runner_answers"
    """A runner spoils some of its answers."""
    RUNNER_LEAVES = "runner_leaves"
    KEY_CHANGE = "key_change"
    STATE_STORM = "state_storm"
    CRASHING_REQUEST = "crashing_request"
    """A request comes that ends each runner which begins to run it."""
    ZONE_EMPTIED = "zone_emptied"
    """The operator wants nothing new for a zone's runners, and takes that back."""
    RUNNER_COLD = "runner_cold"
    """A runner bears only some calls a second for a while, and says so."""
    RUNNER_SHEDS = "runner_sheds"
    """A runner refuses all calls for a while, each with a time to back off."""
    RUNNER_DRAINS_UNLISTED = "runner_drains_unlisted"
    """A runner drains and signals it in its answers; its entry follows later."""


HARMLESS = frozenset(
    (
        FaultKind.HUP,
        FaultKind.RUNNER_LEAVES,
        FaultKind.KEY_CHANGE,
        FaultKind.STATE_STORM,
        FaultKind.ZONE_EMPTIED,
        FaultKind.RUNNER_COLD,
        FaultKind.RUNNER_SHEDS,
        FaultKind.RUNNER_DRAINS_UNLISTED,
    )
)
"""What no promise may suffer under at all."""
PLANNED = HARMLESS | {FaultKind.NODE_STOP}
"""Work of operators: it cuts no call."""
RESTARTS = frozenset(
    (
        FaultKind.NODE_STOP,
        FaultKind.NODE_KILL,
        FaultKind.NODE_PAUSE,
        FaultKind.NODE_CLOCK,
        FaultKind.ALL_KILL,
    )
)
"""After these a node may have forgotten the signals of runners."""
RUNNER_SIGNALS = (FaultKind.RUNNER_SHEDS, FaultKind.RUNNER_DRAINS_UNLISTED)
DRAWN_APART = frozenset(
    (
        FaultKind.CRASHING_REQUEST,
        FaultKind.ZONE_EMPTIED,
        FaultKind.RUNNER_COLD,
        *RUNNER_SIGNALS,
    )
)
"""What is planned by itself, so that seeds from before play what they played."""


class PlannedFault(NamedTuple):
    """One fault of a seed."""

    at_s: float
    kind: FaultKind
    pick: int
    """Chooses the target and the variant, by its remainder."""
    for_s: float


def plan_crashes(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return when requests come that end their runners, drawn by themselves.

    The faults of a seed are the same with and without them: a seed that has failed
    once must go on playing what it played.
    """
    rng = Random(f"crashes of {seed}")
    return [
        PlannedFault(
            rng.uniform(CALM_BEFORE_S, length_s),
            FaultKind.CRASHING_REQUEST,
            rng.getrandbits(16),
            rng.uniform(SHORTEST_S, LONGEST_S),
        )
        for _ in range(CRASHING_REQUESTS)
    ]


def plan_zone_work(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return when a zone is emptied and runners are cold; in every second seed."""
    if seed % 2:
        return []
    kinds = (FaultKind.ZONE_EMPTIED, FaultKind.RUNNER_COLD)
    return _draw_once(kinds, Random(f"zones of {seed}"), length_s)


def plan_runner_signals(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return when runners shed calls, and drain before their entries say so."""
    return _draw_once(RUNNER_SIGNALS, Random(f"signals of {seed}"), length_s)


def _draw_once(
    kinds: tuple[FaultKind, ...], rng: Random, length_s: float
) -> list[PlannedFault]:
    return [
        PlannedFault(
            rng.uniform(CALM_BEFORE_S, length_s),
            kind,
            rng.getrandbits(16),
            rng.uniform(SHORTEST_S, LONGEST_S),
        )
        for kind in kinds
    ]


def plan_faults(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return a seed's faults in order of their beginning."""
    rng = Random(seed)
    kinds = [kind for kind in FaultKind if kind not in DRAWN_APART]
    planned = []
    at_s = CALM_BEFORE_S
    while at_s < length_s:
        kind = rng.choice(kinds)
        for_s = rng.uniform(SHORTEST_S, LONGEST_S)
        planned.append(PlannedFault(at_s, kind, rng.getrandbits(16), for_s))
        at_s += rng.uniform(LEAST_GAP_S, LARGEST_GAP_S)
    return planned
