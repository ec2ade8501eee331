"""Reads responses of runners and peers: streams, and others, held or relayed."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import aiohttp

from clementineyoke_core.edge.held_bytes import FREE_BYTES
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.response_checks import is_answer
from clementineyoke_node.edge.runner_response import CompleteResponse, HeldBody
from clementineyoke_node.edge.streams.stream_reader import EventReader

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.runner_response import OpenResponse
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
MIN_TIMEOUT_S = 0.001
LATE_WAIT_S = 0.5
"""Longest wait for a runner after the deadline of an answer that is relayed: a caller
who reads slowly gets the rest of what its runner has made."""


class AnswerReader:
    """Reads a runner's or a peer's response for one call.

    What is no stream and shorter than the bound on one response is held until it is
    whole, so that a call that may be repeated can still go to another runner. A longer
    one is relayed as it comes if its length is known; else its end may never come, and
    it fails.
    """

    def __init__(
        self,
        *,
        byte_limits: ByteLimits,
        timers: TimerService,
        is_leaving: Callable[[], bool],
    ) -> None:
        """Create a reader; ``is_leaving`` returns whether this node is leaving."""
        self._byte_limits = byte_limits
        self._timers = timers
        self._is_leaving = is_leaving

    async def read(
        self,
        admitted: AdmittedCall,
        response: OpenResponse,
        stream: CallerStream,
        *,
        peer: str,
        on_relay: Callable[[], None] = lambda: None,
    ) -> CompleteResponse:
        """Return the response when it is whole, or has been relayed.

        ``on_relay`` is called before a response is relayed. Raises ``AttemptError`` if
        it is truncated, late, or too long to hold, and ``ConnectionError`` when the
        caller leaves.
        """
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        if self._is_relayed(admitted, response, stream):
            on_relay()
            return await self._relay(response, stream, peer=peer, left_ms=left_ms)
        timeout_s = max(MIN_TIMEOUT_S, left_ms / MS_PER_S)
        with _runner_errors(peer, is_final=False):
            async with asyncio.timeout(timeout_s):
                return await self._hold(response, peer=peer)

    def open_events(
        self,
        admitted: AdmittedCall,
        response: OpenResponse,
        stream: CallerStream,
        *,
        peer: str,
    ) -> EventReader:
        """Return a reader of a stream's events, to be entered while they are read."""
        return EventReader(
            response=response,
            stream=stream,
            peer=peer,
            byte_limits=self._byte_limits,
            deadline_ms=admitted.deadline_ms,
            timers=self._timers,
        )

    def _is_relayed(
        self, admitted: AdmittedCall, response: OpenResponse, stream: CallerStream
    ) -> bool:
        """Return whether a response goes to the caller as it comes.

        Nothing is gained by holding that of a call that may run once. A failure may
        still be replaced by another runner's answer.
        """
        length_bytes = response.client_response.content_length
        if length_bytes is None or stream.has_started:
            return False
        max_bytes = self._byte_limits.max_answer_bytes
        if length_bytes <= (max_bytes if admitted.route.may_repeat else FREE_BYTES):
            return False
        return is_answer(response.head)

    async def _hold(self, response: OpenResponse, *, peer: str) -> CompleteResponse:
        holding = self._byte_limits.held.open()
        content = response.client_response.content
        try:
            parts = await self._byte_limits.read_parts(content, holding, peer=peer)
        except BaseException:
            holding.close()
            raise
        if holding.size_bytes > FREE_BYTES:
            return CompleteResponse(response.head, b"", held=HeldBody(parts, holding))
        holding.close()
        return CompleteResponse(response.head, b"".join(parts))

    async def _relay(
        self,
        response: OpenResponse,
        stream: CallerStream,
        *,
        peer: str,
        left_ms: float,
    ) -> CompleteResponse:
        client_response = response.client_response
        deadline = _Deadline(left_ms / MS_PER_S)
        await stream.start_whole(
            response.head,
            length_bytes=client_response.content_length,
            is_leaving=self._is_leaving(),
        )
        while True:
            with _runner_errors(peer, is_final=True):
                part = await deadline.read_part(client_response)
            if not part:
                break
            await stream.response.write(part)
        await stream.response.write_eof()
        return CompleteResponse(response.head, b"", is_relayed=True)


@contextmanager
def _runner_errors(peer: str, *, is_final: bool) -> Iterator[None]:
    """Raise ``AttemptError`` for errors of reading a runner's response."""
    try:
        yield
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = "the time is up" if isinstance(error, TimeoutError) else ""
        raise AttemptError.lost(
            error, step="read_body", peer=peer, reason=reason, is_final=is_final
        ) from error


class _Deadline:
    """Bounds the time that is spent waiting for a runner, not for the caller."""

    def __init__(self, left_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._end_s = self._loop.time() + left_s
        self._late_left_s = LATE_WAIT_S

    async def read_part(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the next part; raises ``TimeoutError`` if it does not come in time."""
        started_s = self._loop.time()
        late_s = max(0.0, self._late_left_s)
        async with asyncio.timeout_at(max(self._end_s, started_s + late_s)):
            part = await response.content.readany()
        waited_s = self._loop.time() - max(started_s, self._end_s)
        self._late_left_s -= max(0.0, waited_s)
        return part
