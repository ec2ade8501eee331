"""HTTP client for runners; reuses connections only after complete exchanges."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, NamedTuple, Self

import aiohttp
from yarl import URL

from clementineyoke_node.bounds.bounded_connector import make_bounded_connector
from clementineyoke_node.bounds.bounded_protocol import BoundedProtocol
from clementineyoke_node.runners.runner_error import RunnerError
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from clementineyoke_core.runner import Runner
    from clementineyoke_node.bounds.byte_limits import ByteLimits

MS_PER_S = 1000.0
CONNECT_TIMEOUT_MS = 1_000
PROBE_TIMEOUT_MS = 1_000
PROBE_PATH = "/ready"
STATUS_OK = 200
RECEIVER_FIELDS = frozenset((headers.REQUEST_ID.lower(),))


class RunnerCall(NamedTuple):
    """A request to send to a runner."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    timeout_ms: float
    is_idempotent: bool


class RunnerClient:
    """Owns two connection pools: one that reuses connections and one that never does.

    A runner may close a reused connection just as a request is being sent. It is then
    unknown whether the request was started, so a non-idempotent call would end as
    ``unknown``; such calls therefore always use a new connection.
    """

    def __init__(self, *, byte_limits: ByteLimits) -> None:
        self._byte_limits = byte_limits
        self._keepalive_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open both connection pools."""
        self._keepalive_session = _make_session(self._byte_limits, force_close=False)
        self._single_use_session = _make_session(self._byte_limits, force_close=True)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close both connection pools."""
        for session in (self._keepalive_session, self._single_use_session):
            if session is not None:
                await session.close()

    @asynccontextmanager
    async def exchange(
        self, runner: Runner, call: RunnerCall
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call and yield the response, after checking that it matches the call.

        The caller reads the body; the connection is closed if the body is not read to
        its end. Raises ``RunnerError``, whose ``may_have_run`` is False only if no byte
        of the request can have reached the runner.
        """
        response = await self._send(runner, call)
        try:
            _check_echo(runner, call, response)
            yield response
        finally:
            # Closes the connection unless the body was read to its end. Otherwise the
            # next exchange would read the rest of this response.
            response.close()

    async def probe(self, runner: Runner) -> bool:
        """Return whether a runner reports that it is ready; False on any failure."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_MS / MS_PER_S)
        url = _url(runner, PROBE_PATH)
        try:
            async with self._session(is_idempotent=True).get(
                url, timeout=timeout
            ) as response:
                return response.status == STATUS_OK
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _send(self, runner: Runner, call: RunnerCall) -> aiohttp.ClientResponse:
        timeout = aiohttp.ClientTimeout(total=call.timeout_ms / MS_PER_S)
        try:
            return await self._session(is_idempotent=call.is_idempotent).request(
                call.method,
                _url(runner, call.path),
                headers={**call.headers, headers.REQUEST_ID: call.request_id},
                data=call.body or None,
                timeout=timeout,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise RunnerError(
                step="connect",
                peer=runner.runner_id,
                reason=repr(error),
                may_have_run=False,
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise RunnerError(
                step="exchange",
                peer=runner.runner_id,
                reason=repr(error),
                may_have_run=True,
            ) from error

    def _session(self, *, is_idempotent: bool) -> aiohttp.ClientSession:
        session = self._keepalive_session if is_idempotent else self._single_use_session
        if session is None:
            message = "runner client is not open"
            raise RuntimeError(message)
        return session


def _make_session(
    byte_limits: ByteLimits, *, force_close: bool
) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=make_bounded_connector(
            byte_limits,
            protocol=partial(BoundedProtocol, receiver_fields=RECEIVER_FIELDS),
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            socket_factory=None,
            force_close=force_close,
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    # By default aiohttp resends idempotent methods such as PUT and DELETE when the
    # connection breaks before a response, and the runner would execute one call twice.
    # aiohttp has no public option for this; a test breaks connections and counts
    # executions.
    session._retry_connection = False
    return session


def _url(runner: Runner, path: str) -> URL:
    return URL(f"http://{runner.address}:{runner.port}{path}", encoded=True)


def _check_echo(
    runner: Runner, call: RunnerCall, response: aiohttp.ClientResponse
) -> None:
    echoed = response.headers.get(headers.REQUEST_ID)
    if echoed == call.request_id:
        return
    # A runner that mixes up responses would disclose one caller's text to another.
    raise RunnerError(
        step="check_echo",
        peer=runner.runner_id,
        reason=f"the answer is for request {echoed!r}",
        may_have_run=True,
    )
