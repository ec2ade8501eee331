"""Resumes streams after a lost connection: ``GET /v1/streams``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.callers.response_relay import (
    TAIL_BYTES,
    drop_partial_line,
    is_framed,
    relay_response,
)
from clementineyoke_node.runners.runner_client import RunnerCall
from clementineyoke_node.runners.runner_error import RunnerError
from clementineyoke_wire import headers
from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from aiohttp import web

    from clementineyoke_core.resume_token import ResumeTokenCodec, StreamLocation
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.caller_request import CallerRequest
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.runners.runner_client import RunnerClient
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.timers.timer_service import TimerService

STREAMS_PATH = "/v1/streams"
STATUS_OK = 200


class ResumeHandler:
    """Send the rest of a stream from the offset that the caller requests.

    The work already runs on the runner, so its slot is adopted without asking the home
    node: a refusal would not reduce the load.
    """

    def __init__(
        self,
        *,
        tokens: ResumeTokenCodec,
        table: RunnerTable,
        broker: SlotBroker,
        client: RunnerClient,
        timers: TimerService,
        decisions: DecisionRing,
    ) -> None:
        self._tokens = tokens
        self._table = table
        self._broker = broker
        self._client = client
        self._timers = timers
        self._decisions = decisions

    async def handle(
        self, request: web.Request, caller: CallerRequest
    ) -> web.StreamResponse:
        """Stream the rest; ``?after=`` is the number of body bytes already received."""
        location = self._read_location(request, caller)
        runner = self._find_runner(location)
        offset_bytes = _parse_offset(request)
        # The rest alone does not show its end if the caller has a part of the mark, nor
        # that the runner has made what the caller has.
        overlap_bytes = min(offset_bytes, TAIL_BYTES)
        after = offset_bytes - overlap_bytes
        call = RunnerCall(
            method="GET",
            path=f"{STREAMS_PATH}/{location.request_id}?after={after}",
            headers={},
            body=b"",
            request_id=location.request_id,
            timeout_ms=caller.deadline_ms - self._timers.now_ms(),
            is_idempotent=True,
        )
        self._decisions.record(
            Event.ROUTED,
            request_id=caller.request_id,
            resumes=location.request_id,
            runner=runner.runner_id,
            reason="resume",
        )
        try:
            return await self._relay(request, runner, call, overlap_bytes=overlap_bytes)
        except RunnerError as error:
            raise _stream_lost(error.peer, error.reason) from error

    async def _relay(
        self,
        request: web.Request,
        runner: Runner,
        call: RunnerCall,
        *,
        overlap_bytes: int,
    ) -> web.StreamResponse:
        lease = self._broker.adopt(runner)
        with self._broker.holding(lease):
            async with self._client.exchange(runner, call) as runner_response:
                if runner_response.status != STATUS_OK:
                    raise _stream_lost(
                        runner.runner_id, "the runner no longer holds it"
                    )
                if not is_framed(runner_response):
                    raise _stream_lost(
                        runner.runner_id, "the answer does not say where it ends"
                    )
                overlap = await _read_overlap(runner, runner_response, overlap_bytes)
                return await relay_response(
                    request,
                    runner_response,
                    runner=runner,
                    request_id=call.request_id,
                    before=overlap,
                    skipped_bytes=overlap_bytes,
                )

    def _read_location(
        self, request: web.Request, caller: CallerRequest
    ) -> StreamLocation:
        token = request.headers.get(headers.RESUME, "")
        location = self._tokens.read(caller.team_path, token)
        if location is None:
            raise RequestError(
                status=403,
                outcome=Outcome.NOT_RUN,
                step="read_resume",
                reason=f"{headers.RESUME} is missing or not this team's",
            )
        return location

    def _find_runner(self, location: StreamLocation) -> Runner:
        entry = self._table.get(location.runner_id)
        if entry is None:
            raise _stream_lost(location.runner_id, "the runner is gone")
        return entry.runner


async def _read_overlap(
    runner: Runner, runner_response: aiohttp.ClientResponse, size_bytes: int
) -> bytes:
    """Return the last whole lines of what the caller has, as the runner sends it."""
    try:
        overlap = await runner_response.content.readexactly(size_bytes)
    except asyncio.IncompleteReadError as error:
        raise _stream_lost(
            runner.runner_id,
            f"it ends {size_bytes - len(error.partial)} bytes before the offset",
        ) from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise _stream_lost(runner.runner_id, repr(error)) from error
    return overlap if size_bytes < TAIL_BYTES else drop_partial_line(overlap)


def _parse_offset(request: web.Request) -> int:
    text = request.query.get("after", "0")
    if not text.isdecimal():
        raise RequestError(
            status=400,
            outcome=Outcome.NOT_RUN,
            step="read_query",
            reason="after must be a whole number of bytes",
        )
    return int(text)


def _stream_lost(peer: str, reason: str) -> RequestError:
    return RequestError(
        status=410,
        outcome=Outcome.UNKNOWN,
        step="resume",
        peer=peer,
        reason=f"the rest of the stream cannot be had: {reason}",
    )
