"""The product's own decision code, called as the nodes call it."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from clementineyoke_core.hash_ring import HashRing
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.load_bound import compute_home_bound
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.runner_homes import RunnerHomes
from clementineyoke_core.slot_ledger import SlotHolder, SlotLedger
from clementineyoke_core.slot_search import SlotAttempt, SlotSearch
from clementineyoke_node.peers.peer_socket import DATAGRAM_OVERHEAD_BYTES
from clementineyoke_standins.bench.policies.policy import Choice
from clementineyoke_wire.codec import encode
from clementineyoke_wire.message_signer import TAG_BYTES
from clementineyoke_wire.messages import (
    Gossip,
    Message,
    PoolLoad,
    SlotAsk,
    SlotRelease,
    SlotRenewal,
    SlotReply,
)

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_standins.bench.workload import Request
    from clementineyoke_standins.bench.world import World

POOL = "model"
POOLS = 8
"""Pools whose loads a gossip message carries at the design size."""
ONE_WAY_MS = 1.0


class FleetPolicy:
    """Exact slot ledgers on home nodes, gossiped mean loads and a search per request.

    The share ``steered_share`` of the requests arrives at the home node of its chat's
    runner, the rest at a random node. The share ``gossip_loss_share`` of the gossip
    replies is lost.
    """

    def __init__(
        self,
        *,
        world: World,
        rng: Random,
        nodes: int,
        steered_share: float = 0.5,
        gossip_loss_share: float = 0.01,
        uses_placement_tokens: bool = True,
    ) -> None:
        self._world = world
        self._rng = rng
        self._steered_share = steered_share
        self._gossip_loss_share = gossip_loss_share
        self._uses_placement_tokens = uses_placement_tokens
        self._node_ids = [f"node-{index}" for index in range(nodes)]
        self._ring = HashRing()
        self._runner_homes = RunnerHomes()
        self._ledgers = {node_id: SlotLedger() for node_id in self._node_ids}
        self._mean_loads = {node_id: MeanLoadEstimator() for node_id in self._node_ids}
        self._runners_by_home: dict[str, list[str]] = {}
        self._last_runner: dict[str, str] = {}
        self._last_request_number = 0
        self._holders: dict[int, tuple[SlotHolder, str]] = {}
        """Slot holder and runner by request number."""
        self.sent_counts: Counter[str] = Counter()
        self.cpu_s = 0.0
        self.decisions = 0
        self.replace_runners(list(world.loads))

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Search as a node does; the ledgers of home nodes grant or refuse slots."""
        started_s = time.perf_counter()
        choice = self._search(request, now_ms=now_ms)
        self.cpu_s += time.perf_counter() - started_s
        self.decisions += 1
        return choice

    def finish(self, runner_id: str, request_number: int, *, now_ms: float) -> None:
        """Release the slot at its home node."""
        home = self._runner_homes.home_of(runner_id)
        holder, _ = self._holders.pop(request_number)
        if home is None:
            return
        if holder.requester != home:
            self.sent_counts["slot_release"] += 1
        self._ledgers[home].release(runner_id, holder)
        self._update_local_load(home)

    def tick(self, *, now_ms: float) -> None:
        """Run one round of gossip, in which every node exchanges with a random peer."""
        for node_id in self._node_ids:
            peer = self._rng.choice(self._node_ids)
            if peer == node_id:
                continue
            pushed = self._mean_loads[node_id].begin_round()
            replied = self._mean_loads[peer].merge(pushed)
            self.sent_counts["gossip"] += 2
            if self._rng.random() >= self._gossip_loss_share:
                self._mean_loads[node_id].finish_round(pushed=pushed, replied=replied)

    def replace_runners(self, runner_ids: list[str]) -> None:
        """Replace the set of runners; grants are renewed at the new home nodes."""
        before = {r: self._runner_homes.home_of(r) for r in self._ring.members}
        self._ring.set_members(runner_ids)
        self._runner_homes.reassign(nodes=self._node_ids, pools={POOL: runner_ids})
        known = set(runner_ids)
        for ledger in self._ledgers.values():
            for runner_id in ledger.runner_ids():
                if runner_id not in known:
                    ledger.remove_runner(runner_id)
        self._runners_by_home = {node_id: [] for node_id in self._node_ids}
        for runner_id in runner_ids:
            home = self._runner_homes.home_of(runner_id)
            if home is not None:
                self._runners_by_home[home].append(runner_id)
        self._renew_moved_grants(before)
        for node_id in self._node_ids:
            self._update_local_load(node_id)

    def control_bytes_per_s_per_node(self, seconds: float, *, pools: int = 1) -> float:
        """Return the bytes that a node sent per second, using actual datagram sizes.

        One pool is simulated, so slot messages are multiplied by the number of pools
        that the nodes serve. A gossip message already carries the loads of all pools.
        """
        total = 0
        for kind, count in self.sent_counts.items():
            factor = 1 if kind == "gossip" else pools
            total += message_bytes(kind) * count * factor
        return total / seconds / len(self._node_ids)

    def _renew_moved_grants(self, before: dict[str, str | None]) -> None:
        for runner_id, old in before.items():
            new = self._runner_homes.home_of(runner_id)
            if old is None or new is None or old == new:
                continue
            self._ledgers[old].remove_runner(runner_id)
            holders = [h for h, r in self._holders.values() if r == runner_id]
            for holder in holders:
                self._ledgers[new].renew(runner_id, holder, now_ms=0.0)
            self.sent_counts["slot_renewal"] += len(
                {holder.requester for holder in holders} - {new}
            )

    def _search(self, request: Request, *, now_ms: float) -> Choice:
        preferred = (
            self._last_runner.get(request.chat) if self._uses_placement_tokens else None
        )
        if preferred not in self._world.loads:
            preferred = None
        search = SlotSearch(order=self._ring.order(request.key), preferred=preferred)
        node_id = self._entry_node(request, preferred)
        self._last_request_number += 1
        holder = SlotHolder(node_id, self._last_request_number)
        while (attempt := search.next_attempt()) is not None:
            in_use = self._acquire_slot(node_id, attempt, holder, now_ms=now_ms)
            if in_use is None:
                self._holders[self._last_request_number] = (holder, attempt.runner_id)
                self._last_runner[request.chat] = attempt.runner_id
                return Choice(attempt.runner_id, self._last_request_number)
            search.record_refusal(attempt, in_use=in_use)
        return Choice(None)

    def _entry_node(self, request: Request, preferred: str | None) -> str:
        if self._rng.random() < self._steered_share:
            first = preferred or self._ring.first(request.key)
            home = None if first is None else self._runner_homes.home_of(first)
            if home is not None:
                return home
        return self._rng.choice(self._node_ids)

    def _acquire_slot(
        self, node_id: str, attempt: SlotAttempt, holder: SlotHolder, *, now_ms: float
    ) -> int | None:
        """Return None if the slot is granted, else the load given in the refusal."""
        home = self._runner_homes.home_of(attempt.runner_id)
        if home is None:
            return 0
        if home != node_id:
            self.sent_counts["slot_ask"] += 1
            self.sent_counts["slot_reply"] += 1
        bound = compute_home_bound(
            estimated_mean=self._mean_loads[home].mean(POOL),
            seen_mean=attempt.seen_mean,
            slots=self._world.slots,
        )
        result = self._ledgers[home].acquire(
            attempt.runner_id, holder, bound=bound, now_ms=now_ms
        )
        if is_successful(result):
            self._update_local_load(home)
            return None
        return result.failure().in_use

    def _update_local_load(self, node_id: str) -> None:
        ledger = self._ledgers[node_id]
        homed = self._runners_by_home[node_id]
        load = sum(ledger.in_use(runner_id) for runner_id in homed)
        self._mean_loads[node_id].set_local(POOL, load=load, runners=len(homed))


def message_bytes(kind: str) -> int:
    """Return the size of a datagram of a kind, including IP and UDP headers."""
    return _SIZES[kind]


def _datagram_bytes(message: Message) -> int:
    packed = encode(message, incarnation=1_700_000_000)
    return len(packed) + TAG_BYTES + DATAGRAM_OVERHEAD_BYTES


_SAMPLE_HASH = hash_text("engine-1234")
_SIZES = {
    "slot_ask": _datagram_bytes(SlotAsk(123_456_789, _SAMPLE_HASH, 31.4)),
    "slot_reply": _datagram_bytes(SlotReply(123_456_789, True, 31)),
    "slot_renewal": _datagram_bytes(SlotRenewal(_SAMPLE_HASH, [123_456_789])),
    "slot_release": _datagram_bytes(SlotRelease(123_456_789, _SAMPLE_HASH)),
    "gossip": _datagram_bytes(
        Gossip(
            123_456_789,
            False,
            12_345,
            [PoolLoad(_SAMPLE_HASH + i, 31.4159 + i, 1.2345) for i in range(POOLS)],
            [],
        )
    ),
}
