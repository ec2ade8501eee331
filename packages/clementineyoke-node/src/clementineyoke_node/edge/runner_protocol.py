"""An aiohttp client protocol that detects truncated and unrequested responses."""

from __future__ import annotations

import re
import time
from functools import partial
from typing import TYPE_CHECKING, Any

from clementineyoke_node.bounds.bounded_connector import make_bounded_connector
from clementineyoke_node.bounds.bounded_protocol import BoundedProtocol
from clementineyoke_node.bounds.tcp_state import read_tcp_state
from clementineyoke_node.edge.runner_connections import Address
from clementineyoke_node.platform.runner_codec import RECEIVER_FIELDS, has_call_id
from clementineyoke_node.runners.send_monitor import SendMonitor

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp import StreamReader, TCPConnector
    from aiohttp.http import RawResponseMessage

    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_node.edge.address_lifetimes import AddressLifetimes
    from clementineyoke_node.edge.runner_connections import RunnerConnections

MS_PER_S = 1000.0
MAX_IDLE_S = 4.0
"""Runners close idle connections after a time that they need not announce. A call that
is sent while its connection is being closed is lost, so idle connections are kept only
for a short time."""
KEEP_ALIVE_MARGIN_S = 0.2
"""Deducted from the idle timeout that a runner announces: a call takes time to reach
it."""
QUIET_S = 0.02
"""Time without bytes after which none that were sent earlier wait, here or at the
runner's host, if that could send them."""
RESET_WAIT_S = 0.05
"""How long a connection is kept after its runner's end, in which a reset is noticed."""
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout\s*=\s*(\d{1,6})\b", re.IGNORECASE)


