"""A fake runner that answers a call before it has read the body of its request."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple, Self

from clementineyoke_standins.edge.edge_runner import ReceivedCall
from clementineyoke_standins.edge.raw_answers import encode_raw_head
from clementineyoke_standins.edge.source_filter import reset_when_closed

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

WINDOW_BYTES = 8_192
HEAD_END = b"\r\n\r\n"


class EarlyEnd(Enum):
    """How the connection ends after an early answer."""

    RESET = "reset"
    CLOSE = "close"
    """Closed while bytes of the request wait to be read, which resets it."""
    READ_HALF = "read half"
    """Half of the request is read before the reset."""
    FINISH = "finish"
    """The sending side ends in order, and the connection is reset later."""
    READ_ALL = "read all"
    """All of the request is read before the connection is closed in order."""


class EarlyAnswer(NamedTuple):
    """What follows the status and the identity of an early answer."""

    status: str
    fields: dict[str, str]
    body: bytes
    end: EarlyEnd
    delay_s: float
    """Time from the answer, or from the end of the sending side, to the reset."""


class EarlyRunner:
    """Listen with a small receive buffer, and answer each call at its head.

    ``answer`` returns the early answer to a call, or None for a runner that reads the
    whole request and gives ``sound_answer``.
    """

    def __init__(
        self,
        *,
        answer: Callable[[ReceivedCall], EarlyAnswer | None],
        sound_answer: Callable[[ReceivedCall], bytes],
        window_bytes: int | None = WINDOW_BYTES,
    ) -> None:
        """Create a runner; without ``window_bytes`` its buffer is the usual one."""
        self._answer = answer
        self._sound_answer = sound_answer
        self._window_bytes = window_bytes
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: socket.socket | None = None
        self.port = 0

    async def __aenter__(self) -> Self:
        """Listen on a free port."""
        self._listener = socket.socket()
        if self._window_bytes is not None:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._window_bytes
            )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._spawn(self._accept(self._listener))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and end all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._listener is not None:
            self._listener.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listener)
            connection.setblocking(False)
            self._spawn(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        """Answer the calls of a connection until one of the answers ends it."""
        with connection:
            try:
                while await self._serve_one(connection):
                    pass
            except (ConnectionError, EOFError):
                return  # the node has ended the connection

    async def _serve_one(self, connection: socket.socket) -> bool:
        """Answer a call, and return whether the connection is kept."""
        loop = asyncio.get_running_loop()
        head = b""
        while HEAD_END not in head:
            head += await _receive(connection, 1)
        call, length_bytes = _decode_call(head)
        answer = self._answer(call)
        if answer is None:
            await _receive_all(connection, length_bytes)
            await loop.sock_sendall(connection, self._sound_answer(call))
            return True
        if answer.end is EarlyEnd.READ_ALL:
            await _receive_all(connection, length_bytes)
        begin = encode_raw_head(call, answer.status, **answer.fields)
        await loop.sock_sendall(connection, begin + answer.body)
        await self._end(connection, answer, length_bytes)
        return False

    async def _end(
        self, connection: socket.socket, answer: EarlyAnswer, length_bytes: int
    ) -> None:
        if answer.end is EarlyEnd.FINISH:
            connection.shutdown(socket.SHUT_WR)
        if answer.end is EarlyEnd.READ_HALF:
            await _receive_all(connection, length_bytes // 2)
        await asyncio.sleep(answer.delay_s)
        if answer.end not in (EarlyEnd.CLOSE, EarlyEnd.READ_ALL):
            reset_when_closed(connection)


async def _receive(connection: socket.socket, max_bytes: int) -> bytes:
    part = await asyncio.get_running_loop().sock_recv(connection, max_bytes)
    if not part:
        raise EOFError
    return part


async def _receive_all(connection: socket.socket, size_bytes: int) -> None:
    while size_bytes > 0:
        size_bytes -= len(await _receive(connection, min(size_bytes, WINDOW_BYTES)))


def _decode_call(head: bytes) -> tuple[ReceivedCall, int]:
    """Return a call without its body, and the length of that."""
    request_line, *lines = head.decode().strip().split("\r\n")
    method, target, _ = request_line.split(" ")
    pairs = [line.partition(":") for line in lines]
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    length_bytes = int(fields.get("content-length", "0"))
    return ReceivedCall(method, target, fields, b""), length_bytes
