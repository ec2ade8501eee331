"""Sends calls to runners over pooled HTTP connections and validates the responses."""

from __future__ import annotations

import asyncio
import math
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, Self

import aiohttp
from yarl import URL

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_core.edge.idle_connection_policy import IdleConnectionPolicy
from clementineyoke_node.edge.address_lifetimes import AddressLifetimes
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.response_checks import check_call_id
from clementineyoke_node.edge.runner_connections import RunnerConnections
from clementineyoke_node.edge.runner_liveness import RunnerLiveness
from clementineyoke_node.edge.runner_protocol import RunnerProtocol, make_connector
from clementineyoke_node.edge.runner_response import OpenResponse
from clementineyoke_node.platform.runner_codec import (
    STATUS_MISDIRECTED,
    RoutingHeaders,
    decode_response_head,
    encode_call_headers,
)
from clementineyoke_node.timers.bounded_wait import settled_timeout
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence
    from types import SimpleNamespace

    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_core.runner import Runner
    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_node.edge.runner_signals import RunnerSignals
    from clementineyoke_node.edge.runner_timeout import RunnerTimeout
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
CONNECT_TIMEOUT_MS = 120
"""Runners accept a connection within 2 ms, those of another region within 45 ms. A call
with a latency objective of 500 ms can time out at an unreachable runner and still be
answered in time by the next one."""
MAX_HEAD_BYTES = 32_768
_SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""Headers that aiohttp adds by default: the runner gets only those of the caller."""


class GrantExpiredError(Exception):
    """Raised when the slot of a call expired before any byte of it was sent."""

    def __init__(self, *, late_ms: float) -> None:
        super().__init__(f"the slot expired {late_ms:.0f} ms before the call was sent")
        self.late_ms = late_ms


class ConnectionTrace:
    """Records whether a connection is reused, and stops a request that is late."""

    def __init__(
        self,
        *,
        timers: TimerService,
        send_before_ms: float,
        on_connected: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a record; ``on_connected`` is called for a new connection."""
        self._timers = timers
        self._send_before_ms = send_before_ms
        self.on_connected = on_connected
        self.is_reused = False
        """Whether the connection was kept alive after an earlier call."""

    def check_send(self) -> None:
        """Raise ``GrantExpiredError`` if the request may no longer be sent."""
        late_ms = self._timers.now_ms() - self._send_before_ms
        if late_ms > 0.0:
            raise GrantExpiredError(late_ms=late_ms)


