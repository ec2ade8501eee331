from __future__ import annotations

import asyncio
import contextlib
import os
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from random import Random

import aiohttp
import msgspec
from behave import given, then, when
from edge_fleet import (
    CALL_ID_HEADER,
    KEY,
    POOL,
    EdgeFleet,
    make_route,
    make_state,
)

from clementineyoke_core.edge.runner_directory import (
    DirectoryChanges,
    RunnerRemoval,
)
from clementineyoke_node.config.config_file import (
    ConfigFile,
    load_config_with_retries,
)
from clementineyoke_node.edge.store_watcher import StoreWatcher
from clementineyoke_node.platform.names import SETTINGS_FILE_VARIABLE
from clementineyoke_node.platform.state_decoder import decode_state
from clementineyoke_node.platform.store_client import WATCH_SLACK_MS
from clementineyoke_standins.edge.edge_runner import EVENTS, PROOF, ScriptedResponse
from clementineyoke_standins.edge.edge_store import StoreFault

LAPSE_AFTER_S = 2.4
"""The earliest lapse of an entry in an outage: after three heartbeats of silence, the
first of which may pass before the outage."""
WHOLE_STREAM = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, EVENTS + 1))


@given("a fleet of {nodes:d} node and {runners:d} runners")
@given("a fleet of {nodes:d} node and {runners:d} runner")
@given("a fleet of {nodes:d} nodes and {runners:d} runner")
def given_fleet(context, nodes, runners):
    fleet = EdgeFleet(nodes=nodes, runners=runners)
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))


@given('the next call is answered as "{act}"')
def given_next_act(context, act):
    set_script(context, ScriptedResponse(act))


@given('the next {count:d} calls are answered as "{act}"')
def given_next_acts(context, count, act):
    set_script(context, *[ScriptedResponse(act)] * count)


@given('the next calls are answered as "{acts}"')
def given_acts(context, acts):
    set_script(context, *map(ScriptedResponse, acts.split(", ")))


def set_script(context, *acts):
    """Answer the next calls by these acts in order, whichever runners get them."""
    script = list(acts)
    for runner in context.fleet.runners:
        runner.script = script


@given("the runners stream")
def given_streams(context):
    for runner in context.fleet.runners:
        runner.fallback_response = ScriptedResponse.STREAM


@given("the runners stream slowly")
def given_slow_streams(context):
    for runner in context.fleet.runners:
        runner.fallback_response = ScriptedResponse.STREAM
        runner.event_pause_s = 0.1


@given("the runners silently drop idle connections")
def given_silent_drops(context):
    for runner in context.fleet.runners:
        runner.resets_idle_connections = True


@given("the runners announce that they keep idle connections for {kept_s:d} s")
def given_announced_idle_time(context, kept_s):
    for runner in context.fleet.runners:
        runner.keep_alive_timeout_s = kept_s


@when('a caller makes {count:d} "{kind}" calls, {pause_s:g} s after one another')
def make_calls_apart(context, count, kind, pause_s):
    async def act():
        answers = []
        for n in range(count):
            answers.append(await context.fleet.call(kind, call_id=f"call-{n}"))
            await asyncio.sleep(pause_s)
        return answers

    context.answers = context.run(act())


@when('a caller makes {count:d} "{kind}" calls one after another')
def make_calls(context, count, kind):
    async def act():
        return [
            await context.fleet.call(kind, call_id=f"call-{n}") for n in range(count)
        ]

    context.answers = context.run(act())


@then("{count:d} of them are answered")
def check_answered(context, count):
    statuses = [status for status, _, _ in context.answers]
    assert statuses.count(200) == count, statuses


@given("streams are not resumable")
def given_not_resumable(context):
    route = make_route("streaming", runners=1, resumable=False)
    context.run(context.fleet.put_state(route))
    context.run(wait_until(lambda: version_in_force(context) == 2, 2))


def version_in_force(context):
    return context.fleet.nodes[0].io.view.routes.state.version


async def wait_until(condition, limit_s):
    deadline_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline_s, (
            f"the condition was not met within {limit_s} s"
        )
        await asyncio.sleep(0.02)


@when('a caller makes a "{kind}" call')
def make_call(context, kind):
    context.call_id = "call-1"
    context.answer = context.run(context.fleet.call(kind))


@when('a caller makes a "{kind}" call with the id "{call_id}"')
def make_call_with_id(context, kind, call_id):
    context.answer = context.run(context.fleet.call(kind, call_id=call_id))


