from __future__ import annotations

import asyncio
import contextlib
import json
from functools import partial

from behave import given, then, when
from edge_fleet import POOL, STORE_HOST
from edge_steps import wait_until
from hypothesis import given as drawn, settings, strategies as st

from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_node.platform.entry_codec import decode_node, decode_runner
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.state_decoder import decode_state
from clementineyoke_node.platform.store_page import (
    StoredEntry,
    decode_events,
    decode_page,
)
from clementineyoke_node.platform.stream_codec import decode_streams
from clementineyoke_standins.edge.written_specs import runner_spec

RESTARTED_MS = 1_790_000_000_000
GOOD = runner_spec(pool=POOL, address="127.0.0.1:9", zone="zone", state="ready")
INVALID_SPECS = {
    "no state": {k: v for k, v in GOOD.items() if k != "state"},
    "an unknown state": {**GOOD, "state": "resting"},
    "a number as its address": {**GOOD, "address": 7},
    "an address without an IP": {**GOOD, "address": "somewhere:80"},
    "a port out of range": {**GOOD, "address": "127.0.0.1:70000"},
    "an underscore in its port": {**GOOD, "address": "127.0.0.1:80_0"},
    "a sign before its port": {**GOOD, "address": "127.0.0.1:+800"},
    "a space before its port": {**GOOD, "address": "127.0.0.1: 800"},
    "a line end after its port": {**GOOD, "address": "127.0.0.1:800\n"},
    "wide digits as its port": {**GOOD, "address": "127.0.0.1:\uff18\uff10"},
    "a port of 5000 digits": {**GOOD, "address": "127.0.0.1:" + "0" * 4_998 + "80"},
    "a string as its slots": {**GOOD, "slots": "8"},
    "no service": {k: v for k, v in GOOD.items() if k != "service"},
    "a string as its start time": {**GOOD, "born": "1790000000000"},
    "a fraction as its start time": {**GOOD, "born": 1.5},
    "no sequence": {k: v for k, v in GOOD.items() if k != "seq"},
    "a list instead of an object": [1, 2],
}
INVALID_OBJECTS = {
    "no metadata": {"spec": GOOD},
    "a number as its name": {"metadata": {"name": 5, "revision": 1}, "spec": GOOD},
    "a string as its revision": {
        "metadata": {"name": "x", "revision": "1"},
        "spec": GOOD,
    },
}


def item(name, spec):
    return json.dumps({"metadata": {"name": name, "revision": 3}, "spec": spec})


def page(*items):
    return f'{{"items":[{",".join(items)}],"more":false,"storeRevision":9}}'


def decoded(content):
    found = {}
    for entry in decode_page(content).entries:
        try:
            found[entry.name] = decode_runner(entry, region="region")
        except FormatError as error:
            found[entry.name] = error
    return found


@when("a page has a valid entry and one with {fault}")
def decode_page_with_invalid_entry(context, fault):
    if fault == "bytes that are not text":
        bad = item("bad", {**GOOD, "zone": "ZONE"}).encode()
        bad = bad.replace(b"ZONE", b"\xff\xfe")
    else:
        bad = item("bad", INVALID_SPECS[fault]).encode()
    content = page("BAD", item("good", GOOD)).encode().replace(b"BAD", bad)
    context.found = decoded(content)


@when("a page has a valid entry and one that is not strict JSON")
def decode_page_with_nan(context):
    bad = item("bad", {**GOOD, "seq": 0}).replace('"seq": 0', '"seq": NaN')
    context.found = decoded(page(bad, item("good", GOOD)).encode())


@then("the valid entry describes a runner, and the other one is rejected")
def check_found(context):
    assert isinstance(context.found["good"], RunnerRecord), context.found
    assert isinstance(context.found["bad"], FormatError), context.found


@when("a page has a valid entry and an object with {fault}")
def decode_page_with_invalid_object(context, fault):
    content = page(json.dumps(INVALID_OBJECTS[fault]), item("good", GOOD))
    context.page = decode_page(content.encode())


