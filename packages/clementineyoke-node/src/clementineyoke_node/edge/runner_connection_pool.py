"""Exchanges with runners: one call on one connection, and what its answer proves."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Self

import aiohttp
from yarl import URL

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_core.edge.idle_connection_policy import IdleConnectionPolicy
from clementineyoke_node.edge.address_lifetimes import AddressLifetimes
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.response_checks import check_echo
from clementineyoke_node.edge.runner_protocol import make_connector
from clementineyoke_node.edge.runner_response import OpenAnswer
from clementineyoke_node.platform.runner_codec import (
    RunnerOrder,
    decode_head,
    encode_order,
)
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from types import SimpleNamespace

    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_core.runner import Runner
    from clementineyoke_node.edge.runner_signals import RunnerSignals
    from clementineyoke_node.edge.runner_timeout import RunnerWait
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
CONNECT_TIMEOUT_MS = 120
"""A runner takes a connection within 2 ms, another region's within 45; a dark one never
does. A call that is to be answered within 500 ms can meet a dark runner and still be in
time at the next."""
LARGEST_HEAD_BYTES = 32_768
_OWN_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""What aiohttp would add by itself: the runner gets the caller's headers only."""


class ConnectionUse:
    """What one exchange learns of its connection."""

    def __init__(self) -> None:
        self.has_rested = False
        """Whether the connection had carried another call before and was kept."""


class RunnerConnectionPool:
    """Own the connections to runners."""

    def __init__(self, *, timers: TimerService, signals: RunnerSignals) -> None:
        self._timers = timers
        self._signals = signals
        self._trust = IdleConnectionPolicy()
        self._tenure = AddressLifetimes()
        self._stack = AsyncExitStack()
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the pool of kept connections, and the way to make new ones."""
        self._kept = await self._stack.enter_async_context(
            _make_session(is_kept=True, tenure=self._tenure)
        )
        self._fresh = await self._stack.enter_async_context(
            _make_session(is_kept=False, tenure=self._tenure)
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all connections."""
        await self._stack.aclose()

    @asynccontextmanager
    async def open(
        self,
        runner: Runner,
        call: EdgeCall,
        order: RunnerOrder,
        *,
        wait: RunnerWait,
        may_repeat: bool,
    ) -> AsyncIterator[OpenAnswer]:
        """Send a call and yield its answer's head; raises ``AttemptError``.

        A connection whose answer was not read to its end is closed, so that the rest
        can never meet another call.
        """
        self._tenure.record(
            runner.address,
            runner.port,
            lifetime=runner.lifetime,
            now_s=asyncio.get_running_loop().time(),
        )
        session = self._session_for(runner, may_repeat=may_repeat)
        response = await self._send(session, runner, call, order, wait=wait)
        is_whole = False
        try:
            head = decode_head(response.status, response.headers)
            self._signals.observe(runner, call, head)
            check_echo(runner, call, head)
            yield OpenAnswer(head, response)
            is_whole = response.content.at_eof()
        finally:
            if is_whole:
                response.release()
            else:
                response.close()

    async def is_listening(self, runner: Runner) -> bool:
        """Whether a runner takes connections, by trying one.

        Whatever does not say that nobody is there counts as a runner that lives.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
                _, writer = await asyncio.open_connection(runner.address, runner.port)
        except (ConnectionRefusedError, TimeoutError):
            return False
        except OSError as error:
            log_event(Event.RUNNER_UNSURE, runner=runner.runner_id, reason=repr(error))
            return True
        writer.close()
        return True

    def _session_for(
        self, runner: Runner, *, may_repeat: bool
    ) -> aiohttp.ClientSession:
        is_trusted = self._trust.may_reuse(runner.pool, now_ms=self._timers.now_ms())
        session = self._kept if may_repeat or is_trusted else self._fresh
        if session is None:
            message = "the runner link is closed"
            raise RuntimeError(message)
        return session

    async def _send(
        self,
        session: aiohttp.ClientSession,
        runner: Runner,
        call: EdgeCall,
        order: RunnerOrder,
        *,
        wait: RunnerWait,
    ) -> aiohttp.ClientResponse:
        use = ConnectionUse()
        url = URL(f"http://{runner.address}:{runner.port}{call.target}", encoded=True)
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_MS / MS_PER_S,
        )
        try:
            async with wait.bounded():
                return await session.request(
                    call.method,
                    url,
                    headers=encode_order(call, order),
                    data=call.body or None,
                    timeout=timeout,
                    allow_redirects=False,
                    trace_request_ctx=use,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise AttemptError(
                end=AttemptOutcome.NOT_SENT,
                step="connect",
                peer=runner.runner_id,
                reason=repr(error),
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            is_break = not isinstance(error, TimeoutError)
            if use.has_rested and is_break:
                self._note_idle_loss(runner, call)
            raise AttemptError(
                end=AttemptOutcome.LOST,
                step="read_head",
                peer=runner.runner_id,
                reason=repr(error),
                is_break=is_break,
            ) from error

    def _note_idle_loss(self, runner: Runner, call: EdgeCall) -> None:
        if self._trust.record_loss(runner.pool, now_ms=self._timers.now_ms()):
            log_event(
                Event.IDLE_LOST,
                request_id=call.call_id,
                runner=runner.runner_id,
                pool=runner.pool,
            )


def _make_session(*, is_kept: bool, tenure: AddressLifetimes) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=make_connector(
            asyncio.get_running_loop(), is_kept=is_kept, tenure=tenure
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_OWN_HEADERS,
        max_line_size=LARGEST_HEAD_BYTES,
        max_field_size=LARGEST_HEAD_BYTES,
        trace_configs=[_trace_use()],
    )
    # aiohttp sends some methods a second time by itself when a kept connection
    # breaks: a call that may not be repeated would run twice.
    session._retry_connection = False
    return session


def _trace_use() -> aiohttp.TraceConfig:
    async def note_reuse(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        context.trace_request_ctx.has_rested = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(note_reuse)
    return trace
