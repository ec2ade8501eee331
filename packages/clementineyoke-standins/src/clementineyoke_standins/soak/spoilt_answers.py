"""Answers of a faulty runner: truncated, twice, or with the id of another call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.edge_runner import EVENTS, PROOF

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from random import Random

    from clementineyoke_standins.edge.edge_runner import EdgeRunner, ReceivedCall

SPOILT_ANSWERS = 6
"""Answers that are spoilt after each signal."""
LATE_S = 0.02
EVENT_PAUSE_S = 0.03
NO_ANSWER = b"\x00\x17 no answer\r\n\r\n"


class SpoiltAnswers:
    """Spoil the next answers of a runner on request.

    Answers are truncated, are none, come twice or follow that of another call. Their
    heads and their frames show it.
    """

    def __init__(self, *, runner: EdgeRunner, rng: Random) -> None:
        self._runner = runner
        self._rng = rng
        self._left = 0
        runner.raw_answer = self._answer

    def begin(self) -> None:
        """Spoil the next answers."""
        self._left = SPOILT_ANSWERS

    def _answer(self, call: ReceivedCall) -> AsyncIterator[bytes] | None:
        if not self._left:
            return None
        self._left -= 1
        ways = (
            self._send_twice,
            self._send_other_first,
            self._cut,
            self._send_no_answer,
        )
        return self._rng.choice(ways)(call)

    async def _send_twice(self, call: ReceivedCall) -> AsyncIterator[bytes]:
        """Send the answer again, late, where the next one is expected."""
        for part in self._parts(call, call.call_id):
            yield part
            await asyncio.sleep(EVENT_PAUSE_S)
        await asyncio.sleep(self._rng.choice((0.0, LATE_S)))
        for part in self._parts(call, call.call_id):
            yield part

    async def _send_other_first(self, call: ReceivedCall) -> AsyncIterator[bytes]:
        """Send an answer with the id of another call before the answer."""
        for part in self._parts(call, "another-call"):
            yield part
        for part in self._parts(call, call.call_id):
            yield part

    async def _cut(self, call: ReceivedCall) -> AsyncIterator[bytes]:
        """Send a part of the answer and close the connection in order."""
        parts = self._parts(call, call.call_id)
        for part in parts[: self._rng.randrange(1, len(parts))]:
            yield part
            await asyncio.sleep(EVENT_PAUSE_S)
        yield parts[-1][:1]
        raise ConnectionResetError  # the stand-in closes the connection

    async def _send_no_answer(self, call: ReceivedCall) -> AsyncIterator[bytes]:
        """Send other bytes, in place of the answer or after it."""
        if self._rng.random() < 0.5:
            for part in self._parts(call, call.call_id):
                yield part
        yield NO_ANSWER

    def _parts(self, call: ReceivedCall, call_id: str) -> list[bytes]:
        head = {names.CALL_ID: call_id, names.SERVER_SIGNATURE: PROOF}
        if not call.target.startswith("/streaming/"):
            body = f"answer to {call.call_id}".encode()
            head["Content-Length"] = str(len(body))
            return [_encode_head(head), body[:6], body[6:]]
        head |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        first = int(call.headers.get(names.LAST_EVENT.lower(), "0")) + 1
        tail = f": version {self._runner.version}\n\n"
        events = [f"id: {n}\ndata: piece {n}\n" for n in range(first, EVENTS + 1)]
        chunks = [_encode_chunk(f"{event}{tail}".encode()) for event in events]
        return [_encode_head(head), *chunks, _encode_chunk(b"")]


def _encode_head(fields: dict[str, str]) -> bytes:
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {fields[name]}" for name in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _encode_chunk(body: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(body), body)
