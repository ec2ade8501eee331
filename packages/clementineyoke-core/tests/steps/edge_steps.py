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


@given("a call that {may} be repeated, for at most {most:d} runners")
def given_call(context, may, most):
    context.ledger = AttemptLedger(may_repeat=may == "may", max_runners=most)


@when('its attempt at "{runner}" ends as "{end}"')
def end_attempt(context, runner, end):
    context.ledger.record(runner, AttemptOutcome(end))


@when('{count:d} attempts end as "{end}"')
def end_attempts(context, count, end):
    for number in range(count):
        context.ledger.record(f"runner-{number}", AttemptOutcome(end))


@then("it may be tried again")
def check_again(context):
    assert context.ledger.may_retry()


@then("it may not be tried again")
def check_not_again(context):
    assert not context.ledger.may_retry()


@then("it may have run")
def check_may_have_run(context):
    assert context.ledger.may_have_run


@then("it surely did not run")
def check_not_run(context):
    assert not context.ledger.may_have_run


# Second tries


@given("{nodes:d} nodes that share a ratio of {ratio:f} and {n:d} more in {s:d} s")
def given_windows(context, nodes, ratio, n, s):
    context.windows = [
        RetryWindow(ratio=ratio, allowance=n, window_ms=s * 1000.0)
        for _ in range(nodes)
    ]


@when("each sees {calls:d} calls in {s:d} s and all of them want a second try")
def want_retries(context, calls, s):
    context.taken = []
    for window in context.windows:
        taken = 0
        for number in range(calls):
            now_ms = number * s * 1000.0 / calls
            window.record_call(POOL, now_ms=now_ms)
            taken += window.try_spend(
                POOL, node_count=len(context.windows), now_ms=now_ms
            )
        context.taken.append(taken)


@then("together they send at most {most:d} again")
def check_together(context, most):
    assert sum(context.taken) <= most, context.taken


@then("each sends at least {least:d} again")
def check_each(context, least):
    assert min(context.taken) >= least, context.taken


@then("nothing is left at {s:d} s")
def check_nothing_left(context, s):
    assert not context.windows[0].try_spend(POOL, node_count=1, now_ms=s * 1000.0)


@then("there is something left at {s:d} s")
def check_something_left(context, s):
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


@then("it gave the events {numbers}")
def check_events(context, numbers):
    wanted = [int(number) for number in numbers.split(",")]
    assert [event.event_id for event in context.events] == wanted, context.events


@then("it holds a part")
def check_part(context):
    assert context.splitter.has_partial_event


@then("it holds no part")
def check_no_part(context):
    assert not context.splitter.has_partial_event


@then(
    "{cuts:d} random cuts of a stream of {count:d} events give them whole and in order"
)
def check_cuts(context, cuts, count):
    rng = Random(1)
    whole = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(count))
    for _ in range(cuts):
        splitter = EventSplitter()
        events = []
        place = 0
        while place < len(whole):
            size = rng.randint(1, 20)
            events += splitter.feed(whole[place : place + size])
            place += size
        assert b"".join(event.body for event in events) == whole
        assert [event.event_id for event in events] == list(range(count))


# Runners' entries


def make_record(runner_id, *, revision=1, is_leaving=False, born_ms=0):
    return RunnerRecord(make_runner(runner_id, born_ms=born_ms), is_leaving, revision)


DRAIN_WITHIN_MS = 2_000.0
LAPSE_MS = 2_200
"""How long a peer says that it waits for a runner whose entry has just lapsed."""


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


@given("the store returned at {now:d} ms")
def given_return(context, now):
    context.directory.record_store_recovery(now_ms=now)


@given("{name} says that it is leaving")
def given_leaving(context, name):
    put(context, name, now=0.0, is_leaving=True)


@when("a list with no runners comes at {now:d} ms")
def empty_list(context, now):
    context.revision += 1
    context.directory.replace(DirectoryView(context.revision, ()), now_ms=now)


@when("the entry of {name} comes back at {now:d} ms")
def entry_back(context, name, now):
    put(context, name, now=now)


@when("the entry of {name} ends at {now:d} ms")
def entry_ends(context, name, now):
    end(context, name, now=now)


@when("the old list with {names} comes from a peer at {now:d} ms")
def old_list(context, names, now):
    context.directory.replace(DirectoryView(10, tuple(context.old)), now_ms=now)


@when("lapsed entries are dropped at {now:d} ms")
def drop_lapsed(context, now):
    context.directory.drop_lapsed(now_ms=now)


@then("the runners in force are {names}")
def check_directory(context, names):
    found = {record.runner.runner_id for record in context.directory.records()}
    assert found == set(names.split(", ")), found


