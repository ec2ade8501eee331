"""Simulation of the nodes, runners and callers of a busy fleet."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from itertools import islice
from random import Random

from xxhash import xxh3_64_intdigest

from clementineyoke_core.edge.answered_factors import AnsweredFactors
from clementineyoke_core.edge.crash_factors import CrashFactors, is_part, part_digest
from clementineyoke_core.edge.crash_judge import CrashJudge
from clementineyoke_core.edge.crash_records import (
    CRASHES_TO_SUSPECT,
    Crash,
    CrashRecords,
)
from clementineyoke_core.hash_ring import HashRing

HOMES = 3
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
FIRST_PARTS = 2
FACTORS = 3
"""Factors of a sound call: its request, a first part and one that follows it."""
TEAMS = 4
NEWS_DELAY_MS = 20
CONFIRM_MS = 20
"""Time from an answer to the clearing of its call's factors."""
RETRY_AFTER_MS = 300
MAX_SENDS_PER_TRY = 2
MAX_TRIES = 2


def key_of(digest):
    return xxh3_64_intdigest(digest)


class Call:
    """One caller's request, with its tries and sends so far."""

    def __init__(self, *, factors, key, bad=False):
        self.factors = factors
        self.key = key
        self.bad = bad
        self.node = 0
        self.sends = 0
        self.tries = 0
        self.sent_ms = 0
        self.runner = None


class SimulatedNode:
    """What a node knows of crashes, and which changes it has not sent yet."""

    def __init__(self):
        self.records = CrashRecords()
        self.judge = CrashJudge(records=self.records)
        self.answered = AnsweredFactors()
        self.unsent = {}


