from __future__ import annotations

from types import SimpleNamespace
from unittest.mock import Mock

import msgspec
from behave import given, then, when
from edge_fleet import EdgeFleet
from edge_steps import get_page, wait_until
from loguru import logger
from overload_settings_steps import ADDRESS_FIELDS, NUMBER_FIELDS, TEXT_FIELDS
from runner_signals_steps import knows_fleet
from slot_home_steps import RUNNER, ManualTimers

from clementineyoke_core.edge.admission import AdmittedCall
from clementineyoke_core.edge.call_kind import CallKind
from clementineyoke_core.edge.edge_call import EdgeCall
from clementineyoke_core.edge.prompt_key import PromptPart
from clementineyoke_core.edge.route import Route, WeightedPool
from clementineyoke_core.grants.grant_rule import GrantRequest
from clementineyoke_core.overload.return_rates import RateSource
from clementineyoke_core.request_error import RequestError
from clementineyoke_core.slot_ledger import SlotHolder
from clementineyoke_node.config.edge_config import EdgeConfig
from clementineyoke_node.edge.forwarder import Forwarder
from clementineyoke_node.edge.scheduled_returns import make_return_policy
from clementineyoke_node.metrics_page import metrics_response
from clementineyoke_node.node_state import NodeState

POOL = RUNNER.pool
OBJECTIVE_MS = 500.0
START_MS = 100_000.0
GRANT_SPAN_MS = 10_000.0


class PoolBroker:
    """The part of a broker that tells whether a pool accepts calls."""

    def __init__(self, state):
        self._state = state

    def has_available_runner(self, pool, *, version=None):
        return any(self._state.rings.order(pool, 0, version=version))

    def backoff_remaining_ms(self, pool, *, now_ms):
        return self._state.table.backoff_remaining_ms(pool, now_ms=now_ms)


@given("a node with return_schedule {setting}")
def given_node(context, setting):
    document = dict.fromkeys(ADDRESS_FIELDS, "127.0.0.1:1")
    document |= dict.fromkeys(TEXT_FIELDS, "region")
    document |= dict.fromkeys(NUMBER_FIELDS, 1.0)
    document |= {"peer_port": 1, "seeds": [], "peer_keys": ["key"]}
    document["return_schedule"] = setting == "on"
    context.node_config = msgspec.convert(document, EdgeConfig)
    start_node(context)


@when("the node starts again")
def start_node(context):
    state = context.state = NodeState(config=context.node_config)
    context.timers = ManualTimers()
    context.timers.at_ms = START_MS
    state.table.apply_host_list(live=[RUNNER], leaving=[], now_ms=0)
    state.rebuild_homes()
    context.policy = make_return_policy(
        features=context.node_config.overload_features,
        state=state,
        timers=context.timers,
        fleet_calls_per_s=lambda: 0.0,
    )
    context.keys = context.policy.apply_hosts()
    context.policy.publish()
    context.forwarder = Forwarder(
        broker=PoolBroker(state),
        attempt_executor=Mock(),
        health=None,
        crash_tracker=None,
        retry_window=None,
        timers=context.timers,
        decisions=None,
        metrics=None,
        count_nodes=lambda: 1,
        random_key=lambda: state.rng.getrandbits(64),
        cap_factor=1.5,
        admission=None,
        token_accounting=None,
        reach=None,
        reach_monitor=None,
        peer_relay=None,
        fault_reports=None,
        streams=None,
        returns=context.policy,
    )
    context.retry_ms = []
    context.logged = []
    sink = logger.add(lambda line: context.logged.append(line.record["message"]))
    context.add_cleanup(logger.remove, sink)


