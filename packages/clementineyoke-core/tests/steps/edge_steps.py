from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.edge.admission import admit
from clementineyoke_core.edge.attempt_ledger import AttemptLedger, AttemptOutcome
from clementineyoke_core.edge.attempt_timeouts import AttemptTimeouts
from clementineyoke_core.edge.call_kind import CallKind
from clementineyoke_core.edge.desired_state import CallerLimits, DesiredState, Team
from clementineyoke_core.edge.edge_call import EdgeCall
from clementineyoke_core.edge.event_splitter import EventSplitter
from clementineyoke_core.edge.retry_window import RetryWindow
from clementineyoke_core.edge.route import Route, WeightedPool
from clementineyoke_core.edge.route_table import RouteTable
from clementineyoke_core.edge.runner_directory import (
    DirectoryChanges,
    DirectoryView,
    LapsedRecord,
    RunnerDirectory,
    RunnerRemoval,
)
from clementineyoke_core.edge.runner_health import RunnerHealth
from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_core.pool_rings import PoolRings
from clementineyoke_core.request_error import RequestError
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_table import RunnerTable

POOL = "pool"
KEY = 12345


def make_route(prefix="/a/", **changes):
    route = Route(
        name=prefix,
        hostname="shop.example",
        path_prefix=prefix,
        kind=CallKind.IDEMPOTENT,
        pools=(WeightedPool(POOL, 1.0),),
        timeout_ms=10_000.0,
        objective_ms=1_200.0,
        pause_objective_ms=400.0,
        priority=3,
        max_runners=2,
        is_public=False,
        is_resumable=False,
        has_prompt=False,
    )
    return route._replace(**changes)


def make_runner(runner_id, *, born_ms=0):
    return Runner(
        runner_id, "127.0.0.1", 1, "zone", "region", RunnerKind.ENGINE, POOL, 8, born_ms
    )


# Attempts


@given("a call that {may} be repeated, for at most {max_runners:d} runners")
def given_call(context, may, max_runners):
    context.ledger = AttemptLedger(may_repeat=may == "may", max_runners=max_runners)


@when('its attempt at "{runner}" ends as "{end}"')
def end_attempt(context, runner, end):
    context.ledger.record(runner, AttemptOutcome(end))


@when('{count:d} attempts end as "{end}"')
def end_attempts(context, count, end):
    for number in range(count):
        context.ledger.record(f"runner-{number}", AttemptOutcome(end))


@then("it may be retried")
def check_may_retry(context):
    assert context.ledger.may_retry()


@then("it may not be retried")
def check_may_not_retry(context):
    assert not context.ledger.may_retry()


@then("it may have run")
def check_may_have_run(context):
    assert context.ledger.may_have_run


@then("it did not run")
def check_not_run(context):
    assert not context.ledger.may_have_run


# Retry budget


@given("{nodes:d} nodes that share a ratio of {ratio:f} and {n:d} more in {s:d} s")
def given_windows(context, nodes, ratio, n, s):
    context.windows = [
        RetryWindow(ratio=ratio, allowance=n, window_ms=s * 1000.0)
        for _ in range(nodes)
    ]


@when("each sees {calls:d} calls in {s:d} s and all of them ask for a retry")
def ask_for_retries(context, calls, s):
    context.retries = []
    for window in context.windows:
        retries = 0
        for number in range(calls):
            now_ms = number * s * 1000.0 / calls
            window.record_call(POOL, now_ms=now_ms)
            retries += window.try_spend(
                POOL, node_count=len(context.windows), now_ms=now_ms
            )
        context.retries.append(retries)


@then("together they retry at most {max_retries:d}")
def check_together(context, max_retries):
    assert sum(context.retries) <= max_retries, context.retries


@then("each retries at least {min_retries:d}")
def check_each(context, min_retries):
    assert min(context.retries) >= min_retries, context.retries


@then("no retry is left at {s:d} s")
def check_no_retry_left(context, s):
    assert not context.windows[0].try_spend(POOL, node_count=1, now_ms=s * 1000.0)


@then("a retry is left at {s:d} s")
def check_retry_left(context, s):
    assert context.windows[0].try_spend(POOL, node_count=1, now_ms=s * 1000.0)