@then("no runner is in force")
def check_none(context):
    assert not context.directory.records()


@given("the store answered a peer at {answered:d} ms")
@when("the store answers a peer at {answered:d} ms")
def store_answers_peer(context, answered):
    context.directory.record_store_answer(at_ms=answered)


@given("the store is away")
def given_away(context):
    context.directory.record_store_failure()


@when("the store returns at {now:d} ms")
def store_returns(context, now):
    context.directory.record_store_recovery(now_ms=now)


@when(
    "a peer that waits for {lapsed} hands over a newer list with {names} at {now:d} ms"
)
def peer_waits(context, lapsed, names, now):
    context.revision += 1
    held = tuple(make_record(name) for name in names.split(", "))
    waited_for = LapsedRecord(make_record(lapsed), 2_000)
    view = DirectoryView(context.revision, held, (waited_for,))
    context.directory.replace(view, now_ms=now)


@when("a new node takes over the list at {now:d} ms")
def take_over(context, now):
    view = context.directory.view(now_ms=now)
    context.new_directory = make_directory()
    context.new_directory.replace(view, now_ms=now)


@when("a new node takes over the list, and reads an empty one at {now:d} ms")
def take_over_and_read(context, now):
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


@when("the end of {name} that came before its return is told at {now:d} ms")
def late_end(context, name, now):
    end(context, name, now=now, revision=context.revision - 1)


@when("a peer tells at {now:d} ms that the entry of {name} lapsed")
def told_lapsed(context, now, name):
    end(context, name, now=now, wait_ms=LAPSE_MS)


@when("a peer tells at {now:d} ms that it waits {wait:d} ms more for {name}")
def told_wait(context, now, wait, name):
    end(context, name, now=now, wait_ms=wait)


@when("a peer that saw the end of {name} tells of it at {now:d} ms")
def told_end(context, name, now):
    removal = RunnerRemoval(name, context.revision)
    changes = DirectoryChanges(10, context.revision, (), (removal,))
    context.directory.apply(changes, now_ms=now)


@when("a peer tells at {now:d} ms of the entry of {name} as it was at the start")
def told_old_entry(context, now, name):
    changes = DirectoryChanges(10, context.revision, (make_record(name),), ())
    context.directory.apply(changes, now_ms=now)


@when("{name}, born at {born:d}, enters itself at {now:d} ms")
def enters(context, name, born, now):
    put(context, name, now=now, born_ms=born)


@when("{name}, born at {born:d}, says at {now:d} ms that it is leaving")
def says_leaving(context, name, born, now):
    put(context, name, now=now, is_leaving=True, born_ms=born)


@when("the store ends at {now:d} ms what {name}, born at {born:d}, wrote")
def lifetime_ends(context, now, name, born):
    end(context, name, now=now, born_ms=born)


@when("the entry of {name} names no runner any more at {now:d} ms")
def entry_refused(context, name, now):
    base = context.revision
    context.revision += 1
    removal = RunnerRemoval(name, context.revision, is_refused=True)
    changes = DirectoryChanges(base, context.revision, (), (removal,))
    context.directory.apply(changes, now_ms=now)


@then("{name} is in force, born at {born:d} and not leaving")
def check_lifetime(context, name, born):
    records = {r.runner.runner_id: r for r in context.directory.records()}
    assert records[name].runner.born_ms == born, records[name]
    assert not records[name].is_leaving


def follows(directory, base, revision):
    return directory.is_contiguous_with(DirectoryChanges(base, revision, (), ()))


@then("changes from revision {base:d} to {revision:d} follow on it")
def check_follows(context, base, revision):
    assert follows(context.directory, base, revision)


@then("changes from revision {base:d} to {revision:d} do not follow on it")
def check_gap(context, base, revision):
    assert not follows(context.directory, base, revision)


@then(
    "changes from revision {base:d} to {revision:d} do not follow on an empty directory"
)
def check_empty_gap(context, base, revision):
    assert not follows(make_directory(), base, revision)


# Admission


@given("no desired state")
def given_no_state(context):
    context.routes = None


@given('a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "{host}"')
def given_state(context, host):
    routes = (make_route("/a/"), make_route("/a/b/"), make_route("/p/", is_public=True))
    teams = (Team("one", ("k1",), None), Team("two", ("k2",), 0))
    state = DesiredState(1, 1, routes, teams, True, CallerLimits())
    context.routes = RouteTable(state=state)


@when('a call for "{target}" with the key "{key}" comes that waits {wait:d} ms')
def call_waits(context, target, key, wait):
    admit_call(context, target, key, wait)


@when("a call with a head of {head:d} bytes and a body of {body:d} bytes comes")
def sized_call(context, head, body):
    admit_call(context, "shop.example/a/x", "k1", 60_000, head=head, body=body)


