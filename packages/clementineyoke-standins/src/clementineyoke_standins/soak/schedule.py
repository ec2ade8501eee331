"""Deterministic fault schedule of a seed: kinds, start times and durations."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

from clementineyoke_standins.soak.releases import NodeLoss

WARM_UP_S = 2.0
"""Time before the first fault, to open connections and fill caches."""
MIN_GAP_S = 0.1
MAX_GAP_S = 1.6
"""Longest gap between the starts of two faults, short enough that most overlap."""
REPLACEMENT_INTERVAL_S = 14.0
"""Time between the starts of two releases, longer than a release takes."""
MIN_DURATION_S = 0.4
MAX_DURATION_S = 3.0
CRASHING_REQUEST_FAULTS = 2
"""Number of faults in a seed that send a crashing request repeatedly for a while."""


class FaultKind(Enum):
    """Kinds of faults that a soak injects into the fleet."""

    NODE_STOP = "node_stop"
    NODE_KILL = "node_kill"
    NODE_PAUSE = "node_pause"
    NODE_CLOCK = "node_clock"
    """A node is killed and restarted with a skewed wall clock."""
    ALL_KILL = "all_kill"
    RELEASE_KILL = "release_kill"
    """Half of the runners get a new version, then all nodes are killed; the rest of the
    runners get it meanwhile in every second seed."""
    REPLACE_KILL = "replace_kill"
    """Runners are replaced by ones of another version, with new IDs at the same
    addresses, and nodes are killed meanwhile."""
    HUP = "hup"
    SETTINGS_TORN = "settings_torn"
    """The settings file is truncated while the node reloads it."""
    STORE_LINK = "store_link"
    """The path from one node to the store fails."""
    STORE_AWAY = "store_away"
    STORE_FORGETS = "store_forgets"
    RUNNER_LINK = "runner_link"
    """The path from all nodes to one runner fails."""
    RUNNER_ANSWERS = "runner_answers"
    """A runner sends some faulty responses."""
    RUNNER_LEAVES = "runner_leaves"
    KEY_CHANGE = "key_change"
    STATE_STORM = "state_storm"
    CRASHING_REQUEST = "crashing_request"
    """A request is sent that crashes each runner which starts to execute it."""
    CRASHING_PART = "crashing_part"
    """Requests share a part of their prompts that crashes each runner which answers."""
    ZONE_EMPTIED = "zone_emptied"
    """The operator evacuates an availability zone and later ends the evacuation."""
    RUNNER_COLD = "runner_cold"
    """A runner reports that it is cold and limits its call rate for a while."""
    RUNNER_SHEDS = "runner_sheds"
    """A runner refuses all calls with ``Retry-After`` for a while."""
    RUNNER_DRAINS_UNLISTED = "runner_drains_unlisted"
    """A runner signals draining in its responses before its entry is updated."""

    NODE_CUT = "node_cut"
    """Some nodes lose their links to all runners."""
    RUNNERS_BRITTLE = "runners_brittle"
    """All runners have little room and fall over if they reject too many calls."""
    RUNNER_SILENT = "runner_silent"
    """A runner sends and receives nothing for a second."""
    RUNNERS_PAUSE = "runners_pause"
    """Some or all runners stop working for a second; their connections stay open."""
    FOREIGN_ENTRY = "foreign_entry"
    """Another writer adds an entry of a runner that the nodes' parser rejects."""
    RUNNER_ENDLESS = "runner_endless"
    """A runner answers with bytes without end."""
    STORE_ENDLESS = "store_endless"
    """The store answers lists and watches with bytes without end."""
    RUNNER_MALFORMED = "runner_malformed"
    """A runner answers with heads that break the grammar of HTTP."""


NON_DISRUPTIVE = frozenset(
    (
        FaultKind.HUP,
        FaultKind.RUNNER_LEAVES,
        FaultKind.KEY_CHANGE,
        FaultKind.STATE_STORM,
        FaultKind.ZONE_EMPTIED,
        FaultKind.RUNNER_COLD,
        FaultKind.RUNNER_SHEDS,
        FaultKind.RUNNER_DRAINS_UNLISTED,
        FaultKind.FOREIGN_ENTRY,
    )
)
"""Faults during which every guarantee must hold."""
PLANNED_WORK = NON_DISRUPTIVE | {FaultKind.NODE_STOP}
"""Planned work of operators, which must not interrupt calls."""
ALL_NODES_KILLED = frozenset(
    (FaultKind.ALL_KILL, FaultKind.RELEASE_KILL, FaultKind.REPLACE_KILL)
)
INTERRUPTIONS = ALL_NODES_KILLED | frozenset(
    (
        FaultKind.NODE_STOP,
        FaultKind.NODE_KILL,
        FaultKind.NODE_PAUSE,
        FaultKind.NODE_CLOCK,
    )
)
"""Faults after which a node may have lost the signals of runners."""
RUNNER_SIGNALS = (FaultKind.RUNNER_SHEDS, FaultKind.RUNNER_DRAINS_UNLISTED)
PATH_FAULTS = (
    FaultKind.NODE_CUT,
    FaultKind.RUNNERS_BRITTLE,
    FaultKind.RUNNER_SILENT,
)
PAUSES = (FaultKind.RUNNERS_PAUSE, FaultKind.FOREIGN_ENTRY)
ENDLESS_BYTES = (FaultKind.RUNNER_ENDLESS, FaultKind.STORE_ENDLESS)
SEPARATELY_DRAWN = frozenset(
    (
        FaultKind.CRASHING_REQUEST,
        FaultKind.CRASHING_PART,
        FaultKind.ZONE_EMPTIED,
        FaultKind.RUNNER_COLD,
        *RUNNER_SIGNALS,
        *PATH_FAULTS,
        *PAUSES,
        *ENDLESS_BYTES,
        FaultKind.RUNNER_MALFORMED,
        FaultKind.RELEASE_KILL,
        FaultKind.REPLACE_KILL,
    )
)
"""Faults with random generators of their own, so that older seeds keep their faults."""


