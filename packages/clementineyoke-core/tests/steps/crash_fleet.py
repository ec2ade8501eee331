"""Simulation of the nodes, runners and callers of a busy fleet."""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random

from xxhash import xxh3_64_intdigest

from clementineyoke_core.edge.crash_records import CrashRecords
from clementineyoke_core.hash_ring import HashRing

HOME_NODES = 3
DATAGRAM_LOSS = 0.02
GOSSIP_INTERVAL_MS = 200
RECORDS_PER_GOSSIP = 2
RESTART_MS = 4_000
CRASH_DELAY_MS = 60
"""Time from a request's arrival at a runner to the runner's crash."""
MAX_CALL_MS = 4_000
MEAN_LOAD = 10
"""Mean number of calls on a runner."""
MAX_LOAD = 24
SHARED_PROMPTS = 5
RETRY_AFTER_MS = 300
MAX_SENDS_PER_TRY = 2
MAX_TRIES = 2


def key_of(digest):
    return xxh3_64_intdigest(digest)


class Call:
    """One caller's request, with its tries and sends so far."""

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
    """Simulate calls on runners; nodes exchange crash records as in production."""

    def __init__(self, *, nodes, runners, seed, isolates_suspects=True):
        self.rng = Random(seed)
        self.isolates_suspects = isolates_suspects
        self.now_ms = 0
        self.nodes = [CrashRecords() for _ in range(nodes)]
        self.homes = HashRing()
        self.homes.set_members([str(number) for number in range(nodes)])
        self.ring = HashRing()
        self.ring.set_members([str(number) for number in range(runners)])
        self.on_runner = {str(number): [] for number in range(runners)}
        self.lifetimes = dict.fromkeys(self.on_runner, 0)
        self.down = set()
        self.crashed = {}
        self.refused = []
        self.reports = self.broken = 0
        self.sent_changes = Counter()
        """Number of nodes that broadcast each state of a record."""
        self.until_ms = 0
        self._queue = []
        self._number = 0

    def schedule(self, delay_ms, action, *args):
        self._number += 1
        event = (self.now_ms + delay_ms, self._number, action, args)
        heapq.heappush(self._queue, event)

    def run(self, length_ms):
        self.until_ms = length_ms
        rate = MEAN_LOAD * len(self.on_runner) / (MAX_CALL_MS / 2)
        self.schedule(0, self.arrive, rate)
        self.schedule(0, self.gossip)
        while self._queue and self._queue[0][0] <= length_ms:
            self.now_ms, _, action, args = heapq.heappop(self._queue)
            action(*args)

    def arrive(self, rate):
        """Start a caller's request; its prompt prefix is shared with others."""
        self._number += 1
        digest = b"call %d" % self._number
        key = self.rng.randrange(SHARED_PROMPTS) * 2**61 + 2**40
        self.start_try(Call(digest=digest, key=key))
        self.schedule(self.rng.expovariate(rate), self.arrive, rate)

    def send_again(self, digest, key):
        self.start_try(Call(digest=digest, key=key, bad=True))
        self.schedule(self.rng.uniform(700, 1_300), self.send_again, digest, key)

    def start_try(self, call):
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
        if self.isolates_suspects and records.is_suspect(call.digest):
            key = key_of(call.digest)
        for runner in self.ring.order(key):
            if runner not in self.down and len(self.on_runner[runner]) < MAX_LOAD:
                break
        else:
            return
        call.sends += 1
        call.sent_ms = self.now_ms
        call.runner = (runner, self.lifetimes[runner])
        self.on_runner[runner].append(call)
        if call.bad:
            self.schedule(CRASH_DELAY_MS, self.crash_by, call, call.runner)
        else:
            work_ms = self.rng.uniform(0, MAX_CALL_MS)
            self.schedule(work_ms, self.answer, call, call.runner)

    def answer(self, call, runner):
        if call.runner != runner:
            return
        call.runner = None
        self.on_runner[runner[0]].remove(call)
        records = self.nodes[call.node]
        record = records.record_answer(call.digest, now_ms=self.now_ms)
        if record is not None:
            self.broadcast(call.node, call.digest, record)

    def crash_by(self, call, runner):
        if call.runner == runner:
            self.crashed[call.digest] = self.crashed.get(call.digest, 0) + 1
            self.crash([runner[0]])

    def crash_some(self, share, gap_ms):
        count = max(1, round(share * len(self.on_runner)))
        self.crash(self.rng.sample(sorted(self.on_runner), count))
        self.schedule(gap_ms, self.crash_some, share, gap_ms)

    def crash(self, runners):
        broken = []
        for runner in runners:
            if runner in self.down:
                continue
            lifetime = f"{runner}@{self.lifetimes[runner]}"
            self.down.add(runner)
            self.lifetimes[runner] += 1
            broken += [(call, lifetime) for call in self.on_runner[runner]]
            self.on_runner[runner] = []
            self.schedule(RESTART_MS, self.down.discard, runner)
        for call, lifetime in broken:
            call.runner = None
            self.broken += 1
            self.report(call, lifetime)
            self.retry(call)

    def retry(self, call):
        is_suspect = self.nodes[call.node].is_suspect(call.digest)
        if call.sends < MAX_SENDS_PER_TRY and not is_suspect:
            self.schedule(1, self.send, call)
        elif call.tries < MAX_TRIES and not call.bad:
            self.schedule(RETRY_AFTER_MS, self.start_try, call)

    def report(self, call, lifetime):
        key = key_of(call.digest)
        for index, home in enumerate(self.homes.order(key)):
            if index == HOME_NODES:
                return
            self.reports += 1
            if self.rng.random() >= DATAGRAM_LOSS:
                sent = (int(home), call.digest, lifetime, call.sent_ms, self.now_ms)
                self.schedule(25, self.record, *sent)

    def record(self, home, digest, lifetime, sent_ms, crashed_ms):
        record = self.nodes[home].record_crash(
            digest, lifetime=lifetime, sent_ms=sent_ms, crashed_ms=crashed_ms
        )
        if record is not None:
            self.broadcast(home, digest, record)

    def broadcast(self, node, digest, record):
        self.sent_changes[digest, record.rank] += 1
        for peer in range(len(self.nodes)):
            if peer != node and self.rng.random() >= DATAGRAM_LOSS:
                self.schedule(1, self.merge, peer, digest, record)

    def merge(self, node, digest, record):
        self.nodes[node].merge(digest, record, now_ms=self.now_ms)

    def gossip(self):
        for records in self.nodes:
            shared = list(records.records_to_share())
            peer = self.rng.randrange(len(self.nodes))
            for digest, record in self.rng.sample(
                shared, min(RECORDS_PER_GOSSIP, len(shared))
            ):
                self.schedule(1, self.merge, peer, digest, record)
        self.schedule(GOSSIP_INTERVAL_MS, self.gossip)

    def restart_some(self, gap_ms):
        node = self.rng.randrange(len(self.nodes))
        peer = self.rng.choice([n for n in range(len(self.nodes)) if n != node])
        self.nodes[node] = CrashRecords()
        for digest, record in list(self.nodes[peer].records_to_share()):
            self.merge(node, digest, record)
        self.schedule(gap_ms, self.restart_some, gap_ms)

    @property
    def refused_others(self):
        return [call.digest for call in self.refused if not call.bad]
