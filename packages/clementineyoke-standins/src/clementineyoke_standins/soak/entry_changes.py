"""Changes of runners' entries between the heads of streams and their first events."""

from __future__ import annotations

import asyncio
import math
import time
from functools import partial
from typing import TYPE_CHECKING, Self

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.edge_runner import EVENTS
from clementineyoke_standins.soak.stream_reader import TARGET

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from clementineyoke_standins.edge.edge_runner import EdgeRunner, ReceivedCall
    from clementineyoke_standins.soak.soak_fleet import SoakFleet

INTERVAL_S = 0.5
NOTICE_S = 0.2
"""Time in which nodes learn of a changed entry."""
EVENT_PAUSE_S = 0.03
MS_PER_S = 1000.0


class EntryChanges:
    """Give runners that go on with a stream an entry of a later start, once it began.

    A node may then refuse the runner after it has read the first events.
    """

    def __init__(self, *, fleet: SoakFleet, is_active: bool) -> None:
        self._fleet = fleet
        self._due_s = time.monotonic() if is_active else math.inf

    def __enter__(self) -> Self:
        """Begin to change entries."""
        for runner in self._fleet.runners:
            runner.raw_answer = partial(self._answer, runner)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Change no more entries; what has begun goes on."""
        self._due_s = math.inf

    def _answer(
        self, runner: EdgeRunner, call: ReceivedCall
    ) -> AsyncIterator[bytes] | None:
        last_event = call.headers.get(names.LAST_EVENT.lower())
        if last_event is None or not call.target.startswith(TARGET):
            return None
        now_s = time.monotonic()
        if now_s < self._due_s or self._fleet.is_leaving(runner):
            return None
        self._due_s = now_s + INTERVAL_S
        return self._go_on(runner, call, int(last_event) + 1)

    async def _go_on(
        self, runner: EdgeRunner, call: ReceivedCall, first_event: int
    ) -> AsyncIterator[bytes]:
        yield runner._stream_head(call.call_id)
        # All but this stream is that of a restarted runner, also for the audit.
        runner.crash_times_s.append(time.monotonic())
        runner.cold_until_s = 0.0
        link = self._fleet.runner_links[self._fleet.runners.index(runner)]
        born_ms = round(time.time() * MS_PER_S)
        await self._fleet.state.write_entry(runner, link.listen, born_ms=born_ms)
        await asyncio.sleep(NOTICE_S)
        for number in range(first_event, EVENTS + 1):
            yield runner._frame(runner._make_event(number))
            await asyncio.sleep(EVENT_PAUSE_S)
        if not runner.frames_streams:
            raise ConnectionResetError  # the stand-in closes the connection
        yield b"0\r\n\r\n"
