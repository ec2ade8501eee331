"""The home's side: grant slots on the runners that this node is home of."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure

from clementineyoke_core.cold_runner_pacer import ColdRunnerPacer
from clementineyoke_core.cold_runners import ColdRunners
from clementineyoke_core.fault_rate_breaker import FaultRateBreaker
from clementineyoke_core.load_bound import DEFAULT_BOUND, LoadBound, compute_home_bound
from clementineyoke_core.reachability_breaker import ReachabilityBreaker
from clementineyoke_core.runner_state import RunnerState
from clementineyoke_core.slot_ledger import SlotGrant, SlotHolder, SlotRefusal
from clementineyoke_core.slot_queue import QueuedRequest, SlotQueue
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import (
    RunnerFault,
    SlotAsk,
    SlotRelease,
    SlotRenewal,
    SlotReply,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from clementineyoke_core.mean_load import MeanLoadEstimator
    from clementineyoke_core.runner_homes import RunnerHomes
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_core.slot_ledger import SlotLedger
    from clementineyoke_node.peers.peer_socket import (
        PeerAddress,
        PeerMessage,
        PeerSocket,
    )
    from clementineyoke_node.timers.timer_service import TimerService


class SlotHome:
    """Own the ledger; answer asks from peers and from this node."""

    def __init__(
        self,
        *,
        own_id: str,
        ledger: SlotLedger,
        table: RunnerTable,
        homes: RunnerHomes,
        mean_load: MeanLoadEstimator,
        socket: PeerSocket,
        timers: TimerService,
        cold_runners: ColdRunners | None = None,
        load_bound: LoadBound = DEFAULT_BOUND,
    ) -> None:
        self._faults = FaultRateBreaker()
        self._reachability = ReachabilityBreaker()
        self._cold = cold_runners or ColdRunners()
        self._cold_pace = ColdRunnerPacer()
        self._load_bound = load_bound
        self._own_id = own_id
        self._ledger = ledger
        self._table = table
        self._homes = homes
        self._mean_load = mean_load
        self._socket = socket
        self._timers = timers
        self._names: dict[int, str] = {}
        self._lifetimes: dict[str, str] = {}
        self._homed: dict[str, list[str]] = {}
        self._queues: dict[str, SlotQueue] = {}
        self._answers: dict[SlotHolder, Callable[[bool], None]] = {}
        socket.handle(SlotAsk, self._receive_ask)
        socket.handle(SlotRelease, self._receive_release)
        socket.handle(SlotRenewal, self._receive_renewal)
        socket.handle(RunnerFault, self._receive_fault)

    def rebuild(self) -> None:
        """Work out which runners this node is home of, after any change of hosts."""
        self._names = {}
        homed: dict[str, list[str]] = {}
        entries = self._table.entries()
        self._forget_reborn({e.runner.runner_id: e.runner.lifetime for e in entries})
        for entry in entries:
            runner = entry.runner
            self._names[runner.lifetime_hash] = runner.runner_id
            if entry.state is RunnerState.DRAINING:
                continue
            if self._homes.home_of(runner.runner_id) == self._own_id:
                homed.setdefault(runner.pool, []).append(runner.runner_id)
        self._forget_moved({name for names in homed.values() for name in names})
        emptied = self._homed.keys() - homed.keys()
        self._homed = homed
        for pool in homed.keys() | emptied:
            self._report_load(pool)

    def ask(
        self,
        runner_id: str,
        hold: SlotHolder,
        *,
        seen_mean: float,
        load_factor: float = 0.0,
    ) -> Result[SlotGrant, SlotRefusal]:
        """Grant or refuse a slot at once; the asker may have seen a higher mean.

        With ``load_factor`` the asker says how far over the mean its call may go.
        """
        now_ms = self._timers.now_ms()
        is_last_resort = seen_mean > 0.0
        is_paused = not is_last_resort and self._is_paused(runner_id, now_ms)
        if is_paused or not self._bears_call(runner_id, now_ms):
            in_use = self._ledger.in_use(runner_id)
            return Failure(SlotRefusal(runner_id, in_use, is_held=True))
        bound = self._bound(runner_id, seen_mean, load_factor)
        result = self._ledger.acquire(runner_id, hold, bound=bound, now_ms=now_ms)
        if is_successful(result):
            self._faults.record_call(runner_id, now_ms=now_ms)
            self._note_pace(runner_id, now_ms)
        self._report_runner(runner_id)
        return result

    def wait(
        self,
        runner_id: str,
        hold: SlotHolder,
        *,
        team: int,
        priority: int,
        wait_ms: int,
        on_answer: Callable[[bool], None],
    ) -> None:
        """Let an ask wait; it is answered once, unless its holder gives up first."""
        gives_up_ms = self._timers.now_ms() + wait_ms
        ask = QueuedRequest(hold, team, priority, gives_up_ms)
        queue = self._queues.setdefault(runner_id, SlotQueue())
        self._answers[ask.holder] = on_answer
        turned_away = queue.add(ask)
        if turned_away is not None:
            self._answer_waiting(turned_away.holder, granted=False)
        self._serve_waiting(runner_id)

    def release(self, runner_id: str, hold: SlotHolder) -> None:
        """Take a slot back, or a waiting ask out of the queue."""
        queue = self._queues.get(runner_id)
        if queue is not None and queue.remove(hold):
            self._answers.pop(hold, None)
        self._ledger.release(runner_id, hold)
        self._report_runner(runner_id)
        self._serve_waiting(runner_id)

    def renew(self, runner_id: str, hold: SlotHolder) -> None:
        """Keep or adopt a grant."""
        self._ledger.renew(runner_id, hold, now_ms=self._timers.now_ms())
        self._report_runner(runner_id)

    def record_fault(self, runner_id: str) -> None:
        """Note that a call at a runner failed or is overdue."""
        if self._faults.record_fault(runner_id, now_ms=self._timers.now_ms()):
            log_event(Event.RUNNER_PAUSED, runner=runner_id)

    def record_unreachable(self, runner_id: str, *, reporter: str) -> None:
        """Note that a node could not open a connection to a runner."""
        now_ms = self._timers.now_ms()
        if self._reachability.record_unreachable(
            runner_id, reporter=reporter, now_ms=now_ms
        ):
            log_event(Event.RUNNER_UNREACHABLE, runner=runner_id, reporter=reporter)
            self._expect_cold(runner_id, now_ms)

    def record_answer(self, runner_id: str) -> None:
        """Note that a runner answered a call."""
        self._reachability.record_answer(runner_id)

    def loads(self) -> dict[str, int]:
        """Return the slots in use on each runner that this node is home of."""
        return {
            runner_id: self._ledger.in_use(runner_id)
            for runner_ids in self._homed.values()
            for runner_id in runner_ids
        }

    async def serve_queues(self) -> None:
        """Serve queues whose bound has risen with the mean."""
        for runner_id in list(self._queues):
            self._serve_waiting(runner_id)

    async def expire(self) -> None:
        """Drop grants that nobody renewed."""
        for runner_id, hold in self._ledger.expire(now_ms=self._timers.now_ms()):
            log_event(Event.SLOT_LAPSED, runner=runner_id, holder=hold.node_id)
            self._report_runner(runner_id)

    def _is_paused(self, runner_id: str, now_ms: float) -> bool:
        return self._faults.is_paused(
            runner_id, now_ms=now_ms
        ) or self._reachability.is_paused(runner_id, now_ms=now_ms)

    def _forget(self, runner_id: str) -> None:
        self._ledger.remove_runner(runner_id)
        self._faults.remove_runner(runner_id)
        self._reachability.remove_runner(runner_id)
        self._cold_pace.remove_runner(runner_id)

    def _bears_call(self, runner_id: str, now_ms: float) -> bool:
        """Whether a runner that may be cold bears one more call now."""
        if self._cold_calls_per_s(runner_id, now_ms) is None:
            return True
        return self._cold_pace.may_grant(runner_id, now_ms=now_ms)

    def _expect_cold(self, runner_id: str, now_ms: float) -> None:
        """Take a runner that took no connections for one that starts anew.

        It may be back under its id before its entry can say so, and the calls that
        waited for it would end it again.
        """
        entry = self._table.get(runner_id)
        if entry is not None:
            self._cold.assume_cold(entry.runner, now_ms=now_ms)

    def _note_pace(self, runner_id: str, now_ms: float) -> None:
        calls_per_s = self._cold_calls_per_s(runner_id, now_ms)
        if calls_per_s is not None:
            self._cold_pace.record_grant(
                runner_id, calls_per_s=calls_per_s, now_ms=now_ms
            )

    def _cold_calls_per_s(self, runner_id: str, now_ms: float) -> float | None:
        entry = self._table.get(runner_id)
        if entry is None:
            return None
        return self._cold.calls_per_s(entry.runner, now_ms=now_ms)

    def _serve_waiting(self, runner_id: str) -> None:
        queue = self._queues.get(runner_id)
        if queue is None:
            return
        while len(queue) and self._has_room(runner_id):
            now_ms = self._timers.now_ms()
            ask = queue.pop_next(now_ms=now_ms)
            if ask is None:
                break
            self._note_pace(runner_id, now_ms)
            self.renew(runner_id, ask.holder)
            self._answer_waiting(ask.holder, granted=True)
        if not len(queue):
            del self._queues[runner_id]

    def _has_room(self, runner_id: str) -> bool:
        if not self._bears_call(runner_id, self._timers.now_ms()):
            return False
        return self._ledger.in_use(runner_id) < self._bound(runner_id)

    def _answer_waiting(self, hold: SlotHolder, *, granted: bool) -> None:
        answer = self._answers.pop(hold, None)
        if answer is not None:
            answer(granted)

    def _bound(
        self, runner_id: str, seen_mean: float = 0.0, load_factor: float = 0.0
    ) -> int:
        entry = self._table.get(runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            # The asker may have been frozen and not know; two views must both err.
            return 0
        if self._table.is_evacuated(entry.runner):
            # The same: the asker may not have heard of the order.
            return 0
        load_bound = self._load_bound
        if load_factor > 0.0:
            # The last ask of a search is for any room, also for a call that gives way.
            least = load_bound.factor if seen_mean > 0.0 else 0.0
            load_bound = load_bound._replace(factor=max(least, load_factor))
        return compute_home_bound(
            estimated_mean=self._mean_load.mean(entry.runner.pool),
            seen_mean=seen_mean,
            slots=entry.runner.slots,
            load_bound=load_bound,
        )

    def _forget_moved(self, kept: set[str]) -> None:
        for runner_id in self._ledger.runner_ids():
            if runner_id not in kept:
                self._forget(runner_id)

    def _forget_reborn(self, lifetimes: dict[str, str]) -> None:
        """Drop counts and faults of runners that have started anew under their ids.

        What ran in the lifetime before runs no more; counted on, it would keep the
        empty runner at its bound until the leases lapse.
        """
        for runner_id, lifetime in lifetimes.items():
            if self._lifetimes.get(runner_id, lifetime) != lifetime:
                self._forget(runner_id)
        self._lifetimes = lifetimes

    def _report_runner(self, runner_id: str) -> None:
        entry = self._table.get(runner_id)
        if entry is not None:
            self._report_load(entry.runner.pool)

    def _report_load(self, pool: str) -> None:
        runner_ids = self._homed.get(pool, [])
        load = sum(self._ledger.in_use(runner_id) for runner_id in runner_ids)
        self._mean_load.set_local(pool, load=load, runners=len(runner_ids))

    def _receive_ask(self, received: PeerMessage) -> None:
        ask: SlotAsk = received.message
        runner_id = self._names.get(ask.runner)
        if runner_id is None:
            self._socket.send(received.peer, SlotReply(ask.ask_id, False, 0))
            return
        hold = SlotHolder(str(received.peer), ask.ask_id)
        if ask.wait_ms:
            self._queue_remote(received.peer, runner_id, hold, ask)
            return
        result = self.ask(
            runner_id, hold, seen_mean=ask.seen_mean, load_factor=ask.load_factor
        )
        if is_successful(result):
            reply = SlotReply(ask.ask_id, True, result.unwrap().in_use)
        else:
            refusal = result.failure()
            reply = SlotReply(ask.ask_id, False, refusal.in_use, refusal.is_held)
        self._socket.send(received.peer, reply)

    def _queue_remote(
        self, peer: PeerAddress, runner_id: str, hold: SlotHolder, ask: SlotAsk
    ) -> None:
        def answer(granted: bool) -> None:
            in_use = self._ledger.in_use(runner_id)
            self._socket.send(peer, SlotReply(ask.ask_id, granted, in_use))

        self.wait(
            runner_id,
            hold,
            team=ask.team,
            priority=ask.priority,
            wait_ms=ask.wait_ms,
            on_answer=answer,
        )

    def _receive_release(self, received: PeerMessage) -> None:
        release: SlotRelease = received.message
        runner_id = self._names.get(release.runner)
        if runner_id is None:
            return
        if release.is_answered:
            self.record_answer(runner_id)
        self.release(runner_id, SlotHolder(str(received.peer), release.ask_id))

    def _receive_fault(self, received: PeerMessage) -> None:
        fault: RunnerFault = received.message
        runner_id = self._names.get(fault.runner)
        if runner_id is None:
            return
        if fault.is_unreachable:
            self.record_unreachable(runner_id, reporter=str(received.peer))
        else:
            self.record_fault(runner_id)

    def _receive_renewal(self, received: PeerMessage) -> None:
        renewal: SlotRenewal = received.message
        runner_id = self._names.get(renewal.runner)
        if runner_id is None:
            return
        for ask_id in renewal.ask_ids:
            self.renew(runner_id, SlotHolder(str(received.peer), ask_id))