def admitted_call(context, *, left_ms, objective_ms=OBJECTIVE_MS, age_ms=0, **fields):
    route = Route(
        name="route",
        hostname="host",
        path_prefix="/",
        kind=CallKind.STREAM,
        pools=(WeightedPool(POOL, 1.0),),
        timeout_ms=60_000.0,
        objective_ms=objective_ms,
        pause_objective_ms=0.0,
        priority=1,
        max_runners=2,
        is_public=True,
        is_resumable=True,
        has_prompt=False,
    )
    call = EdgeCall(
        call_id="call",
        method="POST",
        target="/",
        path="/",
        hostname="host",
        forwarded_headers=(),
        head_bytes=10,
        body=fields.get("body", b""),
        key=None,
        budget_ms=left_ms,
        model="",
        prompt_parts=fields.get("prompt_parts", ()),
        last_event=fields.get("last_event"),
    )
    now_ms = context.timers.now_ms()
    return AdmittedCall(
        call=call,
        route=route,
        pool=POOL,
        team=None,
        priority=route.priority,
        arrived_ms=now_ms - age_ms,
        deadline_ms=now_ms + left_ms,
        version=1,
        prompt_key=None,
    )


@given("a pool that grants {per_s:d} slots per second")
@when("a pool that grants {per_s:d} slots per second")
def given_grants(context, per_s):
    count = int(per_s * GRANT_SPAN_MS / 1_000)
    for n in range(count):
        now_ms = START_MS - GRANT_SPAN_MS * (count - n - 1) / count
        holder = SlotHolder("node", n)
        for rule in context.policy.grant_rules:
            rule.record_grant(GrantRequest(RUNNER.runner_id, holder, now_ms))
    context.policy.publish()


@given("{count:d} calls were answered after {work_ms:d} ms each")
def given_answers(context, count, work_ms):
    admitted = admitted_call(context, left_ms=60_000)
    granted_ms = context.timers.now_ms() - work_ms
    for _ in range(count):
        context.policy.record_answer(admitted, granted_ms=granted_ms)


@given("{count:d} calls waited {wait_ms:d} ms for their slots")
def given_waits(context, count, wait_ms):
    admitted = admitted_call(context, left_ms=60_000)
    for _ in range(count):
        asked_ms = context.timers.now_ms() - wait_ms
        context.policy.record_slot(admitted, asked_ms=asked_ms)


@when("all its runners drain")
def drain(context):
    context.state.table.record_draining(RUNNER.runner_id, now_ms=START_MS)


@when("all its runners are in backoff for {backoff_s:d} s")
def back_off(context, backoff_s):
    context.state.table.record_backoff(
        RUNNER, backoff_ms=backoff_s * 1_000, now_ms=START_MS
    )


@then(
    "a call with {left_ms:d} ms left that got no slot gets a Retry-After of {low:d} to "
    "{high:d} ms"
)
def check_retry(context, left_ms, low, high):
    admitted = admitted_call(context, left_ms=left_ms, body=b"checked")
    retry_ms = context.forwarder._not_run_retry_ms(admitted)
    assert low <= retry_ms <= high, retry_ms


@when("{count:d} calls with {left_ms:d} ms left got no slot")
def reject_calls(context, count, left_ms):
    for n in range(count):
        admitted = admitted_call(context, left_ms=left_ms, body=b"%d" % n)
        context.retry_ms.append(context.forwarder._not_run_retry_ms(admitted))


@when("{count:d} more calls with {left_ms:d} ms left got no slot {pause_ms:d} ms later")
def reject_more_calls(context, count, left_ms, pause_ms):
    context.timers.at_ms += pause_ms
    for n in range(count):
        admitted = admitted_call(context, left_ms=left_ms, body=b"more %d" % n)
        context.forwarder._not_run_retry_ms(admitted)


