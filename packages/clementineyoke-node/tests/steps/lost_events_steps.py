from __future__ import annotations

import asyncio

from behave import given, then, when
from edge_fleet import POOL, make_route
from edge_steps import version_in_force, wait_until
from runner_restarts_steps import BORN_MS
from versions_steps import Reader

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.edge_runner import EVENTS, EVENTS_BEFORE_BREAK

APPLY_S = 2
LIST_S = 3
EVENT_PAUSE_S = 0.05
"""Pause after the first events, so that a node reads them alone."""
RESTART_MS = 1_000


@given("a stream may be sent to {runners:d} runners")
def set_max_runners(context, runners):
    route = make_route("streaming", runners=runners, resumable=True)
    context.run(context.fleet.put_state(route))
    version = context.fleet.version
    context.run(wait_until(lambda: version_in_force(context) == version, APPLY_S))


class ChangingEntries:
    """Breaks streams, and changes the entries of the runners that go on with them."""

    def __init__(self, fleet, *, entry, events, broken):
        self._fleet = fleet
        self._table = fleet.nodes[0].state.table
        self._entry = entry
        self._events = events
        self._broken = broken
        """Suffix of the ids of calls of which all runners break off."""
        self._changed = set()
        for runner in fleet.runners:
            runner.raw_answer = self._answerer(runner)

    def _answerer(self, runner):
        def answer(call):
            is_broken = self._broken and call.call_id.endswith(self._broken)
            last_event = int(call.headers.get(names.LAST_EVENT.lower(), 0))
            if is_broken or not last_event:
                return self._break_off(runner, call, last_event)
            if call.call_id in self._changed:
                return None
            self._changed.add(call.call_id)
            return self._go_on(runner, call, last_event)

        return answer

    async def _break_off(self, runner, call, last_event):
        yield runner._stream_head(call.call_id)
        for number in range(last_event + 1, EVENTS_BEFORE_BREAK + 1):
            yield runner._frame(runner._make_event(number))
        raise ConnectionResetError

    async def _go_on(self, runner, call, last_event):
        yield runner._stream_head(call.call_id)
        await self._change(runner)
        numbers = range(last_event + 1, EVENTS + 1)
        rest = [runner._make_event(number) for number in numbers]
        yield runner._frame(b"".join(rest[: self._events]))
        await asyncio.sleep(EVENT_PAUSE_S)
        yield runner._frame(b"".join(rest[self._events :]))
        yield b"0\r\n\r\n"

    async def _change(self, runner):
        runner_id, table = runner.runner_id, self._table
        if self._entry == "taken out":
            await self._fleet.store.remove("servers", runner_id)
            await wait_until(lambda: table.get(runner_id) is None, LIST_S)
        elif self._entry == "replaced":
            born_ms = table.get(runner_id).runner.born_ms + RESTART_MS
            await self._register(runner, born_ms)

    async def restore(self):
        # The broken streams of one caller must not keep runners from the next.
        self._table.release_quarantined(POOL)
        for runner in self._fleet.runners:
            if self._table.get(runner.runner_id) is None:
                await self._register(runner, BORN_MS)

    async def _register(self, runner, born_ms):
        await self._fleet.register_runner(runner, born_ms=born_ms)

        def is_listed():
            entry = self._table.get(runner.runner_id)
            return entry is not None and entry.runner.born_ms == born_ms

        await wait_until(is_listed, LIST_S)


@when(
    "{count:d} streams break, and the entry of the runner that goes on is {entry}"
    " before its first {events:d} events"
)
def break_streams(context, count, entry, events):
    read_one_by_one(context, count, entry, events, reads=1, broken="")


@when(
    "{count:d} callers take streams up after event 2, and the entry of the runner that"
    " goes on is {entry} before its first {events:d} events"
)
def take_streams_up(context, count, entry, events):
    read_one_by_one(context, count, entry, events, reads=2, broken="-0")


def read_one_by_one(context, count, entry, events, *, reads, broken):
    fleet = context.fleet
    entries = ChangingEntries(fleet, entry=entry, events=events, broken=broken)
    context.readers = [Reader(fleet, f"stream-{n}") for n in range(count)]
    context.runs = 1 if entry == "left unchanged" else 2

    async def act():
        for reader in context.readers:
            for _ in range(reads):
                await reader.read(0)
            await entries.restore()

    context.run(act())


@then("each caller gets all events, each once")
def check_events(context):
    lost = [r.events for r in context.readers if not r.is_complete]
    assert not lost, f"{len(lost)} of {len(context.readers)}: {lost}"


@then(
    "all runners that go on are asked for what follows event {number:d}, also after a"
    " refusal"
)
def check_positions(context, number):
    header = names.LAST_EVENT.lower()
    calls = [call for call in context.fleet.calls() if header in call.headers]
    for reader in context.readers:
        call_id = reader.tries[-1].call_id
        asked = [c.headers[header] for c in calls if c.call_id == call_id]
        assert asked == [str(number)] * context.runs, (call_id, asked)


@then("{count:d} streams are counted as resumed")
def check_resumed_count(context, count):
    counter = context.fleet.nodes[0].state.metrics.streams_resumed
    assert sum(value for _, value in counter.get_all()) == count, counter.get_all()