def admit_call(context, target, key, wait, *, head=200, body=0):
    host, _, path = target.partition("/")
    call = EdgeCall(
        call_id="call",
        method="GET",
        target=f"/{path}",
        path=f"/{path}",
        hostname=host,
        passed_headers=(),
        head_bytes=head,
        body=bytes(body),
        key=key or None,
        budget_ms=wait,
        model="",
        prompt_parts=(),
        last_event=None,
    )
    context.error = context.admitted = None
    try:
        rng = getattr(context, "rng", None) or Random(1)
        context.admitted = admit(call, context.routes, arrived_ms=0.0, rng=rng)
    except RequestError as error:
        context.error = error


@when('a call for "{target}" with the key "{key}" comes')
def call_comes(context, target, key):
    call_waits(context, target, key, 60_000)


@when('a call for "{target}" with the key "" comes')
def keyless_call(context, target):
    call_waits(context, target, "", 60_000)


@when("{count:d} callers that wait {wait:d} ms are refused")
def refuse_many(context, count, wait):
    context.returns_ms = []
    context.rng = Random(1)
    for _ in range(count):
        call_waits(context, "shop.example/a/x", "k1", wait)
        context.returns_ms.append(context.error.retry_after_ms)


@then("they come back between {low:d} and {high:d} ms later, spread over that time")
def check_returns(context, low, high):
    assert low <= min(context.returns_ms), min(context.returns_ms)
    assert max(context.returns_ms) <= high, max(context.returns_ms)
    assert max(context.returns_ms) - min(context.returns_ms) > (high - low) / 2


@then("it is refused with {status:d} and a time to return")
def check_refused(context, status):
    assert context.error.status == status
    assert context.error.retry_after_ms


@then('its end is "{end}"')
def check_end(context, end):
    word, _, value = end.partition(" ")
    if word == "status":
        assert context.error is not None and context.error.status == int(value)
        return
    assert context.admitted is not None, context.error
    assert context.admitted.route.path_prefix == value


@then("its priority is {priority:d}")
def check_priority(context, priority):
    assert context.admitted.priority == priority


@then("it ends {ms:d} ms after its arrival")
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


@then("a prompt of {tokens:d} tokens is waited for longer than {ms:d} ms")
def check_longer(context, tokens, ms):
    assert patience(context).head_timeout_ms(context.route, prompt_tokens=tokens) > ms


@then("a prompt of {tokens:d} tokens is waited for at most {ms:d} ms")
def check_at_most(context, tokens, ms):
    assert patience(context).head_timeout_ms(context.route, prompt_tokens=tokens) <= ms


def patience(context):
    if "patience" not in context:
        context.patience = AttemptTimeouts()
    return context.patience


@when("the pool has become as slow as {ms:d} ms to the first event")
def become_slow(context, ms):
    for _ in range(60):
        patience(context).record_first_event(context.route, latency_ms=ms)


@given("a pool of the runners {names}")
def given_pool(context, names):
    context.names = names.split(", ")
    context.runner_table = RunnerTable()
    runners = [make_runner(name) for name in context.names]
    context.runner_table.apply_host_list(live=runners, leaving=[], now_ms=0.0)
    context.rings = PoolRings(table=context.runner_table, region="region")
    context.rings.rebuild()
    context.watch = RunnerHealth(table=context.runner_table)


@when("each of them fails to take a connection at {now:d} ms")
def all_fail(context, now):
    for name in context.names:
        context.watch.record_failure(
            make_runner(name), outcome=AttemptOutcome.NOT_SENT, now_ms=now
        )


@when('"{name}" fails to take a connection at {now:d} ms')
def one_fails(context, name, now):
    context.watch.record_failure(
        make_runner(name), outcome=AttemptOutcome.NOT_SENT, now_ms=now
    )


@when("quarantines are looked at {now:d} ms")
def end_quarantines(context, now):
    context.runner_table.end_expired_quarantines(now_ms=now)


@when('"{name}" answers calls at {now:d} ms as "{ends}"')
def answers(context, name, now, ends):
    for end in ends.split(", "):
        if end == "ok":
            context.watch.record_success(make_runner(name), now_ms=now)
        else:
            context.watch.record_failure(
                make_runner(name), outcome=AttemptOutcome(end), now_ms=now
            )


@then("calls still find all of them")
def check_all_found(context):
    assert set(context.rings.order(POOL, KEY)) == set(context.names)


@then('calls find all but "{name}"')
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


@then("it is no longer found for calls but still the key's likeliest holder")
def check_holder(context):
    assert context.first not in set(context.rings.order(POOL, KEY))
    assert next(context.rings.cache_candidates(POOL, KEY)) == context.first