# Events


@given("an event splitter")
def given_splitter(context):
    context.splitter = EventSplitter()
    context.events = []


@when('it is fed "{text}"')
def feed(context, text):
    chunk = text.replace("\\n", "\n").encode()
    context.events += context.splitter.feed(chunk)


@then("it has returned the events {numbers}")
def check_events(context, numbers):
    wanted = [int(number) for number in numbers.split(",")]
    assert [event.event_id for event in context.events] == wanted, context.events


@then("it holds a partial event")
def check_partial(context):
    assert context.splitter.has_partial_event


@then("it holds no partial event")
def check_no_partial(context):
    assert not context.splitter.has_partial_event


@then(
    "{splits:d} random splits of a stream of {count:d} events return them complete"
    " and in order"
)
def check_splits(context, splits, count):
    rng = Random(1)
    stream = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(count))
    for _ in range(splits):
        splitter = EventSplitter()
        events = []
        position = 0
        while position < len(stream):
            size = rng.randint(1, 20)
            events += splitter.feed(stream[position : position + size])
            position += size
        assert b"".join(event.body for event in events) == stream
        assert [event.event_id for event in events] == list(range(count))


# Runners' entries


def make_record(runner_id, *, revision=1, is_leaving=False, born_ms=0):
    return RunnerRecord(make_runner(runner_id, born_ms=born_ms), is_leaving, revision)


DRAIN_WITHIN_MS = 2_000.0
OUTAGE_MS = 4_000.0
"""Length of the outages that end."""
LAPSE_WAIT_MS = 2_200
"""Wait that a peer reports for a runner whose entry has just lapsed."""


def make_directory():
    return RunnerDirectory(drain_within_ms=DRAIN_WITHIN_MS)


@given("a directory with the runners {names}")
def given_directory(context, names):
    context.directory = make_directory()
    context.old = [make_record(name) for name in names.split(", ")]
    context.directory.replace(DirectoryView(10, tuple(context.old)), now_ms=0.0)
    context.revision = 10


def put(context, name, *, now, is_leaving=False, born_ms=0):
    base = context.revision
    context.revision += 1
    record = make_record(
        name, revision=context.revision, is_leaving=is_leaving, born_ms=born_ms
    )
    changes = DirectoryChanges(base, context.revision, (record,), ())
    context.directory.apply(changes, now_ms=now)


def end(context, name, *, now, revision=None, wait_ms=0, born_ms=0):
    base = context.revision
    context.revision += 1
    revision = revision or context.revision
    removal = RunnerRemoval(name, revision, wait_ms=wait_ms, born_ms=born_ms)
    changes = DirectoryChanges(base, context.revision, (), (removal,))
    context.directory.apply(changes, now_ms=now)


@given("the store recovered at {now:d} ms")
def given_recovery(context, now):
    context.directory.record_store_failure(since_ms=now - OUTAGE_MS)
    context.directory.record_store_recovery(now_ms=now)


@given("{name} reports that it is leaving")
def given_leaving(context, name):
    put(context, name, now=0.0, is_leaving=True)


@when("an empty list of runners arrives at {now:d} ms")
def empty_list(context, now):
    context.revision += 1
    context.directory.replace(DirectoryView(context.revision, ()), now_ms=now)


@when("the entry of {name} comes back at {now:d} ms")
def entry_back(context, name, now):
    put(context, name, now=now)


@when("the entry of {name} ends at {now:d} ms")
def entry_ends(context, name, now):
    end(context, name, now=now)


@when("a peer sends the old list with {names} at {now:d} ms")
def old_list(context, names, now):
    context.directory.replace(DirectoryView(10, tuple(context.old)), now_ms=now)


@when("lapsed entries are dropped at {now:d} ms")
def drop_lapsed(context, now):
    context.directory.drop_lapsed(now_ms=now)


@when("lapsed entries are dropped at {now:d} ms, with the latest read at {at:d} ms")
def drop_lapsed_after_read(context, now, at):
    context.directory.drop_lapsed(now_ms=now, read_ms=at)


@then("the runners in use are {names}")
def check_directory(context, names):
    found = {record.runner.runner_id for record in context.directory.records()}
    assert found == set(names.split(", ")), found