class RunnerConnectionPool:
    """Owns the connections to runners, and sends calls on them."""

    def __init__(
        self,
        *,
        timers: TimerService,
        signals: RunnerSignals,
        metrics: Metrics,
        on_connected: Callable[[Runner], None],
        byte_limits: ByteLimits,
        source_address: str = "",
    ) -> None:
        """Create a pool.

        ``on_connected`` is called for each new connection that a call opens. Without
        ``source_address`` the system chooses one.
        """
        self._local_address = (source_address, 0) if source_address else None
        self._timers = timers
        self._signals = signals
        self._on_connected = on_connected
        self._metrics = metrics
        self._byte_limits = byte_limits
        self._idle_policy = IdleConnectionPolicy()
        self._address_lifetimes = AddressLifetimes()
        self._connections = RunnerConnections()
        self.on_probe: Callable[[], object] = lambda: None
        """Called when a runner's address has been tried, before that is judged."""
        self.liveness = RunnerLiveness(
            connections=self._connections, is_listening=self.is_listening
        )
        self._stack = AsyncExitStack()
        self._keepalive_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the sessions for kept-alive and for single-use connections."""
        self._keepalive_session = await self._stack.enter_async_context(
            self._make_session(keeps_alive=True)
        )
        self._single_use_session = await self._stack.enter_async_context(
            self._make_session(keeps_alive=False)
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all connections."""
        await self._stack.aclose()

    @asynccontextmanager
    async def send(
        self,
        runner: Runner,
        call: EdgeCall,
        routing: RoutingHeaders,
        *,
        runner_timeout: RunnerTimeout,
        may_repeat: bool,
        send_before_ms: float = math.inf,
    ) -> AsyncIterator[OpenResponse]:
        """Send a call and yield its response once the head has arrived.

        A call whose connection is not ready at ``send_before_ms`` is not sent, and none
        is sent once the pool has been closed.

        A connection whose response was not read to its end is closed, so that the rest
        can never be read as the response to another call. Raises ``AttemptError`` when
        there is no connection, no head within ``runner_timeout``, or the head belongs
        to another call.
        """
        self._address_lifetimes.record(
            runner.address,
            runner.port,
            lifetime=runner.lifetime,
            now_s=asyncio.get_running_loop().time(),
        )
        session = self._choose_session(runner, may_repeat=may_repeat)
        if session.closed:
            # Calls that lose their runners to the end of this node try another one.
            raise AttemptError(
                outcome=AttemptOutcome.NOT_SENT,
                step="send",
                peer=runner.runner_id,
                reason="this node ends",
                is_runner_fault=False,
            )
        response = await self._request(
            session,
            runner,
            call,
            routing,
            runner_timeout=runner_timeout,
            trace=ConnectionTrace(
                timers=self._timers,
                send_before_ms=send_before_ms,
                on_connected=partial(self._record_connected, runner),
            ),
        )
        is_complete = False
        protocol = response.connection and response.connection.protocol
        try:
            head = decode_response_head(
                response.status, response.headers, method=call.method
            )
            if head.status == STATUS_MISDIRECTED:
                self._metrics.calls_misdirected.inc({"pool": runner.pool})
            self._signals.apply(runner, call, head)
            check_call_id(call, head, peer=runner.runner_id)
            if not isinstance(protocol, RunnerProtocol):
                protocol = None
            with self.liveness.watch(runner, head, protocol) as end_check:
                yield OpenResponse(head, response, protocol, end_check)
            is_complete = response.content.at_eof()
        finally:
            if is_complete:
                response.release()
            else:
                response.close()

    async def is_listening(self, runner: Runner) -> bool:
        """Return whether a runner accepts connections, by opening one.

        Only a refused connection or a timeout counts as "not listening"; any other
        error leaves the runner's state open, and it is taken to be alive.
        """
        error = await self.try_connection(runner)
        self.on_probe()
        if error is None or isinstance(error, (ConnectionRefusedError, TimeoutError)):
            return error is None
        log_event(Event.RUNNER_UNSURE, runner=runner.runner_id, reason=repr(error))
        return True

    async def accepts_connection(self, runner: Runner) -> bool:
        """Return whether a connection to a runner can be opened now."""
        return await self.try_connection(runner) is None

    async def refuses_connection(self, runner: Runner) -> bool:
        """Return whether a runner's host refuses a connection now."""
        return isinstance(await self.try_connection(runner), ConnectionRefusedError)

    async def try_connection(self, runner: Runner) -> OSError | None:
        """Open and close a connection; return the error if that fails."""
        try:
            async with settled_timeout(CONNECT_TIMEOUT_MS):
                _, writer = await asyncio.open_connection(
                    runner.address, runner.port, local_addr=self._local_address
                )
        except OSError as error:
            return error
        writer.close()
        return None

    def _make_session(self, *, keeps_alive: bool) -> aiohttp.ClientSession:
        return make_session(
            keeps_alive=keeps_alive,
            byte_limits=self._byte_limits,
            address_lifetimes=self._address_lifetimes,
            connections=self._connections,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            local_address=self._local_address,
            trace_configs=[_make_trace_config()],
        )

    def _choose_session(
        self, runner: Runner, *, may_repeat: bool
    ) -> aiohttp.ClientSession:
        may_reuse = self._idle_policy.may_reuse(
            runner.pool, now_ms=self._timers.now_ms()
        )
        session = (
            self._keepalive_session
            if may_repeat or may_reuse
            else self._single_use_session
        )
        if session is None:
            message = "the runner connection pool is closed"
            raise RuntimeError(message)
        return session

    async def _request(
        self,
        session: aiohttp.ClientSession,
        runner: Runner,
        call: EdgeCall,
        routing: RoutingHeaders,
        *,
        runner_timeout: RunnerTimeout,
        trace: ConnectionTrace,
    ) -> aiohttp.ClientResponse:
        url = URL(f"http://{runner.address}:{runner.port}{call.target}", encoded=True)
        try:
            async with runner_timeout.enforce():
                return await session.request(
                    call.method,
                    url,
                    headers=encode_call_headers(call, routing),
                    data=call.body or None,
                    timeout=aiohttp.ClientTimeout(total=None),
                    allow_redirects=False,
                    trace_request_ctx=trace,
                )
        except GrantExpiredError as error:
            log_event(
                Event.GRANT_EXPIRED,
                request_id=call.call_id,
                runner=runner.runner_id,
                late_ms=round(error.late_ms),
            )
            raise AttemptError(
                outcome=AttemptOutcome.NOT_SENT,
                step="send",
                peer=runner.runner_id,
                reason=str(error),
                is_runner_fault=False,
            ) from error
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._metrics.runner_connections.inc(
                {"pool": runner.pool, "outcome": "failed"}
            )
            raise AttemptError(
                outcome=AttemptOutcome.NOT_SENT,
                step="connect",
                peer=runner.runner_id,
                reason=repr(error),
                is_refused=_is_refused(error),
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            if trace.is_reused and not isinstance(error, TimeoutError):
                self._record_idle_loss(runner, call)
            raise AttemptError.lost(
                error, step="read_head", peer=runner.runner_id
            ) from error

    def _record_connected(self, runner: Runner) -> None:
        self._on_connected(runner)
        self._metrics.runner_connections.inc({"pool": runner.pool, "outcome": "opened"})

    def _record_idle_loss(self, runner: Runner, call: EdgeCall) -> None:
        if self._idle_policy.record_loss(runner.pool, now_ms=self._timers.now_ms()):
            log_event(
                Event.IDLE_LOST,
                request_id=call.call_id,
                runner=runner.runner_id,
                pool=runner.pool,
            )


def _is_refused(error: Exception) -> bool:
    if not isinstance(error, aiohttp.ClientConnectorError):
        return False
    return isinstance(error.os_error, ConnectionRefusedError)


def make_session(
    *,
    keeps_alive: bool,
    byte_limits: ByteLimits,
    address_lifetimes: AddressLifetimes,
    connections: RunnerConnections,
    connect_timeout_ms: float,
    local_address: tuple[str, int] | None = None,
    trace_configs: Sequence[aiohttp.TraceConfig] = (),
) -> aiohttp.ClientSession:
    """Return a session that sends a call once and as it is, and adds no headers."""
    session = aiohttp.ClientSession(
        connector=make_connector(
            keeps_alive=keeps_alive,
            byte_limits=byte_limits,
            address_lifetimes=address_lifetimes,
            connections=connections,
            connect_timeout_ms=connect_timeout_ms,
            local_address=local_address,
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
        trace_configs=list(trace_configs),
    )
    # aiohttp retries idempotent HTTP methods when a kept-alive connection breaks: a
    # call that may not be repeated would run twice.
    session._retry_connection = False
    return session


def _make_trace_config() -> aiohttp.TraceConfig:
    async def record_reuse(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        context.trace_request_ctx.is_reused = True

    async def record_connected(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        context.trace_request_ctx.on_connected()

    async def check_send(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        # aiohttp calls this once it has a connection and before it writes to it, and
        # closes the connection on an error.
        context.trace_request_ctx.check_send()

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(record_reuse)
    trace.on_connection_create_end.append(record_connected)
    trace.on_request_headers_sent.append(check_send)
    return trace
