"""The fleet's own decisions, called as the nodes call them."""

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
from clementineyoke_wire.messages import (
    Gossip,
    Message,
    PoolLoad,
    SlotAsk,
    SlotRelease,
    SlotRenewal,
    SlotReply,
)
from clementineyoke_wire.seal import TAG_BYTES

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_standins.bench.workload import Request
    from clementineyoke_standins.bench.world import World

POOL = "model"
POOLS = 8
"""Pools whose shares a gossip message carries at the design size."""
ONE_WAY_MS = 1.0


class Fleet:
    """Homes with exact ledgers, averaged means, and a search by each request's node.

    Requests arrive at the home of their chat's runner with ``steered_share``, else at
    a random node. Gossip loses ``loss`` of its replies.
    """

    def __init__(
        self,
        *,
        world: World,
        rng: Random,
        nodes: int,
        steered_share: float = 0.5,
        loss: float = 0.01,
        remembers: bool = True,
    ) -> None:
        self._world = world
        self._rng = rng
        self._steered_share = steered_share
        self._loss = loss
        self._remembers = remembers
        self._node_ids = [f"node-{index}" for index in range(nodes)]
        self._ring = HashRing()
        self._homes = RunnerHomes()
        self._ledgers = {node_id: SlotLedger() for node_id in self._node_ids}
        self._means = {node_id: MeanLoadEstimator() for node_id in self._node_ids}
        self._homed: dict[str, list[str]] = {}
        self._last: dict[str, str] = {}
        self._hold = 0
        self._holders: dict[int, tuple[SlotHolder, str]] = {}
        """Who holds a slot on which runner, by the request's number."""
        self.sent: Counter[str] = Counter()
        self.cpu_s = 0.0
        self.decisions = 0
        self.replace_runners(list(world.loads))

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Search as a node does; each ask is answered by its home's ledger."""
        began_s = time.perf_counter()
        choice = self._search(request, now_ms=now_ms)
        self.cpu_s += time.perf_counter() - began_s
        self.decisions += 1
        return choice

    def finish(self, runner_id: str, hold: int, *, now_ms: float) -> None:
        """Give the slot back at its home."""
        home = self._homes.home_of(runner_id)
        holder, _ = self._holders.pop(hold)
        if home is None:
            return
        if holder.node_id != home:
            self.sent["slot_release"] += 1
        self._ledgers[home].release(runner_id, holder)
        self._report(home)

    def tick(self, *, now_ms: float) -> None:
        """Run a round of gossip: every node with one random other."""
        for node_id in self._node_ids:
            peer = self._rng.choice(self._node_ids)
            if peer == node_id:
                continue
            pushed = self._means[node_id].begin_round()
            replied = self._means[peer].merge(pushed)
            self.sent["gossip"] += 2
            if self._rng.random() >= self._loss:
                self._means[node_id].finish_round(pushed=pushed, replied=replied)

    def replace_runners(self, runner_ids: list[str]) -> None:
        """Take a new set of runners; holders bring their grants to new homes."""
        before = {r: self._homes.home_of(r) for r in self._ring.members}
        self._ring.set_members(runner_ids)
        self._homes.reassign(nodes=self._node_ids, pools={POOL: runner_ids})
        known = set(runner_ids)
        for ledger in self._ledgers.values():
            for runner_id in ledger.runner_ids():
                if runner_id not in known:
                    ledger.remove_runner(runner_id)
        self._homed = {node_id: [] for node_id in self._node_ids}
        for runner_id in runner_ids:
            home = self._homes.home_of(runner_id)
            if home is not None:
                self._homed[home].append(runner_id)
        self._renew_moved(before)
        for node_id in self._node_ids:
            self._report(node_id)

    def control_bytes_per_s_a_node(self, seconds: float, *, pools: int = 1) -> float:
        """Return what a node sent a second, by the real size of each message.

        The run is of one pool; slot messages are counted once for each of the pools
        that the nodes serve. Gossip carries the shares of all pools already.
        """
        total = 0
        for kind, count in self.sent.items():
            times = 1 if kind == "gossip" else pools
            total += message_bytes(kind) * count * times
        return total / seconds / len(self._node_ids)

    def _renew_moved(self, before: dict[str, str | None]) -> None:
        for runner_id, old in before.items():
            new = self._homes.home_of(runner_id)
            if old is None or new is None or old == new:
                continue
            self._ledgers[old].remove_runner(runner_id)
            holds = [h for h, r in self._holders.values() if r == runner_id]
            for hold in holds:
                self._ledgers[new].renew(runner_id, hold, now_ms=0.0)
            self.sent["slot_renewal"] += len({hold.node_id for hold in holds} - {new})

    def _search(self, request: Request, *, now_ms: float) -> Choice:
        preferred = self._last.get(request.chat) if self._remembers else None
        if preferred not in self._world.loads:
            preferred = None
        search = SlotSearch(order=self._ring.order(request.key), preferred=preferred)
        node_id = self._entry_node(request, preferred)
        self._hold += 1
        holder = SlotHolder(node_id, self._hold)
        while (attempt := search.next_attempt()) is not None:
            in_use = self._ask(node_id, attempt, holder, now_ms=now_ms)
            if in_use is None:
                self._holders[self._hold] = (holder, attempt.runner_id)
                self._last[request.chat] = attempt.runner_id
                return Choice(attempt.runner_id, self._hold)
            search.record_refusal(attempt, in_use=in_use)
        return Choice(None)

    def _entry_node(self, request: Request, preferred: str | None) -> str:
        if self._rng.random() < self._steered_share:
            first = preferred or self._ring.first(request.key)
            home = None if first is None else self._homes.home_of(first)
            if home is not None:
                return home
        return self._rng.choice(self._node_ids)

    def _ask(
        self, node_id: str, attempt: SlotAttempt, holder: SlotHolder, *, now_ms: float
    ) -> int | None:
        """Return None for a grant, else the load that the refusal names."""
        home = self._homes.home_of(attempt.runner_id)
        if home is None:
            return 0
        if home != node_id:
            self.sent["slot_ask"] += 1
            self.sent["slot_reply"] += 1
        bound = compute_home_bound(
            estimated_mean=self._means[home].mean(POOL),
            seen_mean=attempt.seen_mean,
            slots=self._world.slots,
        )
        result = self._ledgers[home].acquire(
            attempt.runner_id, holder, bound=bound, now_ms=now_ms
        )
        if is_successful(result):
            self._report(home)
            return None
        return result.failure().in_use

    def _report(self, node_id: str) -> None:
        ledger = self._ledgers[node_id]
        homed = self._homed[node_id]
        load = sum(ledger.in_use(runner_id) for runner_id in homed)
        self._means[node_id].set_local(POOL, load=load, runners=len(homed))


def message_bytes(kind: str) -> int:
    """Return the size of a datagram of a kind, headers of IP and UDP included."""
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