@then("no runner is in use")
def check_none(context):
    assert not context.directory.records()


@given("the store answered a peer at {answered:d} ms")
@when("the store answers a peer at {answered:d} ms")
def store_answers_peer(context, answered):
    context.directory.record_store_answer(at_ms=answered)


@given("the store is unreachable")
def given_unreachable(context):
    context.directory.record_store_failure(since_ms=0.0)


@given("a call has had no answer since {since:d} ms")
@when("a call has had no answer since {since:d} ms")
def given_failed_call(context, since):
    context.directory.record_store_failure(since_ms=since)


@given("the store answered this node at {now:d} ms")
def given_own_answer(context, now):
    context.directory.record_own_answer(now_ms=now)


@when("the store is away from {since:d} ms to {until:d} ms")
def be_away(context, since, until):
    context.directory.record_store_failure(since_ms=since)
    context.directory.record_store_recovery(now_ms=until)


@when(
    "the store is away from {since:d} ms to {until:d} ms, and the entry of {name} has"
    " lapsed"
)
def lapse_in_outage(context, since, until, name):
    be_away(context, since, until)
    end(context, name, now=until)


@when(
    "a call fails at {start:d} ms, and at every {interval:d} ms after it, for"
    " {length:d} ms"
)
def fail_again_and_again(context, start, interval, length):
    for since in range(start, start + 3 * interval, interval):
        be_away(context, since, since + length)


@given("the store recovered from it at {now:d} ms")
@when("the store recovers at {now:d} ms")
def store_recovers(context, now):
    context.directory.record_store_recovery(now_ms=now)


@when("a peer that waits for {lapsed} sends a newer list with {names} at {now:d} ms")
def peer_waits(context, lapsed, names, now):
    context.revision += 1
    held = tuple(make_record(name) for name in names.split(", "))
    waited_for = LapsedRecord(make_record(lapsed), 2_000)
    view = DirectoryView(context.revision, held, (waited_for,))
    context.directory.replace(view, now_ms=now)


@when("a new node gets the list at {now:d} ms")
def get_list(context, now):
    view = context.directory.view(now_ms=now)
    context.new_directory = make_directory()
    context.new_directory.replace(view, now_ms=now)


@when("a new node gets the list and reads an empty one at {now:d} ms")
def get_list_and_read(context, now):
    context.new_directory = make_directory()
    view = context.directory.view(now_ms=now - 100)
    context.new_directory.replace(view, now_ms=now - 100)
    empty = DirectoryView(context.revision + 1, ())
    context.new_directory.replace(empty, now_ms=now)


@then("the new node's runners are {names} until {now:d} ms")
def check_new_node(context, names, now):
    directory = context.new_directory
    found = {record.runner.runner_id for record in directory.records()}
    assert found == set(names.split(", ")), found
    directory.drop_lapsed(now_ms=now - 1)
    assert len(directory.records()) == len(found)
    directory.drop_lapsed(now_ms=now)
    assert not directory.records()


@when("the earlier end of {name} is reported late at {now:d} ms")
def late_end(context, name, now):
    end(context, name, now=now, revision=context.revision - 1)


@when("a peer reports at {now:d} ms that the entry of {name} lapsed")
def report_lapse(context, now, name):
    end(context, name, now=now, wait_ms=LAPSE_WAIT_MS)


@when("a peer reports at {now:d} ms that it waits {wait:d} ms more for {name}")
def report_wait(context, now, wait, name):
    end(context, name, now=now, wait_ms=wait)


@when("a peer that saw the end of {name} reports it at {now:d} ms")
def report_end(context, name, now):
    removal = RunnerRemoval(name, context.revision)
    changes = DirectoryChanges(10, context.revision, (), (removal,))
    context.directory.apply(changes, now_ms=now)


@when("a peer reports at {now:d} ms the entry of {name} as it was at the start")
def report_old_entry(context, now, name):
    changes = DirectoryChanges(10, context.revision, (make_record(name),), ())
    context.directory.apply(changes, now_ms=now)


@when("{name}, started at {started:d}, writes its entry at {now:d} ms")
def write_entry(context, name, started, now):
    put(context, name, now=now, born_ms=started)


