"""Measures bytes of state by the number of teams, runners, nodes, claims and so on."""

from __future__ import annotations

import gc
import tracemalloc
from random import Random
from typing import TYPE_CHECKING, Any

from clementineyoke_core.claims.chain import ClaimChain
from clementineyoke_core.claims.messages import ClaimAttempt
from clementineyoke_core.claims.segment import INITIAL_HEAD, ChainRead, StoredSegment
from clementineyoke_core.edge.call_kind import CallKind
from clementineyoke_core.edge.crash_records import CrashRecords
from clementineyoke_core.edge.desired_state import CallerLimits, DesiredState, Team
from clementineyoke_core.edge.request_digest import DIGEST_BYTES
from clementineyoke_core.edge.route import Route, WeightedPool
from clementineyoke_core.edge.route_table import RouteTable
from clementineyoke_core.edge.runner_directory import DirectoryView, RunnerDirectory
from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_core.hash_ring import HashRing
from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.settings.tree import SettingsTree
from clementineyoke_core.slot_ledger import SlotHolder, SlotLedger
from clementineyoke_standins.capacity.slope import Slope, fit

if TYPE_CHECKING:
    from collections.abc import Callable

TEAMS = (5_000, 10_000, 20_000, 35_000)
RUNNERS = (500, 1_170, 2_300, 3_500)
NODES = (50, 137, 274, 410)
HELD_SLOTS = (500, 1_000, 2_000, 4_000)
ROUTES = (100, 200, 400, 800)
CLAIMS = (400, 800, 1_600, 3_200)
CRASHES = (512, 1_024, 2_048, 4_096)
SHARED_PARTS = 4
"""Parts of a call's prompt that other calls may share."""
FACTORS_PER_CALL = 1 + SHARED_PARTS
FACTORS_PER_RUNNER = 64 * FACTORS_PER_CALL
CRASHES_PER_REQUEST = 2
DRAIN_WITHIN_MS = 2_000.0
WALL_MS = 1_790_000_000_000
POOLS = 8


def measure_state() -> list[Slope]:
    """Return the slopes of all kinds of state."""
    return [
        _slope("settings tree", "team", TEAMS, make_tree),
        _slope("runner rings of a region", "runner", RUNNERS, _make_rings),
        _slope("runner table", "runner", RUNNERS, _make_runner_table),
        _slope("membership view", "node", NODES, _make_membership),
        _slope("slot ledger", "slot held", HELD_SLOTS, _make_ledger),
        _slope("claims in a home's memory", "claim", CLAIMS, make_chain),
        _slope_of_shard_object(),
        _slope("runner entries of the edge", "runner", RUNNERS, _make_directory),
        _slope("routes of the edge", "route", ROUTES, _make_routes),
        _slope("teams and keys of the edge", "team", TEAMS, _make_teams),
        _slope("factors that runners crashed under", "factor", CRASHES, make_crashes),
    ]


def make_tree(teams: int) -> SettingsTree:
    """Return a settings tree in which every team has a few settings of its own."""
    rng = Random(1)
    tree = SettingsTree()
    edits: dict[str, dict[str, Any] | None] = {
        f"/group-{n % 50}/team-{n}": {
            "key_hashes": [f"{rng.getrandbits(256):064x}"],
            "rate_per_s": rng.randint(1, 100),
            "models": ["model-1", "model-2"],
        }
        for n in range(teams)
    }
    tree.apply(edits)
    return tree


def _make_rings(runners: int) -> list[HashRing]:
    rings = [HashRing() for _ in range(POOLS)]
    for pool, ring in enumerate(rings):
        ring.set_members(f"engine-{n}" for n in range(pool, runners, POOLS))
    return rings


def _make_runner_table(runners: int) -> RunnerTable:
    table = RunnerTable()
    table.apply_host_list(
        live=[
            Runner(
                f"engine-{n}",
                f"10.0.{n % 250}.{n // 250}",
                8000,
                f"zone-{n % 11}",
                f"region-{n % 3}",
                RunnerKind.ENGINE,
                f"model-{n % POOLS}",
                64,
            )
            for n in range(runners)
        ],
        leaving=[],
        now_ms=0.0,
    )
    return table


def _make_membership(nodes: int) -> Membership:
    members = [
        Node(f"node-{n}", f"10.1.{n // 250}.{n % 250}", 1, 2, f"z{n % 11}", f"r{n % 3}")
        for n in range(nodes)
    ]
    view = Membership(local_node=members[0], incarnation=1, rng=Random(1))
    view.apply_host_list(live=members, leaving=[])
    for node in members[1:]:
        view.record_message(node.node_id, incarnation=7)
    return view


