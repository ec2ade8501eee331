from __future__ import annotations

from admission_fleet import POOL, make_runner, make_state
from behave import given, then, when
from hypothesis import given as drawn, settings, strategies as st

from clementineyoke_core.grants.call_profile import CallProfile
from clementineyoke_core.grants.grant_rule import GrantRequest
from clementineyoke_core.grants.load_bound_rule import LoadBoundRule
from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.load_bound import LoadBound
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.overload.pressure_meter import PressureReading
from clementineyoke_core.overload.priority_ranks import PriorityRanks
from clementineyoke_core.overload.priority_reserve_rule import PriorityReserveRule
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotHolder, SlotLedger

RUNNER_ID = "r-0"
MEAN_LOAD = 20.0
SLACK_SLOTS = 3
CAP_FACTOR = 1.2


class FixedPressure:
    """A source of one pressure."""

    def __init__(self, occupancy=0.0, urgent_share=0.0):
        self._reading = PressureReading(occupancy, urgent_share)

    def reading(self, pool):
        assert pool == POOL
        return self._reading


class Home:
    """The count and the rules of one home of one runner."""

    def __init__(self, *, slots, ranks, pressure=None, has_rule=True):
        table = RunnerTable()
        table.apply_host_list(live=[make_runner(0, slots)], leaving=[], now_ms=0)
        state = make_state(range(ranks))
        self.ledger = SlotLedger()
        self.rule = PriorityReserveRule(
            ledger=self.ledger,
            table=table,
            ranks=PriorityRanks(read_state=lambda: state),
            pressure=pressure or FixedPressure(),
            queue_share=1.0,
        )
        mean_load = MeanLoadEstimator()
        mean_load.set_local(POOL, load=MEAN_LOAD, runners=1)
        mean_load.merge(mean_load.shares())
        bound = LoadBound(CAP_FACTOR, SLACK_SLOTS, queue_share=1.0)
        self.load_rule = LoadBoundRule(
            ledger=self.ledger, table=table, mean_load=mean_load, load_bound=bound
        )
        self.has_rule = has_rule

    def check(self, rank, *, ask_id=-1, objective_ms=100, **fields):
        profile = CallProfile(0, rank, objective_ms)
        holder = SlotHolder("peer", ask_id)
        request = GrantRequest(RUNNER_ID, holder, 0.0, profile=profile, **fields)
        return self.rule.check(request)

    def ask(self, rank, ask_id):
        """Ask the load bound and the rule; return whether the slot is granted."""
        request = GrantRequest(RUNNER_ID, SlotHolder("peer", ask_id), 0.0)
        if self.load_rule.check(request) is not None:
            return False
        if self.has_rule and self.check(rank, ask_id=ask_id) is not None:
            return False
        self.fill(ask_id)
        return True

    def fill(self, *ask_ids):
        for ask_id in ask_ids:
            self.ledger.renew(RUNNER_ID, SlotHolder("peer", ask_id), now_ms=0)


@given("a home of a runner with {slots:d} slots and routes with {ranks:d} priorities")
def given_home(context, slots, ranks):
    context.slots, context.ranks = slots, ranks
    context.home = Home(slots=slots, ranks=ranks)


@given("{percent:d} in 100 urgent calls of the pool get no slot")
def given_failures(context, percent):
    pressure = FixedPressure(1.0, percent / 100)
    context.home = Home(slots=context.slots, ranks=context.ranks, pressure=pressure)


@when("calls of the rank {rank:d} ask for slots until one is refused")
def ask_until_refused(context, rank):
    context.granted = 0
    while (reason := context.home.check(rank)) is None:
        context.home.fill(context.granted)
        context.granted += 1
    assert reason is RefusalReason.PRIORITY


@when("{count:d} calls of the rank {rank:d} ask for slots")
def ask_often(context, count, rank):
    context.granted = 0
    for ask_id in range(count):
        if context.home.check(rank) is None:
            context.home.fill(ask_id)
            context.granted += 1


@then("{count:d} are granted")
def check_granted(context, count):
    assert context.granted == count, context.granted


@then(
    "a last-resort request and a queued one of the rank {rank:d} are refused "
    "for the priority"
)
def check_special_requests(context, rank):
    for fields in ({"seen_mean": 30.0}, {"is_queued": True}):
        assert context.home.check(rank, **fields) is RefusalReason.PRIORITY


@then("a repeated request of a call that has a slot is granted")
def check_repeated(context):
    assert context.home.check(2, ask_id=0) is None


@then("a call that is not described is granted")
def check_undescribed(context):
    assert context.home.check(2, objective_ms=0) is None


def check_any_home(check, *, ranks):
    """Check homes with any number of slots, calls and any pressure."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @drawn(
        slots=st.integers(1, 64),
        load=st.floats(0, 2.2),
        occupancy=st.floats(0, 4),
        urgent_share=st.floats(0, 1),
        ranks=ranks,
    )
    def check_home(slots, load, occupancy, urgent_share, ranks):
        pressure = FixedPressure(occupancy, urgent_share)
        home = Home(slots=slots, ranks=ranks, pressure=pressure)
        home.fill(*range(int(load * slots)))
        check(home, slots, ranks)

    check_home()


@then("for any load and pressure, the rule grants every rank above one that it grants")
def check_order(context):
    def check(home, slots, ranks):
        granted = [home.check(rank) is None for rank in range(ranks)]
        assert granted == sorted(granted, reverse=True), granted
        assert granted[0]

    check_any_home(check, ranks=st.integers(2, 10))


@then("for any load and pressure, a runner with half of its slots in use has room")
def check_half(context):
    def check(home, slots, ranks):
        if 2 * (home.ledger.in_use(RUNNER_ID) + 1) <= slots + slots % 2:
            assert home.check(ranks - 1) is None

    check_any_home(check, ranks=st.integers(2, 10))


@then("for any load and pressure, a pool with one priority is never refused")
def check_one_priority(context):
    def check(home, slots, ranks):
        for priority in (0, 5, 9):
            assert home.check(priority) is None
            assert home.check(priority, seen_mean=3.0) is None

    check_any_home(check, ranks=st.just(1))


@given(
    "two homes of a runner with {slots:d} slots and routes with {ranks:d} priorities"
)
def given_two_homes(context, slots, ranks):
    context.pairs = [
        (Home(slots=slots, ranks=ranks), Home(slots=slots, ranks=ranks, has_rule=False))
        for _ in range(2)
    ]


@when(
    "{count:d} calls of each rank ask both homes for slots in turn, "
    "the least urgent first"
)
def ask_both(context, count):
    context.held = []
    for rank in (2, 1, 0):
        for n in range(count):
            for home in context.pairs[n % 2]:
                home.ask(rank, 1_000 * rank + n)
        context.held.append(
            [[home.ledger.in_use(RUNNER_ID) for home in pair] for pair in context.pairs]
        )


@then(
    "neither home grants a rank beyond its bound, nor more calls than without the rule"
)
def check_both(context):
    plain = int(CAP_FACTOR * 0.95 * MEAN_LOAD) + SLACK_SLOTS
    assert context.held == [[[21, plain]] * 2, [[23, plain]] * 2, [[plain, plain]] * 2]