@then("the page has the valid entry and {count:d} unreadable object")
def check_page(context, count):
    assert [entry.name for entry in context.page.entries] == ["good"]
    assert context.page.unreadable_count == count


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [*GOOD, "born", "metadata", "routes", "tenants", "version"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@then("no input makes a decoder raise any error but the one it declares")
def fuzz_decoders(context):
    @settings(max_examples=300, database=None, derandomize=True, deadline=None)
    @drawn(content=st.binary(max_size=64) | JSON_VALUES.map(to_json))
    def check(content):
        entry = StoredEntry("name", 1, content)
        for decode in (
            lambda: decode_page(content),
            lambda: decode_events(content),
            lambda: decode_runner(entry, region="region"),
            lambda: decode_node(entry),
            lambda: decode_state(content, revision=1),
        ):
            try:
                decode()
            except FormatError:
                continue

    check()


def to_json(value):
    return json.dumps(value).encode()


@then("no object next to a valid entry hides it")
def fuzz_neighbours(context):
    @settings(max_examples=300, database=None, derandomize=True, deadline=None)
    @drawn(value=JSON_VALUES)
    def check(value):
        bad = item("bad", value)
        content = page(bad, json.dumps(value), item("good", GOOD)).encode()
        assert isinstance(decoded(content)["good"], RunnerRecord)

    check()


@when("another writer replaces the address of runner {number:d} with a number")
def invalidate_address(context, number):
    runner = context.fleet.runners[number]
    spec = {**GOOD, "address": 7}
    context.run(context.fleet.store.put("servers", runner.runner_id, spec))


@when("runner {number:d} registers again")
def register_again(context, number):
    context.run(context.fleet.register_runner(context.fleet.runners[number]))


async def wait_known(context, count, limit):
    table = context.fleet.nodes[0].state.table
    await wait_until(lambda: len(table.entries()) == count, limit)


@then("the node knows {count:d} runner within {limit:d} s, and calls are still served")
def check_known_and_served(context, count, limit):
    context.run(wait_known(context, count, limit))
    status, _, _ = context.run(context.fleet.call("idempotent"))
    assert status == 200


@then("the node knows {count:d} runners within {limit:d} s")
def check_known(context, count, limit):
    context.run(wait_known(context, count, limit))


@given("runner {number:d} resets calls on idle connections")
def reset_idle_connections(context, number):
    context.fleet.runners[number].resets_idle_connections = True


@when("runner {number:d} restarts under its id")
def restart_runner(context, number):
    async def act():
        runner = context.fleet.runners[number]
        spec = runner_spec(
            pool=POOL,
            address=f"{STORE_HOST}:{runner.port}",
            zone="zone",
            state="ready",
            born_ms=RESTARTED_MS,
            version=runner.version,
        )
        await context.fleet.store.put("servers", runner.runner_id, spec)
        table = context.fleet.nodes[0].state.table
        await wait_until(lambda: table.get(runner.runner_id).runner.born_ms > 0, 2)
        await asyncio.sleep(0.05)

    context.run(act())


@then("the caller gets 200 on a connection of the new lifetime")
def check_new_connection(context):
    assert context.answer[0] == 200, context.answer


NESTED = "[" * 3_000 + "]" * 3_000
MEGABYTE = "[" * 500_000 + "]" * 500_000
REJECTED_ITEMS = {
    "half of a surrogate pair": item("bad", {**GOOD, "zone": "\ud800"}),
    "such a half as its name": item("\udc00", GOOD),
    "3000 levels of nesting": item("bad", "DEEP").replace('"DEEP"', NESTED),
    "3000 levels in an unused text": item("bad", {**GOOD, "note": NESTED + "\ud800"}),
    "3000 levels around its name": item(["NAME"], GOOD).replace('"NAME"', NESTED),
    "a number of 5000 digits": item("bad", "BIG").replace('"BIG"', "7" * 5_000),
    "a number that is none": item("bad", "BIG").replace('"BIG"', "NaN" + "7" * 5_000),
    "its state twice": item("bad", GOOD).replace("}}", ', "state": "draining"}}'),
    "a megabyte of nesting": item("bad", "DEEP").replace('"DEEP"', MEGABYTE),
    "a megabyte of broken text": item("bad", "x" * 1_000_000 + "\ud800"),
}


@when("a page and a watch have a valid entry and one with {fault}")
def decode_rejected(context, fault):
    bad, good = REJECTED_ITEMS[fault], item("good", GOOD)
    context.page = decode_page(page(bad, good).encode())
    events = ",".join(f'{{"object":{entry},"deleted":false}}' for entry in (bad, good))
    context.changes = decode_events(
        f'{{"storeRevision":9,"events":[{events}]}}'.encode()
    )


@then("both have the valid entry, and {count:d} unreadable object")
def check_both(context, count):
    assert context.page.revision == context.changes.revision == 9
    assert context.page.unreadable_count == context.changes.unreadable_count == count
    entries = [context.page.entries[-1], context.changes.changes[-1].entry]
    for entry in entries:
        assert decode_runner(entry, region="region").runner.runner_id == "good", entry


@then('both refuse the runner "{name}" by its name')
def check_refused(context, name):
    for entry in (context.page.entries[0], context.changes.changes[0].entry):
        assert entry.name == name, entry
        try:
            decode_runner(entry, region="region")
        except FormatError:
            continue
        raise AssertionError(entry)


def at_depth(depth, act):
    return act() if depth == 0 else at_depth(depth - 1, act)


@then(
    "entries with {least:d} to {most:d} levels of nesting are read or refused at each"
    " depth of the stack"
)
def check_depths(context, least, most):
    for levels in range(least, most + 1):
        nested = "[" * levels + "]" * levels
        for spec in ("DEEP", {**GOOD, "note": "DEEP"}):
            bad = item("bad", spec).replace('"DEEP"', nested)
            for entry in decode_page(page(bad, item("good", GOOD)).encode()).entries:
                decoders = (
                    partial(decode_runner, entry, region="region"),
                    partial(decode_node, entry),
                    partial(decode_state, entry.spec, revision=1),
                )
                for decode in decoders:
                    with contextlib.suppress(FormatError):
                        at_depth(60, decode)


@when("a page of one object with a megabyte of nesting has a next page")
def decode_full_page(context):
    content = page(REJECTED_ITEMS["a megabyte of nesting"])
    context.page = decode_page(content.replace("false", "true").encode())


@then("the list goes on after that object")
def check_goes_on(context):
    assert context.page.has_more
    assert context.page.last_name == "bad"


@when("another writer replaces the entry of runner {number:d} by one with {fault}")
def replace_entry(context, number, fault):
    spec = "7" * 5_000 if "digits" in fault else "[" * 4_000 + "]" * 4_000
    store, runner = context.fleet.store, context.fleet.runners[number]
    context.run(store.put_raw("servers", runner.runner_id, spec))


@when("another writer adds an entry with half of a surrogate pair")
def add_rejected(context):
    spec = {**GOOD, "service": "\ud800"}
    context.run(context.fleet.store.put("servers", "foreign", spec))


@when("runner 0 leaves")
def leave(context):
    runner = context.fleet.runners[0]
    context.run(context.fleet.register_runner(runner, state="draining"))


@then("the node knows {count:d} runner that takes calls within {limit_s:d} s")
def check_ready_count(context, count, limit_s):
    table = context.fleet.nodes[0].state.table
    ids = [runner.runner_id for runner in context.fleet.runners]
    context.run(wait_until(lambda: sum(map(table.is_ready, ids)) == count, limit_s))


@when("a second node starts and reads the store")
def start_second(context):
    context.run(context.fleet.nodes[0].__aexit__(None, None, None))
    context.fleet.nodes.clear()
    context.run(context.fleet.start_node(1, wait=False))


@then("it serves calls within {limit_s:d} s")
def check_serves(context, limit_s):
    async def act():
        (node,) = context.fleet.nodes
        await asyncio.wait_for(node.io.view.ready.wait(), limit_s)
        return await context.fleet.call("idempotent", number=1)

    assert context.run(act())[0] == 200


OWN_SPECS = {
    "a stream's key out of range": {"streams": [["1" + "0" * 16, "1", "v1"]]},
    "a stream's key below 0": {"streams": [["-1", "1", "v1"]]},
    "a pool out of range": {"streams": [["1", "f" * 17, "v1"]]},
    "an underscore in a stream's key": {"streams": [["1_0", "1", "v1"]]},
    "a stream of two fields": {"streams": [["1", "1"]]},
}


@when("the object of a node's streams has {fault}")
def decode_odd_streams(context, fault):
    entry = StoredEntry("node", 1, to_json(OWN_SPECS[fault]))
    context.error = None
    try:
        decode_streams(entry)
    except FormatError as error:
        context.error = error


@then("it is refused by its name")
def check_refused_name(context):
    assert context.error is not None
    assert context.error.peer == "node", context.error