def _make_ledger(held_slots: int) -> SlotLedger:
    ledger = SlotLedger()
    for n in range(held_slots):
        holder = SlotHolder(f"10.0.0.{n % 137}:8081", 10**6 + n)
        ledger.acquire(f"engine-{n % 9}", holder, bound=held_slots, now_ms=float(n))
    return ledger


def make_chain(claims: int) -> ClaimChain:
    """Return a shard's chain whose open segment holds claims and was written once."""
    chain = ClaimChain(shard="claims/0")
    chain.load(ChainRead(0, INITIAL_HEAD, {0: StoredSegment(0, None)}))
    claim_attempts = [
        ClaimAttempt(f"{n:024x}", f"node-{n % 410}.6ab1.{n:x}", f"{n:012x}")
        for n in range(claims)
    ]
    write = chain.next_write(claim_attempts, [], wall_ms=WALL_MS)
    chain.record_written(write, version=1)
    return chain


def make_crashes(factors: int) -> CrashRecords:
    """Return records of factors, five to a call, that were on two crashed runners."""
    records = CrashRecords()
    digests = [number.to_bytes(DIGEST_BYTES, "big") for number in range(factors)]
    for number, digest in enumerate(digests):
        first = number - number % FACTORS_PER_CALL
        call = digests[first : first + FACTORS_PER_CALL]
        for crash in range(CRASHES_PER_REQUEST):
            records.record_crash(
                digest,
                lifetime=f"i-{number // FACTORS_PER_RUNNER:08x}{crash:02x}@{WALL_MS}",
                sent_ms=1_000.0 * crash,
                crashed_ms=1_000.0 * crash + 100.0,
                companions=[other for other in call if other != digest],
                team=1,
            )
    return records


def _slope(
    name: str, per: str, sizes: tuple[int, ...], build: Callable[[int], object]
) -> Slope:
    points = [(float(size), _measure_bytes(build, size)) for size in sizes]
    return fit(f"state: {name}", unit="bytes", per=per, points=points)


def _measure_bytes(build: Callable[[int], object], size: int) -> float:
    gc.collect()
    tracemalloc.start()
    instance = build(size)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del instance
    return float(used)


def _slope_of_shard_object() -> Slope:
    points = []
    for claims in CLAIMS:
        write = make_chain(claims).next_write([], [], wall_ms=WALL_MS + 1)
        points.append((float(claims), float(len(write.body))))
    return fit("object: claims of a segment", unit="bytes", per="claim", points=points)


def _make_directory(runners: int) -> RunnerDirectory:
    records = tuple(
        RunnerRecord(_make_edge_runner(number), is_leaving=False, revision=number + 1)
        for number in range(runners)
    )
    directory = RunnerDirectory(drain_within_ms=DRAIN_WITHIN_MS)
    directory.replace(DirectoryView(runners + 1, records), now_ms=0.0)
    return directory


def _make_edge_runner(number: int) -> Runner:
    return Runner(
        f"i-{number:010x}",
        f"10.1.{number // 250}.{number % 250}",
        8_000,
        "zone",
        "region",
        RunnerKind.ENGINE,
        "pool",
        24,
    )


def _make_routes(routes: int) -> RouteTable:
    return _make_route_table(tuple(_make_route(number) for number in range(routes)), ())


def _make_teams(teams: int) -> RouteTable:
    keyed_teams = tuple(
        Team(f"team-{number}", (f"key-{number:020}", f"old-{number:020}"), 1)
        for number in range(teams)
    )
    return _make_route_table((), keyed_teams)


def _make_route_table(routes: tuple[Route, ...], teams: tuple[Team, ...]) -> RouteTable:
    state = DesiredState(1, 1, routes, teams, True, CallerLimits())
    return RouteTable(state=state)


def _make_route(number: int) -> Route:
    return Route(
        name=f"route-{number}",
        hostname="host.example",
        path_prefix=f"/path-{number}/",
        kind=CallKind.STREAM,
        pools=(WeightedPool("pool", 1.0),),
        timeout_ms=12_000.0,
        objective_ms=1_200.0,
        pause_objective_ms=400.0,
        priority=1,
        max_runners=2,
        is_public=False,
        is_resumable=True,
        has_prompt=True,
    )
