"""Callers of the soak that resume broken streams at other nodes."""

from __future__ import annotations

import asyncio
import re
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.edge_runner import EVENTS
from clementineyoke_standins.soak.caller import DEADLINE_MS, call_headers
from clementineyoke_standins.soak.operator_state import RouteKind

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_standins.soak.loopback import Endpoint
    from clementineyoke_standins.soak.operator_state import OperatorState

TARGET = f"/{RouteKind.STREAM.value}/resumed"
MAX_TRIES = 4
MEAN_PAUSE_S = 0.05
STATUS_OK = 200
EVENT = re.compile(r"id: (\d+)\ndata: piece \d+\n: version (\S+)\n\n")


class StreamEvent(NamedTuple):
    """A complete event of a stream, with the version of the runner that sent it."""

    number: int
    version: str


class StreamTry(NamedTuple):
    """One request of a reader for a stream."""

    stream: str
    call_id: str
    node: int
    is_resumption: bool
    sent_s: float
    ended_s: float
    status: int | None
    """None if no response was received."""
    events: list[StreamEvent]
    is_whole: bool = False
    """Whether the stream ended like a complete one."""
    is_torn: bool = False
    """Whether other bytes came before a complete event."""


class StreamReader:
    """Read streams one after the other, each to its end or for a few tries."""

    def __init__(
        self,
        *,
        name: str,
        endpoints: list[Endpoint],
        state: OperatorState,
        rng: Random,
        max_tries: int = MAX_TRIES,
        retry_delay_s: float = 0.0,
    ) -> None:
        self._max_tries = max_tries
        self._retry_delay_s = retry_delay_s
        self._name = name
        self._endpoints = endpoints
        self._state = state
        self._rng = rng
        self._count = 0
        self.tries: list[StreamTry] = []

    async def run(self) -> None:
        """Read streams until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                self._count += 1
                await self._read_stream(session, f"{self._name}-{self._count}")
                await asyncio.sleep(self._rng.uniform(0.2, 1.8) * MEAN_PAUSE_S)

    async def _read_stream(self, session: aiohttp.ClientSession, stream: str) -> None:
        events: list[StreamEvent] = []
        began_as: str | None = None
        for number in range(self._max_tries):
            call_id = f"{stream}-{number}"
            sent_s = time.monotonic()
            node = self._rng.randrange(len(self._endpoints))
            fields = {}
            if began_as is not None:
                last_event = str(events[-1].number)
                fields = {names.LAST_EVENT: last_event, names.RESUMES: began_as}
            status, body, is_ended = await self._request(session, node, call_id, fields)
            text = body.decode()
            found = list(EVENT.finditer(text))
            received = [StreamEvent(int(event[1]), event[2]) for event in found]
            # A runner with a fault script may answer without a stream.
            is_stream = text != f"answer to {call_id}"
            is_whole = is_ended and status == STATUS_OK and is_stream
            is_torn = not text.startswith("".join(event[0] for event in found))
            self.tries.append(
                StreamTry(
                    stream,
                    call_id,
                    node,
                    began_as is not None,
                    sent_s,
                    time.monotonic(),
                    status,
                    received,
                    is_whole,
                    is_torn,
                )
            )
            events += received
            if received and began_as is None:
                began_as = call_id
            if is_whole or len(events) >= EVENTS:
                return
            await asyncio.sleep(self._retry_delay_s)

    async def _request(
        self,
        session: aiohttp.ClientSession,
        node: int,
        call_id: str,
        fields: dict[str, str],
    ) -> tuple[int | None, bytes, bool]:
        """Return status, body and whether the body ended like a complete one."""
        headers = call_headers(call_id, key=self._state.current_key) | fields
        url = f"http://{self._endpoints[node]}{TARGET}"
        status: int | None = None
        is_ended = False
        body = b""
        try:
            async with (
                asyncio.timeout(2 * DEADLINE_MS / 1000),
                session.post(url, headers=headers) as response,
            ):
                status = response.status
                async for chunk in response.content.iter_any():
                    body += chunk
                is_ended = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # the stream broke, or the node does not answer
        return status, body, is_ended
