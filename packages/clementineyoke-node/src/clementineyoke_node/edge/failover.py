"""Moves a call from a silent runner to another one, without a gap between the two."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol, Self

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.edge.attempt import Attempt, PeerAttempt, PendingResponse
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.response_checks import check_begun, check_peer_begun
from clementineyoke_node.timers.background_tasks import BackgroundTasks

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    from aiohttp import web

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.attempt_ledger import AttemptLedger
    from clementineyoke_core.node import Node
    from clementineyoke_node.edge.admission_control import AdmissionControl
    from clementineyoke_node.edge.attempt_recorder import AttemptRecorder
    from clementineyoke_node.edge.call_log import CallLog
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.crash_tracker import CrashTracker
    from clementineyoke_node.edge.peer_relay import PeerRelay
    from clementineyoke_node.edge.reach_monitor import ReachMonitor
    from clementineyoke_node.edge.retry_spender import RetrySpender
    from clementineyoke_node.edge.runner_response import OpenResponse
    from clementineyoke_node.edge.slot_finder import SlotFinder
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.slots.slot_lease import SlotLease
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
SETTLE_MS = 10.0
"""Time for the event loop to read what runners have sent while it was busy."""
RECHECK_INTERVAL_MS = 200.0
"""Time between two tries to find another runner while the first one is silent."""
OVERLAP_MS = 200.0
"""Time for another runner to refuse the call. Two runners may work on one call for 400
ms at most."""

NOT_RUN_OUTCOMES = frozenset((AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED))


class AttemptStarter(Protocol):
    """Sends a call to the runner of a lease when it is entered."""

    def __call__(
        self,
        admitted: AdmittedCall,
        lease: SlotLease,
        stream: CallerStream,
        failover: Failover,
    ) -> AbstractAsyncContextManager[OpenResponse]:
        """Return the response of the runner, unopened."""


class FailoverService:
    """What the failovers of all calls of a node share."""

    def __init__(
        self,
        *,
        broker: SlotBroker,
        slots: SlotFinder,
        retries: RetrySpender,
        admission: AdmissionControl,
        crash_tracker: CrashTracker,
        reach_monitor: ReachMonitor,
        peer_relay: PeerRelay,
        timers: TimerService,
        call_log: CallLog,
        start_attempt: AttemptStarter,
        recorder: AttemptRecorder,
    ) -> None:
        self.broker = broker
        self.slots = slots
        self.retries = retries
        self.admission = admission
        self.crash_tracker = crash_tracker
        self.reach_monitor = reach_monitor
        self.peer_relay = peer_relay
        self.timers = timers
        self.call_log = call_log
        self.start_attempt = start_attempt
        self.recorder = recorder
        self.tasks = BackgroundTasks()
        """The searches, which end with their calls."""

    def begin(
        self,
        request: web.Request,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
    ) -> Failover:
        """Return the failover of one call, to be entered for as long as it runs."""
        return Failover(self, request, admitted, ledger, stream)


class Failover:
    """Get a successor for the runner of one call while that runner is silent.

    A runner that is silent may go on at any moment, and an answer that it gave up is
    lost if no other runner takes the call. So it is left only when a slot and a retry
    have been obtained and the successor was sent the call and has not refused it. If
    the runner goes on before, it keeps the call, and the successor is dropped.
    """

    def __init__(
        self,
        service: FailoverService,
        request: web.Request,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
    ) -> None:
        self._service = service
        self._request = request
        self._admitted = admitted
        self._ledger = ledger
        self._stream = stream
        self._search: asyncio.Task[None] | None = None
        self._successor: Attempt | PeerAttempt | None = None
        self._pending: PendingResponse | None = None
        self.current_runner = ""
        """Id of the runner that has the call."""

    async def __aenter__(self) -> Self:
        """Return the failover; it does nothing before ``start``."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End the search and the attempt at a successor that was not taken."""
        await self._end_search()
        await self._drop_successor()

    def start(self, on_ready: Callable[[], None]) -> bool:
        """Search a successor and call ``on_ready`` when the runner may be left.

        Returns False, and does nothing, while an earlier search or its successor has
        not been taken.
        """
        is_searching = self._search is not None and not self._search.done()
        if is_searching or self._successor is not None:
            return False
        search = self._run(on_ready)
        self._search = self._service.tasks.spawn(search, name="find_successor")
        return True

    async def stop(self) -> None:
        """End the search and drop the successor: the runner goes on."""
        await self._end_search()
        successor = self._successor
        if successor is None:
            return
        if isinstance(successor, PeerAttempt):
            successor_id = successor.peer.node_id
        else:
            successor_id = successor.lease.runner.runner_id
        self._ledger.record(successor_id, AttemptOutcome.LOST)
        self._service.call_log.record_kept(
            self._admitted, runner_id=self.current_runner, dropped_id=successor_id
        )
        await self._drop_successor()

    async def take(self) -> Attempt | PeerAttempt | None:
        """Return the attempt at the successor, or None if there is none."""
        await self._end_search()
        successor, self._successor, self._pending = self._successor, None, None
        return successor

    async def _end_search(self) -> None:
        if self._search is not None and not self._search.done():
            self._search.cancel()
            await asyncio.wait({self._search})

    async def _run(self, on_ready: Callable[[], None]) -> None:
        await asyncio.sleep(SETTLE_MS / MS_PER_S)
        tried_count = len(self._ledger.tried)
        while not await self._find_successor():
            if tried_count == len(self._ledger.tried):
                await asyncio.sleep(RECHECK_INTERVAL_MS / MS_PER_S)
            tried_count = len(self._ledger.tried)
        on_ready()

    async def _find_successor(self) -> bool:
        """Send the call to another runner, or to a peer; return whether it was taken.

        A node that reaches no runner of the pool forwards the call to a peer.
        """
        if not self._ledger.may_abandon_attempt():
            return False
        # Kept connections to other runners may have lost their path as well.
        check = self._service.reach_monitor.check(self._admitted.pool)
        reaches_runner = await asyncio.shield(check)
        if not self._service.reach_monitor.is_isolated(self._admitted.pool):
            if not reaches_runner or not self._may_try_another():
                return False
            return await self._try_another()
        if self._admitted.hop is not None:
            return False
        for peer in self._service.peer_relay.choose_peers(self._admitted.pool):
            if not self._service.retries.try_spend(self._admitted.pool):
                return False
            if await self._try_peer(peer):
                return True
        return False

    def _may_try_another(self) -> bool:
        """Return whether a search for a successor makes sense now."""
        service, admitted = self._service, self._admitted
        if service.admission.is_short(admitted.pool):
            # Another runner would answer no sooner.
            return False
        if service.crash_tracker.refusal(admitted) is not None:
            return False
        return service.broker.has_untried_runner(
            admitted.pool,
            self._ledger.tried_and(self.current_runner),
            version=self._stream.version,
        ) and service.retries.has_budget(admitted.pool)

    async def _try_another(self) -> bool:
        """Send the call to another runner; return whether that runner has taken it."""
        lease = await self._service.slots.find(
            self._admitted,
            self._ledger,
            self._stream,
            refusals={},
            current_runner=self.current_runner,
        )
        if lease is None:
            return False
        if not self._service.retries.try_spend(self._admitted.pool):
            self._service.broker.record_unused(lease)
            with self._service.broker.holding(lease):
                return False
        recorder = self._service.recorder
        recorder.record_route(self._admitted, self._ledger, self._stream, lease)
        self._pending = pending = PendingResponse(
            self._service.start_attempt(self._admitted, lease, self._stream, self)
        )
        self._successor = attempt = Attempt(
            lease, self._service.timers.now_ms(), pending, is_paid=True
        )
        try:
            response = await pending.wait(timeout_ms=OVERLAP_MS)
            if response is not None:
                check_begun(
                    response.head,
                    peer=lease.runner.runner_id,
                    stream_status=self._stream.status,
                )
        except AttemptError as error:
            if error.outcome is not AttemptOutcome.NOT_SENT:
                # A runner that accepts no connection now may do so later.
                self._ledger.record(error.peer, error.outcome)
            recorder.record_failure(self._admitted, attempt, self._stream, error)
            await self._drop_successor()
            return False
        return True

    async def _try_peer(self, peer: Node) -> bool:
        """Forward the call to a peer; return whether the peer's response has begun.

        The runner that has the call is out of reach, so that it may be kept until then.
        """
        service, admitted = self._service, self._admitted
        runners_used = self._ledger.sends + 1
        service.call_log.record_forward(
            admitted, peer.node_id, runners_used=runners_used
        )
        opening = service.peer_relay.open(
            self._request, admitted, peer, self._stream, runners_used=runners_used
        )
        self._pending = pending = PendingResponse(opening)
        self._successor = PeerAttempt(peer, pending)
        try:
            response = await pending.wait()
            if response is not None:
                check_peer_begun(
                    response.head,
                    peer=peer.node_id,
                    stream_status=self._stream.status,
                )
        except AttemptError as error:
            service.call_log.record_forward_failure(admitted, error)
            if error.outcome in NOT_RUN_OUTCOMES:
                service.retries.refund(admitted.pool)
            else:
                self._ledger.record(error.peer, error.outcome)
            await self._drop_successor()
            return False
        return True

    async def _drop_successor(self) -> None:
        successor, pending = self._successor, self._pending
        self._successor = self._pending = None
        if successor is None or pending is None:
            return
        if isinstance(successor, PeerAttempt):
            await pending.close()
            return
        with self._service.broker.holding(successor.lease):
            await pending.close()
