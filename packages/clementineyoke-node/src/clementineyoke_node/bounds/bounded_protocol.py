"""An aiohttp client protocol that ends responses which break the grammar or a bound."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler

from clementineyoke_node.bounds.byte_limit_error import ByteKind
from clementineyoke_node.bounds.tcp_state import read_tcp_state
from clementineyoke_wire.response_head import (
    HEAD_END,
    BodyEnd,
    HeadError,
    has_bare_line_feed,
    parse_head,
)

if TYPE_CHECKING:
    import asyncio

    from aiohttp import StreamReader

    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_wire.response_head import RawHead

MAX_HEADS_BYTES = 131_072
"""All heads of a response, informational ones included."""
MAX_FRAMING_BYTES = 65_536
"""Bytes of a body without any of its content: sizes of chunks, extensions, trailers."""


class BoundedProtocol(ResponseHandler):
    """Close the connection at once when a response breaks the grammar or a bound.

    aiohttp's parser accepts heads that break the grammar. It skips empty lines,
    informational heads and chunk extensions for as long as they come, and keeps what
    comes while there is no request.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        byte_limits: ByteLimits,
        receiver_fields: frozenset[str] = frozenset(),
    ) -> None:
        """Create a protocol; ``receiver_fields`` is described at ``parse_head``."""
        super().__init__(loop=loop)
        self._receiver_fields = receiver_fields
        self._byte_limits = byte_limits
        self._peer_name = "an unknown address"
        """What the other end is called in logs, also once the connection has ended."""
        self._refusal: ClientPayloadError | None = None
        self._is_head_due = False
        self._head = bytearray()
        """What has arrived of the head that is due."""
        self._final_head: RawHead | None = None
        """The head of the response that is being received."""
        self._end_fault = ""
        """Why the end of the connection is not that of a response; empty if it is."""
        self._heads_bytes = 0
        self._framing_bytes = 0
        self._content_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the address of the other end, which an ended connection lacks."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        if peer:
            self._peer_name = f"{peer[0]}:{peer[1]}"

    def set_response_params(self, **params: Any) -> None:
        """Expect the response to a request that is about to be sent."""
        self._is_head_due = True
        self._head.clear()
        self._final_head = None
        self._heads_bytes = self._framing_bytes = self._content_bytes = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Pass on the bytes of the response that is expected, within the bounds."""
        if not data:
            # Reading goes on after a pause, with what the parser has kept.
            super().data_received(data)
            return
        while data and self._is_head_due and not self._is_ended():
            data = self._pass_head(data)
        payload = self._payload
        if not data or self._is_ended():
            return
        if payload is None or payload.is_eof():
            self._refuse(ByteKind.UNREQUESTED, size_bytes=len(data))
            return
        super().data_received(data)
        if payload.is_eof() and self._is_ended():
            # What follows the whole response in the same bytes is none.
            self._refuse(ByteKind.UNREQUESTED, size_bytes=len(data))
        else:
            self._check_framing(payload, len(data))

    def close(self) -> None:
        """Close the connection, and fail a response that has not arrived as a whole.

        aiohttp leaves the reader of such a response without an error. One that ends
        with its connection even counts as complete.
        """
        payload = self._payload
        super().close()
        _fail_unfinished(payload, ClientPayloadError("this node closed the connection"))

    def abort(self) -> None:
        """Abort the connection, and fail an unfinished response like ``close``."""
        payload = self._payload
        super().abort()
        _fail_unfinished(payload, ClientPayloadError("this node closed the connection"))

    def eof_received(self) -> None:
        """Record whether the end of the connection may be that of a response."""
        self._end_fault = self._find_end_fault()
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that is not complete, or keep the reason of its refusal.

        aiohttp accepts any end of the connection as that of a response without a
        length: one that was truncated by a reset would pass as complete.
        """
        payload = self._payload
        fault = self._end_fault if exc is None else repr(exc)
        if fault:
            _fail_unfinished(
                payload, ClientPayloadError(f"the answer was cut: {fault}")
            )
        super().connection_lost(exc)
        if self._refusal is not None:
            _fail_unfinished(payload, self._refusal)
        elif payload is not None and payload.exception() is None:
            # The parser was paused when the connection ended.
            _fail_unfinished(payload, ClientPayloadError("the answer was cut"))

    @property
    def _ends_with_connection(self) -> bool:
        """Whether a response is being received that has no other end."""
        head, payload = self._final_head, self._payload
        if head is None or payload is None or payload.is_eof():
            return False
        return head.body_end is BodyEnd.CONNECTION

    def _find_end_fault(self) -> str:
        """Return why the peer has not ended a response by ending the connection.

        A failure may be meant for a request that the peer has not read to its end.
        """
        head, transport = self._final_head, self.transport
        if head is None or transport is None or not self._ends_with_connection:
            return ""
        state = read_tcp_state(transport)
        if state is not None and state.is_reset:
            return "the connection was reset after its end"
        pending_bytes = transport.get_write_buffer_size()
        has_undelivered = state is not None and state.has_undelivered
        if head.is_success and (pending_bytes or has_undelivered):
            return "a success before the request was delivered"
        return ""

    def _pass_head(self, data: bytes) -> bytes:
        """Pass on bytes up to the end of a head, and return the rest.

        The parser gets the end of a head only if the whole head follows the grammar. It
        drops a whole response if what follows it in the same bytes is none.
        """
        if not self._head:
            # The parser skips empty lines before a head as well, but one by one.
            begun = data.lstrip(HEAD_END)
            self._heads_bytes += len(data) - len(begun)
            data = begun
        known_bytes = len(self._head)
        self._head += data
        end = self._head.find(HEAD_END, max(0, known_bytes - len(HEAD_END)))
        if end >= 0:
            del self._head[end + len(HEAD_END) :]
        size_bytes = len(self._head) - known_bytes
        self._heads_bytes += size_bytes
        if self._heads_bytes > MAX_HEADS_BYTES:
            self._refuse(ByteKind.HEAD, size_bytes=self._heads_bytes)
            return b""
        try:
            self._check_head(known_bytes, is_whole=end >= 0)
        except HeadError as error:
            self._fail(self._byte_limits.refuse_head(error, peer=self._peer_name))
            return b""
        super().data_received(data[:size_bytes])
        return data[size_bytes:]

    def _check_head(self, known_bytes: int, *, is_whole: bool) -> None:
        """Raise ``HeadError`` if what has arrived of a head breaks the grammar.

        The parser itself refuses most of what is no head before that is whole.
        """
        if has_bare_line_feed(self._head, known_bytes):
            message = "a line of the head ends without a carriage return"
            raise HeadError(message)
        if not is_whole:
            return
        head = parse_head(
            bytes(self._head),
            answers_head_request=self._skip_payload,
            receiver_fields=self._receiver_fields,
        )
        self._head.clear()
        if head.is_final:
            self._is_head_due = False
            self._final_head = head

    def _refuse(self, kind: ByteKind, *, size_bytes: int) -> None:
        """Fail the response, as it exceeds a bound, and close the connection."""
        self._fail(
            self._byte_limits.refuse(kind, size_bytes=size_bytes, peer=self._peer_name)
        )

    def _fail(self, error: ClientPayloadError) -> None:
        """Fail the response, unless it is complete, and close the connection."""
        payload, transport = self._payload, self.transport
        self._refusal = error
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        if transport is not None:
            transport.abort()

    def _is_ended(self) -> bool:
        return self._exception is not None or self.transport is None

    def _check_framing(self, payload: StreamReader, size_bytes: int) -> None:
        if payload.is_eof() or self._reading_paused:
            return
        if payload.total_bytes > self._content_bytes:
            self._content_bytes, self._framing_bytes = payload.total_bytes, 0
            return
        self._framing_bytes += size_bytes
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._refuse(ByteKind.FRAMING, size_bytes=self._framing_bytes)


def _fail_unfinished(payload: StreamReader | None, error: Exception) -> None:
    if payload is not None and not payload.is_eof():
        payload.set_exception(error)