class CrashFleet:
    """Simulate calls on runners; nodes exchange crash records as in production."""

    def __init__(self, *, nodes, runners, seed, isolates_suspects=True):
        self.rng = Random(seed)
        self.isolates_suspects = isolates_suspects
        self.now_ms = 0
        self.nodes = [SimulatedNode() for _ in range(nodes)]
        self.homes = HashRing()
        self.homes.set_members([str(number) for number in range(nodes)])
        self.ring = HashRing()
        self.ring.set_members([str(number) for number in range(runners)])
        self.on_runner = {str(number): [] for number in range(runners)}
        self.lifetimes = dict.fromkeys(self.on_runner, 0)
        self.down = set()
        self.crashed = Counter()
        self.part_crashes_ms = defaultdict(list)
        """Times of the crashes by the last part of the crashing requests."""
        self.part_sends_ms = defaultdict(list)
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
        prompt = self.rng.randrange(SHARED_PROMPTS)
        self.start_try(self.make_call(b"call %d" % self._number, prompt))
        self.schedule(self.rng.expovariate(rate), self.arrive, rate)

    def make_call(self, name, prompt, *, bad_part=None, bad=False):
        """Return a call with a first part, a part that follows it, and ``bad_part``."""
        names = [f"first-{prompt % FIRST_PARTS}", f"prompt-{prompt}"]
        if bad_part is not None:
            names.append(bad_part)
        parts = tuple(part_digest(part) for part in names)
        team = self.rng.randrange(TEAMS)
        request = name.ljust(16, b"_")[:16]
        return Call(
            factors=CrashFactors(request, parts, team),
            key=prompt * 2**61 + 2**40,
            bad=bad,
        )

    def send_again(self, name, prompt):
        """Send copies of one request that crashes its runners."""
        self.start_try(self.make_call(name, prompt, bad=True))
        self.schedule(self.rng.uniform(700, 1_300), self.send_again, name, prompt)

    def send_with_part(self, bad_part, prompts, gap_ms):
        """Send requests with a crashing part, no two of them alike."""
        self._number += 1
        name = b"bad %d" % self._number
        prompt = self.rng.choice(prompts)
        self.start_try(self.make_call(name, prompt, bad_part=bad_part, bad=True))
        delay_ms = self.rng.uniform(0.7 * gap_ms, 1.3 * gap_ms)
        self.schedule(delay_ms, self.send_with_part, bad_part, prompts, gap_ms)

    def is_refused(self, call):
        verdict = self.nodes[call.node].judge.verdict(call.factors, now_ms=self.now_ms)
        return verdict is not None and verdict.left_ms > 0

    def causes(self, call):
        return self.nodes[call.node].judge.likely_causes(call.factors)

    def start_try(self, call):
        call.tries += 1
        call.sends = 0
        call.node = self.rng.randrange(len(self.nodes))
        if self.is_refused(call):
            self.refused.append(call)
            return
        self.send(call)

    def send(self, call):
        key = call.key
        causes = self.causes(call)
        if self.isolates_suspects and causes:
            key = key_of(causes[-1] if is_part(causes[0]) else causes[0])
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
            self.part_sends_ms[call.factors.parts[-1]].append(self.now_ms)
            self.schedule(CRASH_DELAY_MS, self.crash_by, call, call.runner)
        else:
            work_ms = self.rng.uniform(0, MAX_CALL_MS)
            self.schedule(work_ms, self.answer, call, call.runner)

    def answer(self, call, runner):
        if call.runner != runner:
            return
        call.runner = None
        self.on_runner[runner[0]].remove(call)
        lifetime = f"{runner[0]}@{runner[1]}"
        node = self.nodes[call.node]
        node.answered.record(call.factors, lifetime=lifetime, now_ms=self.now_ms)
        if any(node.records.get(d).crashes for d in call.factors.digests):
            self.schedule(CONFIRM_MS, self.clear, call, runner)

    def clear(self, call, runner):
        if self.lifetimes[runner[0]] != runner[1]:
            return
        for digest in call.factors.digests:
            self.clear_factor(call.node, digest, call.factors.team, self.now_ms)

    def clear_factor(self, node, digest, team, answered_ms):
        records = self.nodes[node].records
        record = records.record_answer(digest, now_ms=answered_ms, team=team)
        if record is None:
            return
        if node in self.homes_of(digest):
            self.broadcast(node, digest)
            return
        for home in self.homes_of(digest):
            if self.rng.random() >= DATAGRAM_LOSS:
                self.schedule(1, self.merge, home, digest, record)

    def crash_by(self, call, runner):
        if call.runner == runner:
            self.crashed[call.factors.request] += 1
            self.part_crashes_ms[call.factors.parts[-1]].append(self.now_ms)
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
        if call.sends < MAX_SENDS_PER_TRY and not self.causes(call):
            self.schedule(1, self.send_unless_refused, call)
        elif call.tries < MAX_TRIES and not call.bad:
            self.schedule(RETRY_AFTER_MS, self.start_try, call)

    def send_unless_refused(self, call):
        if not self.is_refused(call):
            self.send(call)

    def homes_of(self, digest):
        return [int(home) for home in islice(self.homes.order(key_of(digest)), HOMES)]

    def report(self, call, lifetime):
        answered = self.nodes[call.node].answered
        team = call.factors.team
        crashes = [Crash(lifetime, self.now_ms)]
        ages = {
            digest: answered.answered_ms(digest, team, crashes=crashes)
            for digest in call.factors.digests
        }
        for home in {h for d in call.factors.digests for h in self.homes_of(d)}:
            self.reports += 1
            if self.rng.random() >= DATAGRAM_LOSS:
                sent = (home, call.factors, lifetime, call.sent_ms, self.now_ms, ages)
                self.schedule(25, self.record, *sent)

    def record(self, home, factors, lifetime, sent_ms, crashed_ms, ages):
        for digest in factors.digests:
            if home not in self.homes_of(digest):
                continue
            record = self.nodes[home].records.record_crash(
                digest,
                lifetime=lifetime,
                sent_ms=sent_ms,
                crashed_ms=crashed_ms,
                companions=[other for other in factors.digests if other != digest],
                team=factors.team if is_part(digest) else None,
                answered_ms=ages[digest],
            )
            if record is not None:
                self.broadcast(home, digest)

    def broadcast(self, node, digest):
        unsent = self.nodes[node].unsent
        if not unsent:
            self.schedule(NEWS_DELAY_MS, self.send_news, self.nodes[node], node)
        unsent[digest] = None

    def send_news(self, sender, number):
        digests = list(sender.unsent)
        sender.unsent.clear()
        for digest in digests:
            record = sender.records.get(digest)
            self.sent_changes[digest, record.rank] += 1
            for peer in range(len(self.nodes)):
                if peer != number and self.rng.random() >= DATAGRAM_LOSS:
                    self.schedule(1, self.merge, peer, digest, record)

    def merge(self, node, digest, record):
        receiver = self.nodes[node]
        known_clears = receiver.records.get(digest).clears
        if not receiver.records.merge(digest, record, now_ms=self.now_ms):
            return
        if record.crashes >= CRASHES_TO_SUSPECT:
            for team in record.teams:
                answered_ms = receiver.answered.answered_ms(
                    digest, team, crashes=record.history
                )
                if answered_ms is not None:
                    self.clear_factor(node, digest, team, answered_ms)
        if record.clears > known_clears and node in self.homes_of(digest):
            self.broadcast(node, digest)

    def gossip(self):
        for node in self.nodes:
            shared = list(node.records.records_to_share())
            peer = self.rng.randrange(len(self.nodes))
            for digest, record in self.rng.sample(
                shared, min(RECORDS_PER_GOSSIP, len(shared))
            ):
                self.schedule(1, self.merge, peer, digest, record)
        self.schedule(GOSSIP_INTERVAL_MS, self.gossip)

    def restart_some(self, gap_ms):
        node = self.rng.randrange(len(self.nodes))
        peer = self.rng.choice([n for n in range(len(self.nodes)) if n != node])
        self.nodes[node] = SimulatedNode()
        for digest, record in list(self.nodes[peer].records.records_to_share()):
            self.merge(node, digest, record)
        self.schedule(gap_ms, self.restart_some, gap_ms)

    @property
    def refused_others(self):
        return [call.factors for call in self.refused if not call.bad]