@when('a caller makes a "{kind}" call with "{fields}"')
def make_call_with(context, kind, fields):
    headers = dict(field.split(": ") for field in fields.split(", "))
    context.answer = context.run(context.fleet.call(kind, headers=headers))


@when("a caller makes a call with two ids")
def make_call_with_two_ids(context):
    async def call():
        fields = [
            ("Host", "shop.example"),
            (CALL_ID_HEADER, "one"),
            (CALL_ID_HEADER, "two"),
            ("Authorization", f"Token {KEY}"),
        ]
        url = context.fleet.url(0, 0, "/idempotent/x")
        async with context.fleet.session.get(url, headers=fields) as response:
            return response.status, dict(response.headers), ""

    context.answer = context.run(call())


@when('a caller makes a "{kind}" call that breaks')
def make_breaking_call(context, kind):
    context.is_broken = False
    try:
        context.answer = context.run(context.fleet.call(kind))
    except aiohttp.ClientError:
        context.is_broken = True


@when("the late response has arrived")
def wait_for_late_response(context):
    context.run(asyncio.sleep(0.2))


@then("the caller gets 200 and its own response, with the runner's signature")
def check_own_response(context):
    status, headers, body = context.answer
    assert status == 200, context.answer
    assert body == "answer to call-1", body
    assert PROOF in headers.values()


@then('the caller gets 200 and the response to "{call_id}"')
def check_response_to(context, call_id):
    status, _, body = context.answer
    assert (status, body) == (200, f"answer to {call_id}"), context.answer


@then("the caller gets {status:d}")
def check_status(context, status):
    assert context.answer[0] == status, context.answer


@then("the caller gets {status:d} and a time to return")
def check_status_and_time(context, status):
    assert context.answer[0] == status, context.answer
    assert 0 < float(context.answer[1]["Retry-After"]) < 3


@then("the runners received {count:d} calls")
@then("the runners received {count:d} call")
def check_received_count(context, count):
    assert len(context.fleet.calls()) == count, context.fleet.calls()


@then("the runner received the call's id, its team and the runner's id, but no key")
def check_received_call(context):
    (call,) = context.fleet.calls()
    fields = call.headers
    assert fields[CALL_ID_HEADER.lower()] == "call-1"
    assert fields["x-tenant"] == "team-one"
    assert fields["x-target-instance"].startswith("runner-")
    assert 0 < int(fields["x-deadline-ms"]) <= 2000
    assert "authorization" not in fields
    assert "accept-encoding" not in fields or "gzip" in fields["accept-encoding"]


@then('the runner received "{fields}"')
def check_received_fields(context, fields):
    (call,) = context.fleet.calls()
    for field in fields.split(", "):
        name, value = field.split(": ")
        assert call.headers.get(name) == value, call.headers


@then('the runner received no "{names}"')
def check_not_received(context, names):
    (call,) = context.fleet.calls()
    assert not set(names.split(", ")) & call.headers.keys(), call.headers


@then("the caller gets the events 1 to 6, each once and whole")
def check_stream(context):
    assert context.answer[0] == 200, context.answer
    assert context.answer[2] == WHOLE_STREAM, context.answer[2]


