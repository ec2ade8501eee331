"""Home side of claims: serves requests for claim shards."""

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
    """Return a shard's object name, from which its home node is also derived."""
    return f"claims/{shard:05d}"


class ClaimHome:
    """Owns the shard tasks and serves requests for any shard.

    Safety does not depend on this node being the shard's home: if two nodes believe
    they are, the version check of the platform's objects decides between them.
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
        self._timeout_ms = timeout_ms
        self._tasks: dict[int, ShardTask] = {}
        self._stack = AsyncExitStack()
        socket.handle(ClaimRequest, self._receive_request)
        socket.handle(ClaimResult, self._receive_result)

    async def __aenter__(self) -> Self:
        """Create a task per shard; idle tasks cost nothing."""
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
        """Stop the tasks."""
        await self._stack.aclose()

    @property
    def writes(self) -> int:
        """Number of conditional updates sent to the platform."""
        return sum(task.writes for task in self._tasks.values())

    @property
    def is_idle(self) -> bool:
        """Whether no claim is pending and all accepted reports are stored."""
        return all(task.is_idle for task in self._tasks.values())

    def submit(self, shard: int, pending: PendingClaim) -> None:
        """Submit a claim to a shard's task."""
        self._tasks[shard].submit(pending)

    def report(self, shard: int, report: ClaimReport) -> None:
        """Pass a report to a shard's task."""
        self._tasks[shard].report(report)

    def _receive_request(self, received: PeerMessage) -> None:
        request: ClaimRequest = received.message
        if request.shard not in self._tasks:
            return
        peer = received.peer

        def send_reply(decision: ClaimDecision) -> None:
            self._reply(peer, request.ask_id, decision)

        pending = PendingClaim(
            ClaimAttempt(request.key, request.holder, request.request_digest),
            self._timers.now_ms() + self._timeout_ms,
            send_reply,
        )
        self.submit(request.shard, pending)

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
