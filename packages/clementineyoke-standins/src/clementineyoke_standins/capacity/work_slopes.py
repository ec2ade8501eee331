"""Measures CPU time of messages, claim writes, settings changes, rings and gossip."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING, Any

from clementineyoke_core.edge.crash_factors import crash_factors, part_digest
from clementineyoke_core.edge.crash_judge import CrashJudge
from clementineyoke_core.edge.crash_records import MAX_RECORDS, CrashRecords
from clementineyoke_core.edge.prompt_key import PromptPart
from clementineyoke_core.edge.request_digest import DIGEST_BYTES, request_digest
from clementineyoke_core.hash_ring import HashRing
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.settings.change import SettingsChange
from clementineyoke_core.settings.log import SettingsLog
from clementineyoke_core.slot_ledger import SlotHolder, SlotLedger
from clementineyoke_standins.capacity.slope import Slope, fit
from clementineyoke_standins.capacity.state_slopes import (
    CLAIMS,
    SHARED_PARTS,
    WALL_MS,
    make_chain,
    make_crashes,
)
from clementineyoke_wire.codec import decode, encode
from clementineyoke_wire.message_signer import MessageSigner
from clementineyoke_wire.messages import (
    CrashReport,
    Gossip,
    Message,
    PoolLoad,
    SlotAsk,
)

if TYPE_CHECKING:
    from collections.abc import Callable

COUNTS = (500, 1_000, 2_000, 4_000)
REPORTS = (250, 500, 1_000, 2_000)
RING_RUNNERS = (146, 300, 600, 1_170)
CHANGES = (100, 200, 400, 800)
POOLS = 8
MEAN_BODY_BYTES = 12_000
"""Second largest mean body size of all kinds of requests that were observed."""


def measure_work() -> list[Slope]:
    """Return the slopes of CPU time of all operations."""
    return [
        _slope("slot ask, encode to decode", "message", COUNTS, _run_slot_messages),
        _slope("gossip of 8 pools, both ways", "round", COUNTS, _run_gossip),
        _slope("grant and release at a home", "request", COUNTS, _run_ledger),
        _slope("settings change applied", "change", CHANGES, _run_changes),
        _slope("report of a runner's end", "report", REPORTS, _run_reports),
        _slope("call checked against 2,048 records", "call", COUNTS, _run_checks),
        _slope("claim segment written", "claim in it", CLAIMS, _run_segment_write),
        _slope("ring rebuilt from nothing", "runner", RING_RUNNERS, _run_ring),
        _slope("ring after one runner left", "runner", RING_RUNNERS, _run_ring_change),
    ]


def _slope(
    name: str, per: str, sizes: tuple[int, ...], run: Callable[[int], float]
) -> Slope:
    points = [(float(size), min(run(size) for _ in range(3)) * 1e6) for size in sizes]
    return fit(f"work: {name}", unit="us", per=per, points=points)


def _measure_cpu_s(operation: Callable[[], object]) -> float:
    started_s = time.process_time()
    operation()
    return time.process_time() - started_s


def _round_trip(signer: MessageSigner, message: Message) -> None:
    datagram = signer.sign(encode(message, incarnation=1_790_000_000))
    decode(signer.verify(datagram, peer="peer"))


def _run_slot_messages(count: int) -> float:
    signer = MessageSigner(keys=["key"])
    runner = hash_text("engine-1")

    def operation() -> None:
        for number in range(count):
            _round_trip(signer, SlotAsk(number, runner, 0.0))

    return _measure_cpu_s(operation)


def _run_gossip(count: int) -> float:
    signer = MessageSigner(keys=["key"])
    estimators = [MeanLoadEstimator(), MeanLoadEstimator()]
    for estimator in estimators:
        for pool in range(POOLS):
            estimator.set_local(f"model-{pool}", load=9.0, runners=1.0)
    loads = [PoolLoad(hash_text(f"model-{n}"), 9.0, 1.0) for n in range(POOLS)]

    def operation() -> None:
        for number in range(count):
            pushed = estimators[0].begin_round()
            _round_trip(signer, Gossip(number, False, 1, loads, []))
            replied = estimators[1].merge(pushed)
            _round_trip(signer, Gossip(number, True, 1, loads, []))
            estimators[0].finish_round(pushed=pushed, replied=replied)

    return _measure_cpu_s(operation)


def _run_reports(count: int) -> float:
    signer = MessageSigner(keys=["key"])
    records = CrashRecords()

    def operation() -> None:
        for number in range(count):
            digests = [
                number.to_bytes(DIGEST_BYTES, "big"),
                *(part_digest(f"{number}-{part}") for part in range(SHARED_PARTS)),
            ]
            runner = f"i-{number:010x}"
            report = CrashReport(
                digests[0], runner, 900, 25, digests[1:], 1, [0] * len(digests)
            )
            _round_trip(signer, report)
            for digest in digests:
                records.record_crash(
                    digest,
                    lifetime=runner,
                    sent_ms=0.0,
                    crashed_ms=900.0,
                    companions=[other for other in digests if other != digest],
                    team=1,
                )

    return _measure_cpu_s(operation)


def _run_checks(count: int) -> float:
    judge = CrashJudge(records=make_crashes(MAX_RECORDS))
    prompt = [PromptPart(f"part-{part}", 100) for part in range(SHARED_PARTS + 1)]
    body = bytes(MEAN_BODY_BYTES)

    def operation() -> None:
        for number in range(count):
            request = request_digest(
                team="team", method="POST", target=f"/path/{number}", body=body
            )
            factors = crash_factors(request=request, team="team", prompt_parts=prompt)
            judge.verdict(factors, now_ms=2_000.0)

    return _measure_cpu_s(operation)


def _run_ledger(count: int) -> float:
    ledger = SlotLedger()

    def operation() -> None:
        for number in range(count):
            holder = SlotHolder("10.0.0.1:8081", number)
            ledger.acquire("engine-1", holder, bound=64, now_ms=0.0)
            ledger.release("engine-1", holder)

    return _measure_cpu_s(operation)


def _run_changes(count: int) -> float:
    log = SettingsLog()
    values: dict[str, Any] = {"rate_per_s": 1, "models": ["model-1"]}
    changes = [
        SettingsChange(
            version=version,
            nonce=str(version),
            author="operator",
            note="",
            at_ms=0,
            edits={f"/group/team-{version}": values},
        )
        for version in range(1, count + 1)
    ]

    def operation() -> None:
        for change in changes:
            log.apply(change)

    return _measure_cpu_s(operation)


def _run_segment_write(claims: int) -> float:
    chain = make_chain(claims)

    def operation() -> None:
        write = chain.next_write([], [], wall_ms=WALL_MS + 1)
        chain.record_written(write, version=2)

    return _measure_cpu_s(operation)


def _run_ring(runners: int) -> float:
    members = [f"engine-{n}" for n in range(runners)]
    return _measure_cpu_s(lambda: HashRing().set_members(members))


def _run_ring_change(runners: int) -> float:
    members = [f"engine-{n}" for n in range(runners)]
    Random(1).shuffle(members)
    ring = HashRing()
    ring.set_members(members)
    return _measure_cpu_s(lambda: ring.set_members(members[1:]))
