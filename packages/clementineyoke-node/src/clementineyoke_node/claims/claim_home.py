"""The claim shards that this node serves when asked."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

from clementineyoke_core.claims.messages import ClaimAttempt, ClaimReport
from clementineyoke_core.claims.record import StoredAnswer
from clementineyoke_node.claims.shard_task import PendingClaim, ShardTask
from clementineyoke_wire.messages import ClaimReply, ClaimRequest, ClaimResult

if TYPE_CHECKING:
    from clementineyoke_core.claims.decision import ClaimDecision
    from clementineyoke_node.objects.object_api import ObjectApi
    from clementineyoke_node.peers.peer_socket import (
        PeerAddress,
        PeerMessage,
        PeerSocket,
    )
    from clementineyoke_node.timers.timer_service import TimerService


def shard_name(shard: int) -> str:
    """Return the name of a shard's object, which also places its home."""
    return f"claims/{shard:05d}"


class ClaimHome:
    """Own the shard tasks. It serves any shard it is asked for.

    Whether this node really is the shard's home does not matter for safety: the
    object's version decides between two that both believe it.
    """

    def __init__(
        self,
        *,
        objects: ObjectApi,
        timers: TimerService,
        socket: PeerSocket,
        shards: int,
        batch_ms: float,
        timeout_ms: float,
    ) -> None:
        self._objects = objects
        self._timers = timers
        self._socket = socket
        self._shards = shards
        self._batch_ms = batch_ms
        self._patience_ms = timeout_ms
        self._tasks: dict[int, ShardTask] = {}
        self._stack = AsyncExitStack()
        socket.handle(ClaimRequest, self._receive_request)
        socket.handle(ClaimResult, self._receive_result)

    async def __aenter__(self) -> Self:
        """Create every shard's task; a task costs nothing until it is asked."""
        for shard in range(self._shards):
            task = ShardTask(
                name=shard_name(shard),
                objects=self._objects,
                timers=self._timers,
                batch_ms=self._batch_ms,
            )
            self._tasks[shard] = await self._stack.enter_async_context(task)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End the tasks."""
        await self._stack.aclose()

    @property
    def writes(self) -> int:
        """Conditional updates sent to the platform so far."""
        return sum(task.writes for task in self._tasks.values())

    @property
    def is_idle(self) -> bool:
        """Whether every report that was taken is durable."""
        return all(task.is_idle for task in self._tasks.values())

    def ask(self, shard: int, pending: PendingClaim) -> None:
        """Take an ask for a shard."""
        self._tasks[shard].submit(pending)

    def report(self, shard: int, report: ClaimReport) -> None:
        """Take a report for a shard."""
        self._tasks[shard].report(report)

    def _receive_request(self, received: PeerMessage) -> None:
        request: ClaimRequest = received.message
        if request.shard not in self._tasks:
            return
        peer = received.peer

        def answer(decision: ClaimDecision) -> None:
            self._reply(peer, request.ask_id, decision)

        pending = PendingClaim(
            ClaimAttempt(request.key, request.holder, request.request_digest),
            self._timers.now_ms() + self._patience_ms,
            answer,
        )
        self.ask(request.shard, pending)

    def _receive_result(self, received: PeerMessage) -> None:
        result: ClaimResult = received.message
        if result.shard not in self._tasks:
            return
        answer = None
        if result.has_answer:
            answer = StoredAnswer(result.status, result.content_type, result.body)
        report = ClaimReport(result.key, result.holder, result.ran, answer)
        self.report(result.shard, report)

    def _reply(self, peer: PeerAddress, ask_id: int, decision: ClaimDecision) -> None:
        verdict = int(decision.verdict)
        answer = decision.answer
        if answer is None:
            self._socket.send(peer, ClaimReply(ask_id, verdict))
            return
        reply = ClaimReply(
            ask_id, verdict, True, answer.status, answer.content_type, answer.body
        )
        self._socket.send(peer, reply)
