from __future__ import annotations

from behave import given, then, when
from hypothesis import given as drawn, settings, strategies as st

from clementineyoke_core.overload.served_shares import ServedShares

RANKS = range(3)


def record(shares, rank, served, asked, *, now_ms=0.0):
    for number in range(asked):
        shares.record(rank, is_served=number < served, now_ms=now_ms)


@given("a pool with 3 ranks at one node")
def given_shares(context):
    context.shares = ServedShares()


@when(
    "{a:d} of {b:d} calls of the rank 0, {c:d} of {d:d} of the rank 1 and "
    "{e:d} of {f:d} of the rank 2 are served"
)
def serve(context, a, b, c, d, e, f):
    for rank, (served, asked) in enumerate(((a, b), (c, d), (e, f))):
        record(context.shares, rank, served, asked)


@when("{pause_s:d} s later, {served:d} of {asked:d} calls of each rank are served")
def serve_later(context, pause_s, served, asked):
    for rank in RANKS:
        record(context.shares, rank, served, asked, now_ms=pause_s * 1_000)


@then('the ranks that starve are "{ranks}"')
def check_starving(context, ranks):
    starving = [str(rank) for rank in RANKS if context.shares.is_starving(rank)]
    assert (",".join(starving) or "none") == ranks, starving


@then("for any counts, no rank starves that is served as often as a more urgent one")
def check_order(context):
    counts = st.tuples(st.integers(0, 30), st.integers(1, 30))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @drawn(counts=st.lists(counts, min_size=2, max_size=10), scale=st.integers(1, 4))
    def check(counts, scale):
        shares = ServedShares()
        asked = max(asked for _, asked in counts) * scale
        served = [min(1.0, served / 30) for served, _ in counts]
        for rank, share in enumerate(served):
            record(shares, rank, int(share * asked), asked)
        assert not shares.is_starving(0)
        for rank in range(1, len(served)):
            if served[rank] >= served[rank - 1]:
                assert not shares.is_starving(rank)

    check()