class RunnerProtocol(BoundedProtocol):
    """Detects resets in responses without a length, and data that was not requested."""

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        byte_limits: ByteLimits,
        address_lifetimes: AddressLifetimes,
        connections: RunnerConnections,
    ) -> None:
        super().__init__(
            loop=loop, byte_limits=byte_limits, receiver_fields=RECEIVER_FIELDS
        )
        self._address_lifetimes = address_lifetimes
        self._connections = connections
        self._peer = Address("", 0)
        self.connected_s = 0.0
        """Time of the loop at which the connection was opened."""
        self.ended_s: float | None = None
        """When the end of the connection arrived; None while it is open."""
        self.max_end_delay_s = 0.0
        """How long before that it may have ended, as the node had stopped to read."""
        self._end_delay_s: float | None = None
        """For how long its end has waited in the system; None if that is unknown."""
        self.on_ended: Callable[[], None] = lambda: None
        """Called when the connection has ended."""
        self._end_arrived_s: float | None = None
        self._ended_transport: asyncio.Transport | None = None
        """The connection after the end of a response that ended with it."""
        self._was_ended_idle = False
        """Whether the runner had ended the connection when a call was to use it."""
        self._last_received_s = 0.0
        self._last_read_s = 0.0
        """When the last bytes had been handled; the loop's time is that of its turn."""
        self._unread_since_s: float | None = None
        """Since when bytes may wait unread in the system; None if none do."""
        self._had_room = False
        """Whether the runner's host could send when bytes were last handled."""
        self._max_idle_s = MAX_IDLE_S
        self._send_monitor: SendMonitor | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the peer's address and the time of the connection."""
        super().connection_made(transport)
        if self.transport is not None:
            # The system may count an earlier closed window against the next call.
            self._send_monitor = SendMonitor(
                loop=self._loop,
                transport=self.transport,
                on_lifted=self.force_close,
            )
        # The peer name is missing if the runner has already closed the connection.
        address, port = transport.get_extra_info("peername") or self._peer
        self._peer = Address(address, port)
        lifetime = self._address_lifetimes.lifetime_at(address, port)
        if lifetime:
            self._peer_name = f"{lifetime} at {self._peer_name}"
        self.connected_s = self._last_received_s = self._loop.time()

    def set_response_params(self, **params: Any) -> None:
        """Expect the response to a request that is about to be sent.

        Only now does the connection count as open: if its call is cancelled while it
        opens, uvloop closes it without a call of ``connection_lost``.
        """
        super().set_response_params(**params)
        if self.ended_s is None:
            self._connections.add(self._peer, self)
        if self._send_monitor is not None:
            self._send_monitor.start()

    def pause_reading(self) -> None:
        """Record since when bytes may wait unread."""
        if self._unread_since_s is None:
            self._unread_since_s = self._loop.time()
        self._had_room = False
        super().pause_reading()

    def data_received(self, data: bytes) -> None:
        """Record when the connection was last active."""
        if self._unread_since_s is not None:
            state = None if self.transport is None else read_tcp_state(self.transport)
            waited_s = 0.0 if state is None else state.since_data_ms / MS_PER_S
            # Empty data marks that reading goes on after a pause.
            if data and self._was_quiet_before(time.monotonic() - waited_s):
                self._unread_since_s = None
            self._had_room = state is not None and state.has_room
        self._last_received_s = self._loop.time()
        super().data_received(data)
        self._last_read_s = time.monotonic()

    def _was_quiet_before(self, arrived_s: float) -> bool:
        """Return whether nothing was sent for some time before a time.

        Bytes that arrive while the event loop is busy are read late, but not quiet.
        Without room for a segment, the runner's host waits for a timer of its own.
        """
        return self._had_room and arrived_s - self._last_read_s > QUIET_S

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Apply what the head says of the connection: its idle timeout, and its call.

        A late copy of a response without an id would pass for the answer to the next
        call, so that its connection is not used again.
        """
        if not has_call_id(data[0].headers):
            self.force_close()
        announced = _KEEP_ALIVE_TIMEOUT.search(data[0].headers.get("Keep-Alive", ""))
        if announced is not None:
            self._max_idle_s = min(MAX_IDLE_S, int(announced[1]) - KEEP_ALIVE_MARGIN_S)
        super().feed_data(data, size)

    def eof_received(self) -> bool:  # type: ignore[override]
        """Record for how long the end has waited for the event loop to read it.

        Returns whether this side stays open. It does so for a short time after a
        response that ends with the connection: a runner that closes its side with a
        part of the request unread resets the connection then.
        """
        self._record_arrival()
        super().eof_received()
        if self._end_fault or not self._ends_with_connection:
            return False
        self._loop.call_soon(self._end_response)
        return True

    def _end_response(self) -> None:
        """End the response, and close the connection later."""
        if self.transport is None:
            return  # The reader of the response has left, and closed the connection.
        self._ended_transport = self.transport
        self._loop.call_later(RESET_WAIT_S, self.transport.close)
        self.connection_lost(None)

    @property
    def was_reset_at_end(self) -> bool:
        """Whether the connection was reset after its end, as far as known by now."""
        if self._ended_transport is None:
            return False
        state = read_tcp_state(self._ended_transport)
        return state is not None and state.is_reset

    def _record_arrival(self) -> None:
        state = None if self.transport is None else read_tcp_state(self.transport)
        if state is not None:
            self._end_delay_s = state.since_received_ms / MS_PER_S
            self._end_arrived_s = time.monotonic() - self._end_delay_s

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection was cut, or ended with a response."""
        if self._ended_transport is not None and self.ended_s is not None:
            return  # It has been recorded at the end of the response.
        payload = self._payload
        is_own_end = self._refusal is not None or (
            self.transport is None and not self._was_ended_idle
        )
        had_ended = payload is None or payload.is_eof()
        was_idle = had_ended and not self._is_head_due
        if self._send_monitor is not None:
            self._send_monitor.stop()
        if self._ended_transport is not None:
            self.transport = None  # aiohttp would close it now.
        super().connection_lost(exc)
        is_body_end = not had_ended and payload is not None and payload.is_eof()
        ended_s = self._record_end()
        is_cut = not is_own_end and not is_body_end
        self._connections.remove(self._peer, self)
        if is_cut:
            self._connections.record_cut(self._peer, ended_s=ended_s, was_idle=was_idle)
        elif not is_own_end:
            self._connections.record_answer_end(self._peer, ended_s=ended_s)
        self.on_ended()

    def _record_end(self) -> float:
        """Record when the connection ended, and return that time."""
        now_s = self._loop.time()
        ended_s = now_s if self._end_arrived_s is None else self._end_arrived_s
        if self._unread_since_s is not None and not self._was_quiet_before(ended_s):
            # The caller's pace alone has delayed the end. It may have been held back
            # at the runner's host until there was room for what came before it.
            self.max_end_delay_s = now_s - self._unread_since_s
            ended_s = now_s
        self.ended_s = ended_s
        return ended_s

    @property
    def knows_end_arrival(self) -> bool:
        """Whether the system has told when the end arrived."""
        return self._end_arrived_s is not None

    @property
    def end_delay_s(self) -> float:
        """For how long its end has waited for the event loop, as far as known."""
        return self._end_delay_s or 0.0

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, and an end that has arrived would be known.

        An end that the event loop has not read yet counts.
        """
        return not self._reading_paused and self._is_established()

    def _is_established(self) -> bool:
        """Return whether no end has arrived, as far as the system tells."""
        if self.transport is None:
            return False
        state = read_tcp_state(self.transport)
        return state is None or state.is_established

    def is_connected(self) -> bool:
        """Return whether the connection may be used for another call.

        A runner may send a second, late response. If its connection were reused, the
        next call would read it, and one caller would get another caller's response.
        A call that is sent after the connection's end has arrived is lost.
        """
        has_unread_data = self._buffer or self._tail or self._exception is not None
        address, port = self._peer
        is_current = self._address_lifetimes.is_current(
            address, port, connected_s=self.connected_s
        )
        is_fresh = self._loop.time() < self._last_received_s + self._max_idle_s
        return (
            super().is_connected()
            and is_current
            and is_fresh
            and not has_unread_data
            and not self._has_ended_unread()
        )

    def _has_ended_unread(self) -> bool:
        """Return whether the runner has ended the idle connection, and note it.

        The node then closes the connection, and would take the end for its own.
        """
        if self._is_established():
            return False
        self._was_ended_idle = True
        self._record_arrival()
        return True


def make_connector(
    *,
    keeps_alive: bool,
    byte_limits: ByteLimits,
    address_lifetimes: AddressLifetimes,
    connections: RunnerConnections,
    connect_timeout_ms: float,
    local_address: tuple[str, int] | None = None,
) -> TCPConnector:
    """Return a connector to runners that keeps idle connections, or closes each one."""
    options: dict[str, Any] = (
        {"keepalive_timeout": MAX_IDLE_S} if keeps_alive else {"force_close": True}
    )
    return make_bounded_connector(
        byte_limits,
        protocol=partial(
            RunnerProtocol,
            address_lifetimes=address_lifetimes,
            connections=connections,
        ),
        connect_timeout_ms=connect_timeout_ms,
        local_addr=local_address,
        **options,
    )
