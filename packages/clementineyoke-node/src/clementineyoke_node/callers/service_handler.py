"""Calls to plain services: all methods and paths under ``/v1/services/<service>/``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from clementineyoke_core.claims.decision import ClaimDecision, ClaimVerdict
from clementineyoke_core.claims.record import StoredAnswer
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.callers.body_reader import read_body
from clementineyoke_node.callers.dispatcher import RoutedCall
from clementineyoke_node.callers.response_relay import relay_response
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from clementineyoke_node.callers.authenticator import Authenticator
    from clementineyoke_node.callers.caller_request import CallerRequest
    from clementineyoke_node.callers.dispatcher import Dispatcher
    from clementineyoke_node.claims.claim_client import Claim, ClaimClient

CLAIM_RETRY_AFTER_MS = 1_000
MAX_KEY_CHARACTERS = 200
PREFIX_SLASHES = 4
"""Slashes in /v1/services/<service>/, before the path on the runner."""
MAX_RESPONSE_BYTES = 4_000_000
_FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")


class ServiceHandler:
    """Route calls to plain services; run non-idempotent calls at most once."""

    def __init__(
        self,
        *,
        authenticator: Authenticator,
        dispatcher: Dispatcher,
        claims: ClaimClient,
    ) -> None:
        self._authenticator = authenticator
        self._dispatcher = dispatcher
        self._claims = claims
        self._run_tasks: set[asyncio.Task[web.Response]] = set()

    async def handle(
        self, request: web.Request, caller: CallerRequest
    ) -> web.StreamResponse:
        """Return the response to a call to a plain service."""
        service = request.match_info["service"]
        caller = self._authenticator.authorize_pool(
            request, caller, field="services", pool=service
        )
        key = _read_key(request)
        is_idempotent = key is None and headers.NON_IDEMPOTENT not in request.headers
        call = await _to_call(request, caller, service, is_idempotent)
        if is_idempotent:
            async with self._dispatcher.exchange(call) as (runner, runner_response):
                return await relay_response(
                    request,
                    runner_response,
                    runner=runner,
                    request_id=caller.request_id,
                )
        run = asyncio.create_task(self._run(call, key))
        self._run_tasks.add(run)
        run.add_done_callback(self._run_tasks.discard)
        # A caller that disconnects must not cancel the run: a repeated call needs its
        # response.
        return await asyncio.shield(run)

    async def wait_for_runs(self) -> None:
        """Wait for the runs whose callers have disconnected."""
        await asyncio.gather(*self._run_tasks, return_exceptions=True)

    async def _run(self, call: RoutedCall, key: str | None) -> web.Response:
        if key is None:
            return await self._send(call)
        claim = self._claims.make_claim(
            scope=f"{call.caller.team_path}\0{call.pool}",
            key=key,
            request=f"{call.method} {call.path}\0".encode() + call.body,
        )
        decision = await self._claims.acquire(claim)
        if decision.verdict is not ClaimVerdict.GRANTED:
            return _respond_without_run(decision, call.caller.request_id)
        return await self._run_claimed(call, claim)

    async def _run_claimed(self, call: RoutedCall, claim: Claim) -> web.Response:
        try:
            response = await self._send(call)
        except RequestError as error:
            # The key may be used again only if the request certainly did not run.
            if error.outcome is Outcome.NOT_RUN:
                self._claims.report(claim, ran=False)
            raise
        stored_answer = StoredAnswer(
            response.status, response.content_type, _body_of(response)
        )
        self._claims.report(claim, ran=True, answer=stored_answer)
        return response

    async def _send(self, call: RoutedCall) -> web.Response:
        async with self._dispatcher.exchange(call) as (runner, runner_response):
            body = await _read_response_body(runner.runner_id, runner_response)
        return web.Response(
            status=runner_response.status,
            body=body,
            headers={
                "Content-Type": runner_response.headers.get(
                    "Content-Type", "text/plain"
                ),
                headers.REQUEST_ID: call.caller.request_id,
                headers.OUTCOME: Outcome.RAN.value,
                headers.RUNNER: runner.runner_id,
            },
        )


async def _read_response_body(
    runner_id: str, runner_response: aiohttp.ClientResponse
) -> bytes:
    body = bytearray()
    try:
        async for chunk in runner_response.content.iter_any():
            body += chunk
            if len(body) > MAX_RESPONSE_BYTES:
                raise _outcome_unknown(runner_id, "the answer is too large to hold")
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise _outcome_unknown(runner_id, repr(error)) from error
    return bytes(body)


def _respond_without_run(decision: ClaimDecision, request_id: str) -> web.Response:
    if decision.verdict is ClaimVerdict.ANSWERED and decision.answer is not None:
        return web.Response(
            status=decision.answer.status,
            body=decision.answer.body,
            headers={
                "Content-Type": decision.answer.content_type,
                headers.REQUEST_ID: request_id,
                headers.OUTCOME: Outcome.RAN.value,
                headers.REPEATED_ANSWER: "1",
            },
        )
    raise _claim_refused(decision.verdict)


def _claim_refused(verdict: ClaimVerdict) -> RequestError:
    if verdict is ClaimVerdict.ANSWERED:
        return _claim_error(409, Outcome.RAN, "it ran; its answer was not kept")
    if verdict is ClaimVerdict.UNKNOWN:
        return _claim_error(409, Outcome.UNKNOWN, "an earlier call took this key")
    if verdict is ClaimVerdict.MISMATCH:
        reason = "the key was used for another request"
        return _claim_error(422, Outcome.NOT_RUN, reason)
    return _claim_error(
        503, Outcome.NOT_RUN, "the claim store did not answer", CLAIM_RETRY_AFTER_MS
    )


def _claim_error(
    status: int, outcome: Outcome, reason: str, retry_after_ms: int | None = None
) -> RequestError:
    return RequestError(
        status=status,
        outcome=outcome,
        step="claim",
        reason=reason,
        retry_after_ms=retry_after_ms,
    )


def _outcome_unknown(runner_id: str, reason: str) -> RequestError:
    return RequestError(
        status=502,
        outcome=Outcome.UNKNOWN,
        step="read_answer",
        peer=runner_id,
        reason=reason,
    )


def _body_of(response: web.Response) -> bytes:
    body = response.body
    return body if isinstance(body, bytes) else b""


def _read_key(request: web.Request) -> str | None:
    key = request.headers.get(headers.IDEMPOTENCY_KEY)
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise RequestError(
            status=400,
            outcome=Outcome.NOT_RUN,
            step="read_headers",
            reason=f"{headers.IDEMPOTENCY_KEY} must have 1 to "
            f"{MAX_KEY_CHARACTERS} characters",
        )
    return key


async def _to_call(
    request: web.Request, caller: CallerRequest, service: str, is_idempotent: bool
) -> RoutedCall:
    body = await read_body(request)
    # The raw path: decoding and re-encoding would turn an encoded slash into a
    # separator.
    path = "/" + request.rel_url.raw_path.split("/", PREFIX_SLASHES)[PREFIX_SLASHES]
    if request.rel_url.raw_query_string:
        path = f"{path}?{request.rel_url.raw_query_string}"
    forwarded = {
        name: request.headers[name]
        for name in _FORWARDED_HEADERS
        if name in request.headers
    }
    return RoutedCall(
        caller=caller,
        pool=service,
        key=hash_text(caller.request_id),
        chat_id="",
        method=request.method,
        path=path,
        headers=forwarded,
        body=body,
        is_idempotent=is_idempotent,
    )
