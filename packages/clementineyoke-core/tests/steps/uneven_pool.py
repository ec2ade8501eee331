"""A pool of uneven runners and the rules of their homes, without a network."""

from __future__ import annotations

import heapq
from random import Random
from statistics import fmean

from clementineyoke_core.capacity.response_times import AnswerKind, ResponseTimes
from clementineyoke_core.capacity.runner_speeds import RunnerSpeeds
from clementineyoke_core.capacity.speed_report import SpeedReport
from clementineyoke_core.capacity.speed_rule import SpeedRule
from clementineyoke_core.grants.call_profile import CallProfile, PromptCost
from clementineyoke_core.grants.grant_rule import GrantRequest
from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.slot_ledger import SlotHolder
from clementineyoke_core.slot_search import SlotSearch

POOL = "m"
CALLS_PER_S = 10
"""Calls per second and runner."""
SLOW_MS = 300
SLOW_SHARE = 0.15
SLOWER_CLASS = 1.3
INTERFERENCE = 2.5
GOSSIP_MS = 250
REFRESH_MS = 50
FIRST_EVENT_MS = 60.0
STREAM_MS = 300.0
KEYS = 200


class UnevenPool:
    """Serve calls on runners of which every third is slower; count what was steered.

    The load bound is left out, so that only the speed of a runner moves a call.
    """

    def __init__(self, *, runners, homes, has_rule):
        self.rng = Random(5)
        self.has_rule = has_rule
        self.ids = [f"runner-{n}" for n in range(runners)]
        self.phases = {name: self.rng.random() for name in self.ids}
        self.homes = []
        for _ in range(homes):
            mean_load = MeanLoadEstimator()
            speeds = RunnerSpeeds(mean_load=mean_load)
            rule = SpeedRule(speeds=speeds, pool_of=lambda _: POOL)
            self.homes.append((mean_load, speeds, rule))
        self.response_times = ResponseTimes()
        self.calls = self.unserved = self.slow_short_starts = self.refused_long = 0
        self.now_ms = 0.0
        self.events = []

    def home(self, name):
        return self.homes[self.ids.index(name) % len(self.homes)]

    def is_slower(self, name):
        return self.ids.index(name) % 3 == 0

    def is_slow_now(self, name):
        """Return whether other work on the host slows a runner down."""
        period = SLOW_MS / SLOW_SHARE
        return (self.now_ms + self.phases[name] * period) % period < SLOW_MS

    def run(self, *, duration_ms):
        self.schedule(0.0, self.gossip)
        self.schedule(0.0, self.refresh)
        self.schedule(0.0, self.arrive)
        while self.events and self.events[0][0] < duration_ms:
            self.now_ms, _, action, args = heapq.heappop(self.events)
            action(*args)

    def schedule(self, delay_ms, action, *args):
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self.events, (due_ms, self.rng.random(), action, args))

    def gossip(self):
        self.schedule(GOSSIP_MS, self.gossip)
        for mean_load, _, _ in self.homes:
            peer = self.rng.choice([h[0] for h in self.homes if h[0] is not mean_load])
            pushed = mean_load.begin_round()
            mean_load.finish_round(pushed=pushed, replied=peer.merge(pushed))

    def refresh(self):
        self.schedule(REFRESH_MS, self.refresh)
        for _, speeds, _ in self.homes:
            speeds.refresh(now_ms=self.now_ms)

    def arrive(self):
        self.schedule(
            self.rng.expovariate(CALLS_PER_S * len(self.ids) / 1_000), self.arrive
        )
        self.calls += 1
        key = self.rng.randrange(1, KEYS)
        is_long = key % 2 == 0
        prompt = PromptCost(key, 10_512 if is_long else 600, 130, 100)
        profile = CallProfile(1, 0, 1_045 if is_long else 300, prompt)
        name = self.find_runner(profile, is_long=is_long)
        if name is None:
            self.unserved += 1
            return
        if self.is_slow_now(name) and not is_long:
            self.slow_short_starts += 1
        factor = INTERFERENCE if self.is_slow_now(name) else 1.0
        factor *= SLOWER_CLASS if self.is_slower(name) else 1.0
        self.schedule(FIRST_EVENT_MS * factor, self.send_head, name)
        self.schedule(STREAM_MS * factor, self.finish, name, is_long, factor)

    def find_runner(self, profile, *, is_long):
        key = profile.prompt.key
        order = sorted(self.ids, key=lambda name: hash_text(f"{key}:{name}"))
        search = SlotSearch(order=iter(order))
        while (attempt := search.next_attempt()) is not None:
            rule = self.home(attempt.runner_id)[2]
            request = GrantRequest(
                attempt.runner_id,
                SlotHolder("node", self.calls),
                self.now_ms,
                seen_mean=attempt.seen_mean,
                profile=profile,
            )
            if not self.has_rule or rule.check(request) is None:
                rule.record_grant(request)
                return attempt.runner_id
            self.refused_long += is_long
            search.record_refusal(attempt, in_use=1, reason=RefusalReason.SPEED)
        return None

    def send_head(self, name):
        percent = 250 if self.is_slow_now(name) else 100
        self.home(name)[1].record_report(
            name, POOL, SpeedReport(1, 0, 64, percent), now_ms=self.now_ms
        )

    def finish(self, name, is_long, factor):
        percent = self.response_times.compare(
            AnswerKind(POOL, str(is_long), is_stream=True),
            time_ms=factor * 35.0,
            now_ms=self.now_ms,
        )
        if percent:
            self.home(name)[1].record_response_time(
                name, POOL, time_percent=percent, now_ms=self.now_ms
            )

    def mean_weight(self, *, is_slower):
        return fmean(
            self.home(name)[1].estimate(name, now_ms=self.now_ms).load_weight
            for name in self.ids
            if self.is_slower(name) == is_slower
        )