@when("{name}, started at {started:d}, reports at {now:d} ms that it is leaving")
def report_leaving(context, name, started, now):
    put(context, name, now=now, is_leaving=True, born_ms=started)


@when("at {now:d} ms the entry of {name}, started at {started:d}, ends")
def lifetime_ends(context, now, name, started):
    end(context, name, now=now, born_ms=started)


@when("the entry of {name} becomes unusable at {now:d} ms")
def entry_unusable(context, name, now):
    base = context.revision
    context.revision += 1
    removal = RunnerRemoval(name, context.revision, is_refused=True)
    changes = DirectoryChanges(base, context.revision, (), (removal,))
    context.directory.apply(changes, now_ms=now)


@then("{name} is in use, started at {started:d} and not leaving")
def check_lifetime(context, name, started):
    records = {r.runner.runner_id: r for r in context.directory.records()}
    assert records[name].runner.born_ms == started, records[name]
    assert not records[name].is_leaving


def is_contiguous(directory, base, revision):
    return directory.is_contiguous_with(DirectoryChanges(base, revision, (), ()))


@then("changes from revision {base:d} to {revision:d} are contiguous with it")
def check_contiguous(context, base, revision):
    assert is_contiguous(context.directory, base, revision)


@then("changes from revision {base:d} to {revision:d} are not contiguous with it")
def check_gap(context, base, revision):
    assert not is_contiguous(context.directory, base, revision)


@then(
    "changes from revision {base:d} to {revision:d} are not contiguous with an empty"
    " directory"
)
def check_empty_gap(context, base, revision):
    assert not is_contiguous(make_directory(), base, revision)


# Admission


@given("no desired state")
def given_no_state(context):
    context.route_table = None


@given('a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "{host}"')
def given_state(context, host):
    routes = (make_route("/a/"), make_route("/a/b/"), make_route("/p/", is_public=True))
    teams = (Team("one", ("k1",), None), Team("two", ("k2",), 0))
    state = DesiredState(1, 1, routes, teams, True, CallerLimits())
    context.route_table = RouteTable(state=state)


@when(
    'a call for "{target}" with the key "{key}" and a time budget of {budget:d} ms'
    " arrives"
)
def call_with_budget(context, target, key, budget):
    admit_call(context, target, key, budget)


@when("a call with a head of {head:d} bytes and a body of {body:d} bytes arrives")
def sized_call(context, head, body):
    admit_call(context, "shop.example/a/x", "k1", 60_000, head=head, body=body)


def admit_call(context, target, key, budget, *, head=200, body=0):
    host, _, path = target.partition("/")
    call = EdgeCall(
        call_id="call",
        method="GET",
        target=f"/{path}",
        path=f"/{path}",
        hostname=host,
        forwarded_headers=(),
        head_bytes=head,
        body=bytes(body),
        key=key or None,
        budget_ms=budget,
        model="",
        prompt_parts=(),
        last_event=None,
    )
    context.error = context.admitted = None
    try:
        rng = getattr(context, "rng", None) or Random(1)
        context.admitted = admit(call, context.route_table, arrived_ms=0.0, rng=rng)
    except RequestError as error:
        context.error = error


@when('a call for "{target}" with the key "{key}" arrives')
def call_arrives(context, target, key):
    call_with_budget(context, target, key, 60_000)


@when('a call for "{target}" with the key "" arrives')
def keyless_call(context, target):
    call_with_budget(context, target, "", 60_000)


@when("{count:d} callers with a time budget of {budget:d} ms are refused")
def refuse_many(context, count, budget):
    context.retry_after_ms = []
    context.rng = Random(1)
    for _ in range(count):
        call_with_budget(context, "shop.example/a/x", "k1", budget)
        context.retry_after_ms.append(context.error.retry_after_ms)


@then("they are to retry after {low:d} to {high:d} ms, spread over that range")
def check_retry_after(context, low, high):
    assert low <= min(context.retry_after_ms), min(context.retry_after_ms)
    assert max(context.retry_after_ms) <= high, max(context.retry_after_ms)
    assert max(context.retry_after_ms) - min(context.retry_after_ms) > (high - low) / 2


