from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then

from clementineyoke_core.claims.chain import ClaimChain
from clementineyoke_core.claims.decision import ClaimVerdict
from clementineyoke_core.claims.messages import ClaimAttempt, ClaimReport
from clementineyoke_core.claims.record import ClaimState, StoredAnswer
from clementineyoke_standins.model import claims_spec
from clementineyoke_standins.model.model_run import check_mutation
from clementineyoke_standins.platform.chain_platform import ChainPlatform

KEY = "key"
LONGEST_WALK = 40
VERDICTS = {
    "granted": ClaimVerdict.GRANTED,
    "answered": ClaimVerdict.ANSWERED,
    "unknown": ClaimVerdict.UNKNOWN,
}


class RealShards:
    """The steps of the specification, taken by the core's shards."""

    def __init__(self):
        self.platform = ChainPlatform(shard="claims/0")
        self.homes = [ClaimChain(shard="claims/0") for _ in range(2)]
        self.writes = [None, None]
        self.late = [None, None]
        self.verdict = None

    def take(self, label):
        name, *words = label.split()
        getattr(self, f"_{name}")(*words)

    def _ask(self, holder):
        pass

    def _give_up(self, holder):
        pass

    def _run(self, holder):
        pass

    def _load(self, home):
        self.homes[int(home)].load(self.platform.read())

    def _decide(self, holder, home):
        ask = ClaimAttempt(KEY, holder, "digest")
        self.verdict = self.homes[int(home)].decide(ask).verdict

    def _prepare_write(self, kind, holder, home):
        asks = [ClaimAttempt(KEY, holder, "digest")] if kind == "claim" else []
        answer = StoredAnswer(200, "text/plain", b"") if kind == "ran" else None
        reports = [ClaimReport(KEY, holder, kind == "ran", answer)] * (kind != "claim")
        write = self.homes[int(home)].next_write(asks, reports, wall_ms=1)
        self.writes[int(home)] = write

    def _written(self, home):
        write, self.writes[int(home)] = self.writes[int(home)], None
        version = self.platform.land(write)
        assert version, "the platform refused what the specification let land"
        self.homes[int(home)].record_written(write, version=version)

    def _distrust(self, home):
        write, self.writes[int(home)] = self.writes[int(home)], None
        version = self.platform.land(write)
        assert version is None, "the platform took what the specification refuses"
        self.homes[int(home)].mark_stale()

    def _lose_reply(self, home):
        self.late[int(home)] = self.writes[int(home)]
        self.writes[int(home)] = None
        self.homes[int(home)].mark_stale()

    def _drop_late(self, home):
        self.late[int(home)] = None

    def _land_late(self, home):
        write, self.late[int(home)] = self.late[int(home)], None
        assert self.platform.land(write)

    def record(self):
        stored = self.platform.read().segments[0]
        records = {} if stored.segment is None else stored.segment.records
        record = records.get(KEY)
        if record is None or record.state is ClaimState.FREE:
            return claims_spec.Record(stored.version, claims_spec.NOBODY, False)
        finished = record.state is ClaimState.FINISHED
        return claims_spec.Record(stored.version, record.holder, finished)


@given("{count:d} seeded walks of the claims specification")
def given_walks(context, count):
    context.walks = []
    guards = claims_spec.Guards()
    for seed in range(count):
        rng = Random(seed)
        state = claims_spec.INITIAL
        walk = []
        for _ in range(LONGEST_WALK):
            options = list(claims_spec.steps(state, guards))
            if not options:
                break
            label, state = rng.choice(options)
            walk.append((label, state))
        context.walks.append(walk)


@then("the real shards take the same steps to the same records and verdicts")
def check_walks(context):
    context.taken = Counter()
    for walk in context.walks:
        real = RealShards()
        for label, state in walk:
            real.take(label)
            context.taken[label.split()[0]] += 1
            assert real.record() == state.stored, (label, real.record(), state.stored)
            if label.startswith("decide"):
                index = claims_spec.HOLDERS.index(label.split()[1])
                assert real.verdict is VERDICTS[state.phases[index]], label


@then("every kind of step was taken")
def check_kinds(context):
    names = "ask give_up run load decide prepare_write written distrust lose_reply"
    expected = {*names.split(), "drop_late", "land_late"}
    assert set(context.taken) == expected, context.taken


@given('the counterexample of "{mutation}"')
def given_counterexample(context, mutation):
    context.trace = check_mutation(claims_spec, mutation).trace
    assert context.trace


@then("the real shard refuses the write that the specification let land")
def check_counterexample(context):
    real = RealShards()
    refused = []
    for label in context.trace:
        try:
            real.take(label)
        except AssertionError as error:
            refused.append((label, str(error)))
            break
    assert refused, "the real shards followed the counterexample to its end"
    assert refused[0][0].startswith("written"), refused