@when(
    "two calls are rejected whose bodies of {size:d} bytes differ {where} and prompts "
    "{how}"
)
def reject_two(context, size, where, how):
    places = {"in the head": 0, "in the middle": size // 2, "in the tail": size - 1}
    bodies = [bytearray(size), bytearray(size)]
    if where != "nowhere":
        bodies[1][places[where]] = 1
    part_ids = ("a", "b" if how == "differ" else "a")
    for body, part_id in zip(bodies, part_ids, strict=True):
        admitted = admitted_call(
            context,
            left_ms=9_000,
            body=bytes(body),
            prompt_parts=(PromptPart(part_id, 100),),
        )
        context.forwarder._not_run_retry_ms(admitted)


@then("{count:d} returns are planned")
def check_planned(context, count):
    assert context.policy._schedule.pending_count() == count


@then(
    "the log has {changed:d} line return_rate_changed and {overbooked:d} lines "
    "returns_overbooked"
)
@then(
    "the log has {changed:d} lines return_rate_changed and {overbooked:d} lines "
    "returns_overbooked"
)
def check_log(context, changed, overbooked):
    assert context.logged.count("return_rate_changed") == changed, context.logged
    assert context.logged.count("returns_overbooked") == overbooked, context.logged


@then("their Retry-After is spread over {low:d} to {high:d} ms")
def check_spread(context, low, high):
    spread_ms = max(context.retry_ms) - min(context.retry_ms)
    assert low <= spread_ms <= high, context.retry_ms


@then("the log gives their rate as that of {source}")
def check_source(context, source):
    found = context.policy.describe(POOL)
    assert found["return_rate_source"] == source, found
    assert abs(found["return_rate_per_s"] - 5) <= 1, found


def metrics_page(state):
    headers = SimpleNamespace(getall=lambda name, default: default)
    request = SimpleNamespace(headers=headers)
    return metrics_response(request, state.metrics).body.decode()


@then("the metrics count {count:d} planned returns of priority {priority:d}")
def check_retry_metric(context, count, priority):
    lines = metrics_page(context.state).splitlines()
    name = "clementineyoke_retry_after_seconds_count"
    (line,) = (line for line in lines if line.startswith(name))
    assert f'pool="{POOL}"' in line, line
    assert f'priority="{priority}"' in line, line
    assert float(line.split()[-1]) == count, line


@then(
    "a call with an objective of {objective_ms:d} ms and {left_ms:d} ms left queues "
    "for {queue_ms:d} ms"
)
def check_queue(context, objective_ms, left_ms, queue_ms):
    admitted = admitted_call(context, left_ms=left_ms, objective_ms=objective_ms)
    found = context.policy.queue_ms(admitted, was_searched=False)
    assert found == queue_ms, found


@then(
    "a call with an objective of {objective_ms:d} ms that arrived {age_ms:d} ms ago "
    "and {before} searched before queues for {queue_ms:d} ms"
)
def check_queue_time(context, objective_ms, age_ms, before, queue_ms):
    admitted = admitted_call(
        context, left_ms=5_000, objective_ms=objective_ms, age_ms=age_ms
    )
    found = context.policy.queue_ms(admitted, was_searched=before == "was")
    assert found == queue_ms, found


def check_time(context, **fields):
    """Return the error with which a call is rejected before its search, or None."""
    try:
        context.policy.check_time_left(
            admitted_call(context, **fields), not_run_retry_ms=lambda _: 100
        )
    except RequestError as error:
        assert error.status == 503, error
        assert error.outcome.value == "not_run", error
        return error
    return None


@then("a call with {left_ms:d} ms left is tried")
def check_tried(context, left_ms):
    assert check_time(context, left_ms=left_ms) is None


@then("a call with {left_ms:d} ms left is rejected for {shortage}")
def check_rejected(context, left_ms, shortage):
    error = check_time(context, left_ms=left_ms)
    assert error is not None
    assert error.details["shortage"] == shortage, error.details


@when("{count:d} calls with {left_ms:d} ms left are rejected for {shortage}")
def reject_hopeless(context, count, left_ms, shortage):
    for _ in range(count):
        error = check_time(context, left_ms=left_ms)
        assert error is not None
        assert error.details["shortage"] == shortage, error.details
        context.retry_ms.append(error.retry_after_ms)


@then(
    "their Retry-After is between {low:d} and {high:d} ms, and no more than {most:d} "
    "are equal"
)
def check_not_equal(context, low, high, most):
    times = context.retry_ms
    assert low <= min(times) <= max(times) <= high, (min(times), max(times))
    assert max(times.count(t) for t in times) <= most, times


@then("a stream that continues after event {event:d} with {left_ms:d} ms left is tried")
def check_stream_tried(context, event, left_ms):
    assert check_time(context, left_ms=left_ms, last_event=event) is None


@then("the home asks no further rules and gossips no further keys")
def check_no_rules(context):
    assert context.policy.grant_rules == ()
    assert context.keys == set()


class ReturnFleet(EdgeFleet):
    """A fleet whose nodes schedule returns."""

    def config(self, number):
        return msgspec.structs.replace(super().config(number), return_schedule=True)


@given("a fleet with a return schedule, of {nodes:d} node and {runners:d} runner")
@given("a fleet with a return schedule, of {nodes:d} nodes and {runners:d} runner")
def given_fleet(context, nodes, runners):
    fleet = context.fleet = ReturnFleet(nodes=nodes, runners=runners)
    context.run(fleet.__aenter__())
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    context.run(wait_until(lambda: all(knows_fleet(fleet, n) for n in fleet.nodes), 3))


@when('calls of "{route}" are known to take {work_s:d} s')
def learn_work(context, route, work_s):
    for node in context.fleet.nodes:
        now_ms = node.io.timers.now_ms()
        for _ in range(40):
            node.io.returns._expected_work.record_answer(
                route, work_ms=work_s * 1_000, now_ms=now_ms
            )


@then("node {number:d} knows the work of {known} and {count:d} waits for slots")
def check_learned(context, number, known, count):
    node = context.fleet.nodes[number - 1]
    learned = node.io.returns._expected_work
    routes = ("idempotent", "non_idempotent", "streaming")
    now_ms = node.io.timers.now_ms()
    found = [
        f'"{route}"'
        for route in routes
        if learned.time_need(route, "pool", 1, now_ms=now_ms) is not None
    ]
    assert (found or ["no route"]) == [known], found
    assert len(learned._waits._samples["pool", 1]) == count


@when('a caller makes a "{kind}" call that waits for {left_s:d} s')
def make_impatient_call(context, kind, left_s):
    broker = context.fleet.nodes[0].io.broker
    context.slot_requests, acquire = [], broker.acquire

    def record_and_acquire(request):
        context.slot_requests.append(request)
        return acquire(request)

    broker.acquire = record_and_acquire
    headers = {"X-Deadline-Ms": str(left_s * 1_000)}
    context.answer = context.run(
        context.fleet.call(kind, call_id="asked-for", headers=headers)
    )


@then(
    'it is rejected with {status:d}, step "{step}" and a Retry-After of {low:g} to '
    "{high:g} s"
)
def check_answer(context, status, step, low, high):
    found_status, headers, body = context.answer
    assert found_status == status, context.answer
    assert msgspec.json.decode(body)["step"] == step, body
    assert low <= float(headers["Retry-After"]) <= high, headers


@then("it asked to queue for {low:d} to {high:d} ms of its objective of 500 ms")
def check_asked_queue(context, low, high):
    (request,) = context.slot_requests
    assert low <= request.wait_ms <= high, request


@then("no runner received a call")
def check_no_call(context):
    assert context.fleet.calls() == []


@then("the decision on it gives {names}")
def check_decision(context, names):
    decisions = context.fleet.nodes[0].state.decisions.find("asked-for")
    (fields,) = (d["fields"] for d in decisions if d["event"] == "route_refused")
    expected = names.replace(" and ", ", ").split(", ")
    assert all(fields.get(name) is not None for name in expected), fields


@then("the metrics count {count:d} early rejection for {shortage}")
def check_early_metric(context, count, shortage):
    lines = context.run(get_page(context, "/metrics")).splitlines()
    name = "clementineyoke_early_rejections_total"
    (line,) = (line for line in lines if line.startswith(name))
    assert f'reason="{shortage}"' in line, line
    assert float(line.split()[-1]) == count, line


@when("calls have been answered until both nodes know the pool's rate from gossip")
def learn_rate(context):
    fleet = context.fleet

    def knows_rate(node):
        rate = node.io.returns._rates.rate("pool", now_ms=node.io.timers.now_ms())
        return rate.source is RateSource.FLEET

    async def act():
        for n in range(20):
            await fleet.call("idempotent", call_id=f"call-{n}")
        await wait_until(lambda: all(knows_rate(node) for node in fleet.nodes), 5)

    context.run(act())


@when("all slots of the runner are in use")
def use_all_slots(context):
    for node in context.fleet.nodes:
        for n in range(1_000):
            holder = SlotHolder("other", n)
            node.state.ledger.renew("runner-0", holder, now_ms=node.io.timers.now_ms())