class PlannedFault(NamedTuple):
    """One fault in the schedule of a seed."""

    start_s: float
    kind: FaultKind
    selector: int
    """Selects the target and the variant by its remainder."""
    duration_s: float


def plan_crashes(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the crashing requests of a seed, drawn from a generator of their own.

    The other faults of a seed are the same with and without them: a seed that has
    failed once must keep its schedule to reproduce the failure.
    """
    rng = Random(f"crashes of {seed}")
    return [
        PlannedFault(
            rng.uniform(WARM_UP_S, length_s),
            FaultKind.CRASHING_REQUEST,
            rng.getrandbits(16),
            rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
        )
        for _ in range(CRASHING_REQUEST_FAULTS)
    ]


def plan_crashing_parts(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the requests with a crashing part of a seed."""
    return _draw_once((FaultKind.CRASHING_PART,), Random(f"parts of {seed}"), length_s)


def plan_zone_work(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the zone evacuation and cold runner of a seed, for even seeds only."""
    if seed % 2:
        return []
    kinds = (FaultKind.ZONE_EMPTIED, FaultKind.RUNNER_COLD)
    return _draw_once(kinds, Random(f"zones of {seed}"), length_s)


def plan_runner_signals(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the load shedding and the unlisted draining of a seed."""
    return _draw_once(RUNNER_SIGNALS, Random(f"signals of {seed}"), length_s)


def plan_path_faults(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the cut-off nodes, the brittle runners and the silence of a seed."""
    return _draw_once(PATH_FAULTS, Random(f"paths of {seed}"), length_s)


def plan_pauses(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the pauses of runners and the foreign entry of a seed."""
    return _draw_once(PAUSES, Random(f"pauses of {seed}"), length_s)


def plan_endless_bytes(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the bytes without end of a seed, from a runner and from the store."""
    return _draw_once(ENDLESS_BYTES, Random(f"bytes of {seed}"), length_s)


def plan_malformed_answers(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the malformed answers of a seed."""
    kinds = (FaultKind.RUNNER_MALFORMED,)
    return _draw_once(kinds, Random(f"malformed answers of {seed}"), length_s)


def plan_release(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the release of a seed amid which all nodes are killed."""
    kinds = (FaultKind.RELEASE_KILL,)
    return _draw_once(kinds, Random(f"release of {seed}"), length_s)


def plan_replacements(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the release of a seed in which runners are replaced under new IDs."""
    kinds = (FaultKind.REPLACE_KILL,)
    return _draw_once(kinds, Random(f"replacements of {seed}"), length_s)


def plan_replacements_alone(seed: int) -> list[PlannedFault]:
    """Return one such release for each way to kill nodes, one after the other."""
    rng = Random(f"replacements alone of {seed}")
    count = len(NodeLoss)
    return [
        PlannedFault(
            WARM_UP_S + number * REPLACEMENT_INTERVAL_S,
            FaultKind.REPLACE_KILL,
            rng.randrange(2**12) * count + number,
            0.0,
        )
        for number in range(count)
    ]


def _draw_once(
    kinds: tuple[FaultKind, ...], rng: Random, length_s: float
) -> list[PlannedFault]:
    return [
        PlannedFault(
            rng.uniform(WARM_UP_S, length_s),
            kind,
            rng.getrandbits(16),
            rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
        )
        for kind in kinds
    ]


def plan_faults(seed: int, *, length_s: float) -> list[PlannedFault]:
    """Return the other faults of a seed in order of their start."""
    rng = Random(seed)
    kinds = [kind for kind in FaultKind if kind not in SEPARATELY_DRAWN]
    planned = []
    start_s = WARM_UP_S
    while start_s < length_s:
        kind = rng.choice(kinds)
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        planned.append(PlannedFault(start_s, kind, rng.getrandbits(16), duration_s))
        start_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return planned
