"""Nodes, runners and callers of a busy fleet under a clock of their own."""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random

from xxhash import xxh3_64_intdigest

from clementineyoke_core.edge.crash_records import CrashRecords
from clementineyoke_core.hash_ring import HashRing

HOMES = 3
LOSS = 0.02
GOSSIP_MS = 200
NOTES = 2
BACK_MS = 4_000
BEGIN_MS = 60
"""From a copy's arrival at a runner until that ends."""
LONGEST_CALL_MS = 4_000
LOAD = 10
"""Calls that stand on a runner in the mean."""
MOST_LOAD = 24
SHARED_PROMPTS = 5
RETURN_MS = 300
SENDS_A_TRY = 2
TRIES = 2


def key_of(digest):
    return xxh3_64_intdigest(digest)


class Call:
    """One caller's request on its way through its tries."""

    def __init__(self, *, digest, key, bad=False):
        self.digest = digest
        self.key = key
        self.bad = bad
        self.node = 0
        self.sends = 0
        self.tries = 0
        self.sent_ms = 0
        self.runner = None


class CrashFleet:
    """Play calls on runners; nodes share what they know as in the product."""

    def __init__(self, *, nodes, runners, seed, sets_apart=True):
        self.rng = Random(seed)
        self.sets_apart = sets_apart
        self.now_ms = 0
        self.nodes = [CrashRecords() for _ in range(nodes)]
        self.homes = HashRing()
        self.homes.set_members([str(number) for number in range(nodes)])
        self.ring = HashRing()
        self.ring.set_members([str(number) for number in range(runners)])
        self.on_runner = {str(number): [] for number in range(runners)}
        self.lifetimes = dict.fromkeys(self.on_runner, 0)
        self.down = set()
        self.ended = {}
        self.refused = []
        self.reports = self.broken = 0
        self.told = Counter()
        """How many nodes told of each state of a record to all."""
        self.until_ms = 0
        self._queue = []
        self._number = 0

    def at(self, delay_ms, act, *args):
        self._number += 1
        event = (self.now_ms + delay_ms, self._number, act, args)
        heapq.heappush(self._queue, event)

    def run(self, length_ms):
        self.until_ms = length_ms
        rate = LOAD * len(self.on_runner) / (LONGEST_CALL_MS / 2)
        self.at(0, self.arrive, rate)
        self.at(0, self.gossip)
        while self._queue and self._queue[0][0] <= length_ms:
            self.now_ms, _, act, args = heapq.heappop(self._queue)
            act(*args)

    def arrive(self, rate):
        """A caller comes; most share the beginning of their prompt with others."""
        self._number += 1
        digest = b"call %d" % self._number
        key = self.rng.randrange(SHARED_PROMPTS) * 2**61 + 2**40
        self.begin(Call(digest=digest, key=key))
        self.at(self.rng.expovariate(rate), self.arrive, rate)

    def come_again(self, digest, key):
        self.begin(Call(digest=digest, key=key, bad=True))
        self.at(self.rng.uniform(700, 1_300), self.come_again, digest, key)

    def begin(self, call):
        call.tries += 1
        call.sends = 0
        call.node = self.rng.randrange(len(self.nodes))
        if self.nodes[call.node].refused_for_ms(call.digest, now_ms=self.now_ms):
            self.refused.append(call)
            return
        self.send(call)

    def send(self, call):
        records = self.nodes[call.node]
        key = call.key
        if self.sets_apart and records.is_suspect(call.digest):
            key = key_of(call.digest)
        for runner in self.ring.order(key):
            if runner not in self.down and len(self.on_runner[runner]) < MOST_LOAD:
                break
        else:
            return
        call.sends += 1
        call.sent_ms = self.now_ms
        call.runner = (runner, self.lifetimes[runner])
        self.on_runner[runner].append(call)
        if call.bad:
            self.at(BEGIN_MS, self.end_by, call, call.runner)
        else:
            work_ms = self.rng.uniform(0, LONGEST_CALL_MS)
            self.at(work_ms, self.answer, call, call.runner)

    def answer(self, call, runner):
        if call.runner != runner:
            return
        call.runner = None
        self.on_runner[runner[0]].remove(call)
        records = self.nodes[call.node]
        record = records.record_answer(call.digest, now_ms=self.now_ms)
        if record is not None:
            self.tell(call.node, call.digest, record)

    def end_by(self, call, runner):
        if call.runner == runner:
            self.ended[call.digest] = self.ended.get(call.digest, 0) + 1
            self.end([runner[0]])

    def end_some(self, share, gap_ms):
        count = max(1, round(share * len(self.on_runner)))
        self.end(self.rng.sample(sorted(self.on_runner), count))
        self.at(gap_ms, self.end_some, share, gap_ms)

    def end(self, runners):
        broken = []
        for runner in runners:
            if runner in self.down:
                continue
            lifetime = f"{runner}@{self.lifetimes[runner]}"
            self.down.add(runner)
            self.lifetimes[runner] += 1
            broken += [(call, lifetime) for call in self.on_runner[runner]]
            self.on_runner[runner] = []
            self.at(BACK_MS, self.down.discard, runner)
        for call, lifetime in broken:
            call.runner = None
            self.broken += 1
            self.report(call, lifetime)
            self.go_on(call)

    def go_on(self, call):
        is_suspect = self.nodes[call.node].is_suspect(call.digest)
        if call.sends < SENDS_A_TRY and not is_suspect:
            self.at(1, self.send, call)
        elif call.tries < TRIES and not call.bad:
            self.at(RETURN_MS, self.begin, call)

    def report(self, call, lifetime):
        key = key_of(call.digest)
        for place, home in enumerate(self.homes.order(key)):
            if place == HOMES:
                return
            self.reports += 1
            if self.rng.random() >= LOSS:
                sent = (int(home), call.digest, lifetime, call.sent_ms, self.now_ms)
                self.at(25, self.record, *sent)

    def record(self, home, digest, lifetime, sent_ms, ended_ms):
        record = self.nodes[home].record_crash(
            digest, lifetime=lifetime, sent_ms=sent_ms, crashed_ms=ended_ms
        )
        if record is not None:
            self.tell(home, digest, record)

    def tell(self, node, digest, record):
        self.told[digest, record.rank] += 1
        for peer in range(len(self.nodes)):
            if peer != node and self.rng.random() >= LOSS:
                self.at(1, self.take, peer, digest, record)

    def take(self, node, digest, record):
        self.nodes[node].merge(digest, record, now_ms=self.now_ms)

    def gossip(self):
        for records in self.nodes:
            shared = list(records.records_to_share())
            peer = self.rng.randrange(len(self.nodes))
            for digest, record in self.rng.sample(shared, min(NOTES, len(shared))):
                self.at(1, self.take, peer, digest, record)
        self.at(GOSSIP_MS, self.gossip)

    def restart_some(self, gap_ms):
        node = self.rng.randrange(len(self.nodes))
        peer = self.rng.choice([n for n in range(len(self.nodes)) if n != node])
        self.nodes[node] = CrashRecords()
        for digest, record in list(self.nodes[peer].records_to_share()):
            self.take(node, digest, record)
        self.at(gap_ms, self.restart_some, gap_ms)

    @property
    def refused_others(self):
        return [call.digest for call in self.refused if not call.bad]
