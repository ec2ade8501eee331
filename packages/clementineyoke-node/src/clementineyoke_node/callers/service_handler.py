"""Plain services: any method and path under ``/v1/services/<service>/``."""

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
from clementineyoke_node.callers.answer_relay import relay_answer
from clementineyoke_node.callers.body_reader import read_body
from clementineyoke_node.callers.dispatcher import RoutedCall
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from clementineyoke_node.callers.authenticator import Authenticator
    from clementineyoke_node.callers.caller_request import CallerRequest
    from clementineyoke_node.callers.dispatcher import Dispatcher
    from clementineyoke_node.claims.claim_client import Claim, ClaimClient

CLAIM_RETRY_MS = 1_000
LONGEST_KEY = 200
PREFIX_PARTS = 4
"""Slashes in /v1/services/<service>/ before the runner's own path."""
LARGEST_ANSWER_BYTES = 4_000_000
_PASSED_HEADERS = ("Content-Type", "Accept", "Accept-Language")


class ServiceHandler:
    """Route plain calls; run non-idempotent ones at most once."""

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
        self._runs: set[asyncio.Task[web.Response]] = set()

    async def handle(
        self, request: web.Request, caller: CallerRequest
    ) -> web.StreamResponse:
        """Answer a plain call."""
        service = request.match_info["service"]
        caller = self._authenticator.admit_to_pool(
            request, caller, field="services", pool=service
        )
        key = _read_key(request)
        is_idempotent = key is None and headers.NON_IDEMPOTENT not in request.headers
        call = await _to_call(request, caller, service, is_idempotent)
        if is_idempotent:
            async with self._dispatcher.exchange(call) as (runner, answer):
                return await relay_answer(
                    request, answer, runner=runner, request_id=caller.request_id
                )
        run = asyncio.create_task(self._run(call, key))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        # A caller that goes away must not cut a run: its repeat wants the answer.
        return await asyncio.shield(run)

    async def finish_runs(self) -> None:
        """Wait for the runs whose callers went away."""
        await asyncio.gather(*self._runs, return_exceptions=True)

    async def _run(self, call: RoutedCall, key: str | None) -> web.Response:
        if key is None:
            return await self._send_once(call)
        claim = self._claims.make_claim(
            scope=f"{call.caller.team_path}\0{call.pool}",
            key=key,
            request=f"{call.method} {call.path}\0".encode() + call.body,
        )
        decision = await self._claims.acquire(claim)
        if decision.verdict is not ClaimVerdict.GRANTED:
            return _answer_without_run(decision, call.caller.request_id)
        return await self._run_claimed(call, claim)

    async def _run_claimed(self, call: RoutedCall, claim: Claim) -> web.Response:
        try:
            response = await self._send_once(call)
        except RequestError as error:
            # Only a request that surely did not run gives its key free again.
            if error.outcome is Outcome.NOT_RUN:
                self._claims.report(claim, ran=False)
            raise
        answer = StoredAnswer(
            response.status, response.content_type, _body_of(response)
        )
        self._claims.report(claim, ran=True, answer=answer)
        return response

    async def _send_once(self, call: RoutedCall) -> web.Response:
        async with self._dispatcher.exchange(call) as (runner, answer):
            body = await _read_whole(runner.runner_id, answer)
        return web.Response(
            status=answer.status,
            body=body,
            headers={
                "Content-Type": answer.headers.get("Content-Type", "text/plain"),
                headers.REQUEST_ID: call.caller.request_id,
                headers.OUTCOME: Outcome.RAN.value,
                headers.RUNNER: runner.runner_id,
            },
        )


async def _read_whole(runner_id: str, answer: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    try:
        async for chunk in answer.content.iter_any():
            body += chunk
            if len(body) > LARGEST_ANSWER_BYTES:
                raise _unknown(runner_id, "the answer is too large to hold")
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise _unknown(runner_id, repr(error)) from error
    return bytes(body)


def _answer_without_run(decision: ClaimDecision, request_id: str) -> web.Response:
    if decision.verdict is ClaimVerdict.ANSWERED and decision.answer is not None:
        return web.Response(
            status=decision.answer.status,
            body=decision.answer.body,
            headers={
                "Content-Type": decision.answer.content_type,
                headers.REQUEST_ID: request_id,
                headers.OUTCOME: Outcome.RAN.value,
                headers.REPEATED: "1",
            },
        )
    raise _refusal(decision.verdict)


def _refusal(verdict: ClaimVerdict) -> RequestError:
    if verdict is ClaimVerdict.ANSWERED:
        return _claim_error(409, Outcome.RAN, "it ran; its answer was not kept")
    if verdict is ClaimVerdict.UNKNOWN:
        return _claim_error(409, Outcome.UNKNOWN, "an earlier call took this key")
    if verdict is ClaimVerdict.MISMATCH:
        reason = "the key was used for another request"
        return _claim_error(422, Outcome.NOT_RUN, reason)
    return _claim_error(
        503, Outcome.NOT_RUN, "the claim store did not answer", CLAIM_RETRY_MS
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


def _unknown(runner_id: str, reason: str) -> RequestError:
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
    if key is not None and not 0 < len(key) <= LONGEST_KEY:
        raise RequestError(
            status=400,
            outcome=Outcome.NOT_RUN,
            step="read_headers",
            reason=f"{headers.IDEMPOTENCY_KEY} must have 1 to {LONGEST_KEY} characters",
        )
    return key


async def _to_call(
    request: web.Request, caller: CallerRequest, service: str, is_idempotent: bool
) -> RoutedCall:
    body = await read_body(request)
    # As it came: decoded and encoded anew, an encoded slash would change the path.
    path = "/" + request.rel_url.raw_path.split("/", PREFIX_PARTS)[PREFIX_PARTS]
    if request.rel_url.raw_query_string:
        path = f"{path}?{request.rel_url.raw_query_string}"
    passed = {
        name: request.headers[name]
        for name in _PASSED_HEADERS
        if name in request.headers
    }
    return RoutedCall(
        caller=caller,
        pool=service,
        key=hash_text(caller.request_id),
        chat_id="",
        method=request.method,
        path=path,
        headers=passed,
        body=body,
        is_idempotent=is_idempotent,
    )
