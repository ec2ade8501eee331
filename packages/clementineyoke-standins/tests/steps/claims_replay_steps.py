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
MAX_STEPS = 40
VERDICTS = {
    "granted": ClaimVerdict.GRANTED,
    "answered": ClaimVerdict.ANSWERED,
    "unknown": ClaimVerdict.UNKNOWN,
}


class CoreShards:
    """Replay steps of the specification with the core's ``ClaimChain``."""

    def __init__(self):
        self.platform = ChainPlatform(shard="claims/0")
        self.homes = [ClaimChain(shard="claims/0") for _ in range(2)]
        self.writes = [None, None]
        self.late_writes = [None, None]
        self.verdict = None

    def replay(self, label):
        name, *arguments = label.split()
        getattr(self, f"_{name}")(*arguments)

    def _submit(self, holder):
        pass

    def _give_up(self, holder):
        pass

    def _run(self, holder):
        pass

    def _load(self, home):
        self.homes[int(home)].load(self.platform.read())

    def _decide(self, holder, home):
        claim = ClaimAttempt(KEY, holder, "digest")
        self.verdict = self.homes[int(home)].decide(claim).verdict

    def _next_write(self, kind, holder, home):
        claims = [ClaimAttempt(KEY, holder, "digest")] if kind == "claim" else []
        answer = StoredAnswer(200, "text/plain", b"") if kind == "ran" else None
        reports = [ClaimReport(KEY, holder, kind == "ran", answer)] * (kind != "claim")
        write = self.homes[int(home)].next_write(claims, reports, wall_ms=1)
        self.writes[int(home)] = write

    def _record_written(self, home):
        write, self.writes[int(home)] = self.writes[int(home)], None
        version = self.platform.apply_write(write)
        assert version, "the platform refused a write that the specification applies"
        self.homes[int(home)].record_written(write, version=version)

    def _mark_stale(self, home):
        write, self.writes[int(home)] = self.writes[int(home)], None
        version = self.platform.apply_write(write)
        assert version is None, (
            "the platform applied a write that the specification refuses"
        )
        self.homes[int(home)].mark_stale()

    def _lose_reply(self, home):
        self.late_writes[int(home)] = self.writes[int(home)]
        self.writes[int(home)] = None
        self.homes[int(home)].mark_stale()

    def _drop_late_write(self, home):
        self.late_writes[int(home)] = None

    def _apply_late_write(self, home):
        write, self.late_writes[int(home)] = self.late_writes[int(home)], None
        assert self.platform.apply_write(write)

    def record(self):
        stored = self.platform.read().segments[0]
        records = {} if stored.segment is None else stored.segment.records
        record = records.get(KEY)
        if record is None or record.state is ClaimState.FREE:
            return claims_spec.Record(stored.version, claims_spec.NO_HOLDER, False)
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
        for _ in range(MAX_STEPS):
            options = list(claims_spec.steps(state, guards))
            if not options:
                break
            label, state = rng.choice(options)
            walk.append((label, state))
        context.walks.append(walk)


@then("the core's shards reach the same records and verdicts at every step")
def check_walks(context):
    context.replayed = Counter()
    for walk in context.walks:
        core = CoreShards()
        for label, state in walk:
            core.replay(label)
            context.replayed[label.split()[0]] += 1
            assert core.record() == state.stored, (label, core.record(), state.stored)
            if label.startswith("decide"):
                index = claims_spec.HOLDERS.index(label.split()[1])
                assert core.verdict is VERDICTS[state.phases[index]], label


@then("every kind of step was replayed")
def check_all_steps(context):
    names = (
        "submit give_up run load decide next_write record_written mark_stale lose_reply"
    )
    expected = {*names.split(), "drop_late_write", "apply_late_write"}
    assert set(context.replayed) == expected, context.replayed


@given('the counterexample of "{mutation}"')
def given_counterexample(context, mutation):
    context.trace = check_mutation(claims_spec, mutation).trace
    assert context.trace


@then("the core's shard refuses the write that the mutated specification applies")
def check_counterexample(context):
    core = CoreShards()
    refused = []
    for label in context.trace:
        try:
            core.replay(label)
        except AssertionError as error:
            refused.append((label, str(error)))
            break
    assert refused, "the core's shards accepted the whole counterexample"
    assert refused[0][0].startswith("record_written"), refused
