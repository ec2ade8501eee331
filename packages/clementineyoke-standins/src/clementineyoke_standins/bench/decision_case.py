"""Measures the CPU time of a routing decision for all runners of a region."""

from __future__ import annotations

import time
from random import Random

from clementineyoke_core.chat_key import chat_key
from clementineyoke_core.hash_ring import HashRing
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.slot_search import SlotSearch
from clementineyoke_standins.bench.bench_case import BenchCase

RUNNERS = 1_170
DECISIONS = 20_000
REFUSALS_PER_DECISION = 2
"""More refusals per decision than the simulated workloads have on average."""


def measure_decision(bounds: dict[str, float], *, seed: int) -> BenchCase:
    """Return the CPU time of hashing the key, walking the ring and searching.

    The baseline is rendezvous hashing, which scores every runner.
    """
    rng = Random(seed)
    ring = HashRing()
    runner_ids = [f"engine-{index}" for index in range(RUNNERS)]
    ring.set_members(runner_ids)
    chats = [f"chat-{rng.randrange(10**6)}" for _ in range(DECISIONS)]
    started_s = time.process_time()
    for chat in chats:
        _decide(ring, chat)
    cpu_us = (time.process_time() - started_s) / DECISIONS * 1e6
    name = "decision.cpu_us"
    return BenchCase(
        name,
        "microseconds of processor time",
        cpu_us,
        _time_rendezvous(runner_ids, chats[:100]),
        bounds.get(name),
        False,
        seed,
        f"{RUNNERS} runners",
    )


def _decide(ring: HashRing, chat: str) -> None:
    key = chat_key(team="/league/team", model="model", chat_id=chat, prompt="")
    search = SlotSearch(order=ring.order(key))
    for _ in range(REFUSALS_PER_DECISION):
        attempt = search.next_attempt()
        if attempt is not None:
            search.record_refusal(attempt, in_use=9)
    search.next_attempt()


def _time_rendezvous(runner_ids: list[str], chats: list[str]) -> float:
    started_s = time.process_time()
    for chat in chats:
        max(runner_ids, key=lambda runner_id: hash_text(f"{chat}\0{runner_id}"))
    return (time.process_time() - started_s) / len(chats) * 1e6