@then("it is refused with {status:d} and a Retry-After")
def check_refused(context, status):
    assert context.error.status == status
    assert context.error.retry_after_ms


@then('its result is "{result}"')
def check_result(context, result):
    kind, _, value = result.partition(" ")
    if kind == "status":
        assert context.error is not None and context.error.status == int(value)
        return
    assert context.admitted is not None, context.error
    assert context.admitted.route.path_prefix == value


@then("its priority is {priority:d}")
def check_priority(context, priority):
    assert context.admitted.priority == priority


@then("its deadline is {ms:d} ms after its arrival")
def check_deadline(context, ms):
    assert context.admitted.deadline_ms == ms


# Choice of runners


@given("a resumable stream with an objective of {ms:d} ms")
def given_resumable(context, ms):
    context.route = make_route(
        kind=CallKind.STREAM, is_resumable=True, objective_ms=float(ms)
    )


@given("a stream that may not be resumed, with a limit of {ms:d} ms")
def given_stream(context, ms):
    context.route = make_route(kind=CallKind.STREAM, timeout_ms=float(ms))


@then("a prompt of {tokens:d} tokens has a timeout above {ms:d} ms")
def check_timeout_above(context, tokens, ms):
    assert (
        attempt_timeouts(context).head_timeout_ms(context.route, prompt_tokens=tokens)
        > ms
    )


@then("a prompt of {tokens:d} tokens has a timeout of at most {ms:d} ms")
def check_max_timeout(context, tokens, ms):
    assert (
        attempt_timeouts(context).head_timeout_ms(context.route, prompt_tokens=tokens)
        <= ms
    )


def attempt_timeouts(context):
    if "attempt_timeouts" not in context:
        context.attempt_timeouts = AttemptTimeouts()
    return context.attempt_timeouts


@when("the pool has slowed down to {ms:d} ms to the first event")
def slow_down(context, ms):
    for _ in range(60):
        attempt_timeouts(context).record_first_event(context.route, latency_ms=ms)


@given("a pool of the runners {names}")
def given_pool(context, names):
    context.names = names.split(", ")
    context.runner_table = RunnerTable()
    runners = [make_runner(name) for name in context.names]
    context.runner_table.apply_host_list(live=runners, leaving=[], now_ms=0.0)
    context.rings = PoolRings(table=context.runner_table, region="region")
    context.rings.rebuild()
    context.runner_health = RunnerHealth(table=context.runner_table)


@when("each of them refuses a connection at {now:d} ms")
def all_fail(context, now):
    for name in context.names:
        context.runner_health.record_failure(
            make_runner(name), outcome=AttemptOutcome.NOT_SENT, now_ms=now
        )


@when('"{name}" refuses a connection at {now:d} ms')
def one_fails(context, name, now):
    context.runner_health.record_failure(
        make_runner(name), outcome=AttemptOutcome.NOT_SENT, now_ms=now
    )


@when("expired quarantines are ended at {now:d} ms")
def end_quarantines(context, now):
    context.runner_table.end_expired_quarantines(now_ms=now)


@when('"{name}" answers calls at {now:d} ms as "{ends}"')
def answers(context, name, now, ends):
    for end in ends.split(", "):
        if end == "ok":
            context.runner_health.record_success(make_runner(name), now_ms=now)
        else:
            context.runner_health.record_failure(
                make_runner(name), outcome=AttemptOutcome(end), now_ms=now
            )


@then("calls are routed to all of them")
def check_all_routed(context):
    assert set(context.rings.order(POOL, KEY)) == set(context.names)


@then('calls are routed to all but "{name}"')
def check_all_but(context, name):
    assert set(context.rings.order(POOL, KEY)) == set(context.names) - {name}


@when("the first runner of a key leaves")
def first_leaves(context):
    context.first = next(context.rings.order(POOL, KEY))
    live = [make_runner(name) for name in context.names if name != context.first]
    context.runner_table.apply_host_list(
        live=live, leaving=[make_runner(context.first)], now_ms=1.0
    )
    context.rings.rebuild()


@then("it gets no calls but is still the key's likeliest holder")
def check_holder(context):
    assert context.first not in set(context.rings.order(POOL, KEY))
    assert next(context.rings.cache_candidates(POOL, KEY)) == context.first