@then("the second runner received the id of the last event that the caller has")
def check_last_event_id(context):
    last = [call.headers.get("last-event-id") for call in context.fleet.calls()]
    assert sorted(last, key=str) == [str(EVENTS // 2 - 1), None], last


@then("the caller sees that the response is incomplete")
def check_incomplete(context):
    assert context.is_broken, context.answer


@when("the operator withdraws the key")
def withdraw_key(context):
    context.run(context.fleet.put_state(keys=("another",)))


@then("calls are refused with 401 within {limit_s:d} s")
def check_refused(context, limit_s):
    async def check():
        deadline_s = time.monotonic() + limit_s
        while (await context.fleet.call("idempotent"))[0] != 401:
            assert time.monotonic() < deadline_s, "calls with the key are still served"
            await asyncio.sleep(0.05)

    context.run(check())


@when("watches are deaf while the operator withdraws the key, and the history goes")
def withdraw_key_unwatched(context):
    async def act():
        store = context.fleet.store
        store.suspends_watches = True
        await context.fleet.put_state(keys=("another",))
        store.drop_history()
        store.suspends_watches = False

    context.run(act())


@when("a second node starts that the store turns away")
def start_rejected_node(context):
    async def act():
        # All loopback callers have one address; the first node already has its state.
        context.fleet.store.rejected_addresses.add("127.0.0.1")
        await context.fleet.start_node(1, wait=False)

    context.run(act())


@then("the second node serves calls within {limit_s:d} s")
def check_second_serves(context, limit_s):
    async def check():
        node = context.fleet.nodes[1]
        await asyncio.wait_for(node.io.view.ready.wait(), limit_s)
        return await context.fleet.call("idempotent", number=1)

    assert context.run(check())[0] == 200


@when("the node is handed an older state")
def apply_older_state(context):
    context.run(context.fleet.put_state())
    context.run(wait_until(lambda: version_in_force(context) == 2, 2))
    spec = {"version": 1, "routes": [], "services": [], "tenants": []}
    view = context.fleet.nodes[0].io.view

    async def act():
        view.apply_state(
            decode_state(msgspec.json.encode(spec), revision=1), source="peer"
        )

    context.run(act())


@then("the newer state stays in force")
def check_newer_state(context):
    assert version_in_force(context) == 2


async def count_addresses(context, number):
    url = context.fleet.url(number, 2, "/v1/resolve?name=shop.example")
    async with context.fleet.session.get(url) as response:
        return len((await response.json())["addresses"])


async def wait_for_addresses(context, number, count, limit_s):
    deadline_s = time.monotonic() + limit_s
    while await count_addresses(context, number) != count:
        assert time.monotonic() < deadline_s, await count_addresses(context, number)
        await asyncio.sleep(0.02)


@then("each node names {count:d} addresses within {limit_s:d} s")
def check_each_names(context, count, limit_s):
    for number in range(len(context.fleet.nodes)):
        context.run(wait_for_addresses(context, number, count, limit_s))


@when("the second node is told to stop")
def stop_second(context):
    async def act():
        context.fleet.nodes[1].request_stop()
        await asyncio.sleep(0.02)
        url = context.fleet.url(1, 1, "/v1/readyz")
        async with context.fleet.session.get(url) as response:
            context.ready_status = response.status

    context.run(act())


@then("the first node names {count:d} address within {limit_s:d} s")
def check_first_names(context, count, limit_s):
    context.run(wait_for_addresses(context, 0, count, limit_s))


@then("the second node says that it is not ready")
def check_not_ready(context):
    assert context.ready_status == 503


@when("a node starts while the store is silent")
def start_without_store(context):
    context.fleet.store.fault = StoreFault.SILENT
    context.run(context.fleet.start_node(0, wait=False))


@when("the node is told to stop in the middle of a stream")
def stop_in_stream(context):
    async def act():
        call = asyncio.ensure_future(context.fleet.call("streaming"))
        await asyncio.sleep(0.2)
        context.fleet.nodes[0].request_stop()
        return await call

    context.answer = context.run(act())


@then("the node ends within its time")
def check_ends(context):
    context.run(asyncio.wait_for(context.fleet.stop_tasks[0], 3))


@when("a call comes on an idle connection while a leaving node ends a stream")
def call_on_idle_connection(context):
    async def act():
        fleet = context.fleet
        # A separate connection that has been opened and has carried no call.
        reader, writer = await asyncio.open_connection("127.0.0.2", fleet.ports[0])
        stream = asyncio.ensure_future(fleet.call("streaming"))
        await asyncio.sleep(0.2)
        fleet.nodes[0].request_stop()
        await asyncio.sleep(0.2)
        head = (
            "GET /idempotent/x HTTP/1.1\r\nHost: shop.example\r\n"
            f"{CALL_ID_HEADER}: c\r\n\r\n"
        )
        writer.write(head.encode())
        try:
            context.first_bytes = await asyncio.wait_for(reader.read(100), 0.2)
        except ConnectionError:
            context.first_bytes = b""
        except TimeoutError:
            context.first_bytes = None
        writer.close()
        await stream

    context.run(act())


@then("the caller gets an answer or sees the connection closed at once")
def check_closed(context):
    assert context.first_bytes is not None, (
        "the node read the call but did not answer it"
    )


@when("the operator's state has {teams}")
def write_teams(context, teams):
    async def act():
        fleet = context.fleet
        fleet.version += 1
        state = make_state(fleet.version, *fleet.routes, keys=())
        if teams == "an empty list of teams":
            state["tenants"] = []
        elif teams == "no list of teams":
            del state["tenants"]
        await fleet.store.put("config", "main", state)
        view = fleet.nodes[0].io.view
        await wait_until(lambda: view.routes.state.version == fleet.version, 2)

    context.run(act())


@then(
    "a call with a key that was withdrawn gets {status:d}, and so does one that never"
    " was"
)
def check_keys(context, status):
    async def act():
        return [
            await context.fleet.call(
                "idempotent",
                call_id=f"call-{n}",
                headers={"Authorization": f"Token {key}"},
            )
            for n, key in enumerate((KEY, "never-issued"))
        ]

    statuses = [answer[0] for answer in context.run(act())]
    assert statuses == [status, status], statuses


@when("the store is away, the runner's entry lapses and the store returns")
def remove_entry_while_store_is_away(context):
    async def act():
        fleet = context.fleet
        fleet.store.fault = StoreFault.UNAVAILABLE
        lapses = asyncio.ensure_future(asyncio.sleep(LAPSE_AFTER_S))
        watcher = fleet.nodes[0].io.store_watcher
        await wait_until(lambda: "servers" in watcher._unreachable_kinds, 5)
        await lapses
        await fleet.store.remove("servers", "runner-0")
        fleet.store.fault = None
        await wait_until(lambda: not watcher._unreachable_kinds, 3)
        return await fleet.call("idempotent")

    context.answer = context.run(act())


@then("calls are still served")
def check_served(context):
    assert context.answer[0] == 200, context.answer


async def get_page(context, path):
    async with context.fleet.session.get(context.fleet.url(0, 3, path)) as response:
        return await response.text()


@then("the node's metrics count 1 request with status 200 and its calls to the store")
def check_metrics(context):
    page = context.run(get_page(context, "/metrics"))
    assert 'clementineyoke_requests_total{outcome="200"} 1' in page, page
    assert "clementineyoke_store_calls" in page


@then('the node explains the call "{call_id}" by its decisions')
def check_explained(context, call_id):
    page = context.run(get_page(context, f"/explain?id={call_id}"))
    assert '"routed"' in page and '"answered"' in page, page


@when('the same "{kind}" request is sent as "{first}" and as "{second}"')
def send_same(context, kind, first, second):
    context.call_ids = (first, second)
    for call_id in context.call_ids:
        with contextlib.suppress(aiohttp.ClientError):
            context.run(context.fleet.call(kind, call_id=call_id, data=b"the same"))


@then("both are explained as cut and not as answered, with the same digest")
def check_cut_explained(context):
    digests = set()
    for call_id in context.call_ids:
        page = context.run(get_page(context, f"/explain?id={call_id}"))
        decisions = msgspec.json.decode(page)["decisions"]
        events = [decision["event"] for decision in decisions]
        assert events == ["routed", "runner_failed", "answer_cut"], events
        digests.add(decisions[1]["fields"]["request_digest"])
    assert len(digests) == 1, digests


def get_watch_wait_ms(io):
    """Return how long a watch of the runners may take in a fleet of 60 watchers."""
    watcher = StoreWatcher(
        store=io.store,
        view=io.view,
        broadcaster=io.broadcaster,
        region="region",
        rng=Random(1),
        is_watcher=lambda: True,
        count_watchers=lambda: 60,
        registered=io.registration.registered,
        heartbeat_ms=1_200,
        apply_within_ms=2_000,
        evacuate_within_ms=None,
    )
    (runners,) = (f for f in watcher._followed if f.kind == "servers")
    return watcher._wait_ms(runners)


@then("with 60 nodes that watch a watch of the runners ends before three heartbeats")
def check_watch_wait(context):
    io = context.fleet.nodes[0].io
    assert get_watch_wait_ms(io) + WATCH_SLACK_MS < 3 * 1_200


@then("a watch of the runners ends when a lapsed entry's time of {time_ms:d} ms does")
def check_watch_ends(context, time_ms):
    view = context.fleet.nodes[0].io.view
    revision = view.runners_revision + 1
    lapsed = RunnerRemoval(context.fleet.runners[0].runner_id, revision, time_ms)
    changes = DirectoryChanges(revision - 1, revision, (), (lapsed,))
    view.apply_runner_changes(changes, source="peer")
    wait_ms = get_watch_wait_ms(context.fleet.nodes[0].io)
    assert time_ms - 100 < wait_ms <= time_ms + 1, wait_ms


@given("a settings file of a node")
def given_file(context):
    fleet = EdgeFleet()
    fleet.ports = [1, 2, 3, 4, 5]
    fleet.store_address = "127.0.0.1:6"
    config = fleet.config(0)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = Path(folder.name) / "node.json"
    context.file.write_bytes(msgspec.json.encode(config))
    context.applied = []
    context.settings = ConfigFile(
        path=str(context.file), config=config, on_change=context.applied.append
    )


def write_and_check(context, content):
    context.file.write_bytes(content)
    # File system timestamps are coarse: two writes may fall within one tick.
    os.utime(context.file, ns=(0, context.file.stat().st_mtime_ns + 1_000_000))
    context.run(context.settings.reload_if_modified())


@when("it is half written and the node looks at it")
def write_half(context):
    context.complete_file = context.file.read_bytes()
    write_and_check(context, context.complete_file[: len(context.complete_file) // 2])


@then("the node keeps its settings")
def check_not_applied(context):
    assert context.applied == []


@when("it names another seed and the node looks at it")
def write_other_seed(context):
    changed = msgspec.json.decode(context.complete_file)
    changed["seeds"] = ["127.0.0.9:4"]
    write_and_check(context, msgspec.json.encode(changed))


@then("the node takes the new seed")
def check_applied(context):
    (config,) = context.applied
    assert config.seeds == ["127.0.0.9:4"]


@when("a node starts while the file is half written, and the rest follows")
def start_half_written(context):
    complete_file = context.file.read_bytes()
    context.file.write_bytes(complete_file[: len(complete_file) // 2])
    writer = threading.Timer(0.05, context.file.write_bytes, (complete_file,))
    writer.start()
    context.started_with = load_config_with_retries(
        str(context.file), retry_pause_s=0.02
    )
    writer.join()


@then("it has its settings")
def check_config(context):
    assert context.started_with.node_id == "node-0"


@when("a node's process is told of changed settings while it starts")
def signal_at_start(context):
    # Simulates a slow import: the signal arrives while a module is being loaded.
    loading = (
        "import os, signal, sys, types\n"
        "from clementineyoke_node.console import edge\n"
        "class Slow:\n"
        "    def find_spec(self, name, path, target=None):\n"
        "        if name.endswith('edge_process'):\n"
        "            os.kill(os.getpid(), signal.SIGHUP)\n"
        "            print('goes on', flush=True)\n"
        "            sys.exit(0)\n"
        "sys.meta_path.insert(0, Slow())\n"
        "edge.main()\n"
    )
    context.started = subprocess.run(
        [sys.executable, "-c", loading], capture_output=True, check=False, timeout=60
    )


@then("it goes on to start")
def check_goes_on(context):
    assert context.started.returncode == 0, context.started
    assert context.started.stdout == b"goes on\n"


@when("a node's process is told of changed settings after its last answer")
def signal_at_end(context):
    # Simulates a node that has stopped serving: the signal arrives when the
    # interpreter destroys the last object at its exit.
    ending = (
        "import asyncio, os, signal\n"
        "from clementineyoke_node.console import edge_process\n"
        "async def serve(config, path, start):\n"
        "    loop = asyncio.get_running_loop()\n"
        "    loop.add_signal_handler(signal.SIGHUP, lambda: None)\n"
        "class Last:\n"
        "    kill, pid, number = os.kill, os.getpid(), signal.SIGHUP\n"
        "    def __del__(self):\n"
        "        Last.kill(Last.pid, Last.number)\n"
        "last = Last()\n"
        "last.itself = last\n"
        "edge_process._serve = serve\n"
        "from clementineyoke_node.console.early_start import EarlyStart\n"
        "edge_process.run(EarlyStart(addresses=[]))\n"
    )
    environment = {**os.environ, SETTINGS_FILE_VARIABLE: str(context.file)}
    context.ended = subprocess.run(
        [sys.executable, "-c", ending],
        capture_output=True,
        check=False,
        timeout=60,
        env=environment,
    )


@then("it ends in order")
def check_ends_in_order(context):
    assert context.ended.returncode == 0, context.ended


@then('{count:d} cuts are counted under "{cause}"')
def check_cuts(context, count, cause):
    metrics = context.fleet.nodes[0].state.metrics
    labels = {"pool": POOL, "cause": cause}
    assert metrics.answers_cut.get(labels) == count, metrics.answers_cut.values
