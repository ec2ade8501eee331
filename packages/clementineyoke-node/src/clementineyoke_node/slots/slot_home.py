"""Server side of slot allocation: grant slots on the runners homed on this node."""

from __future__ import annotations

from itertools import zip_longest
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure, Success

from clementineyoke_core.brittle_pools import BrittlePools
from clementineyoke_core.cold_runners import ColdRunners
from clementineyoke_core.fault_rate_breaker import FaultRateBreaker
from clementineyoke_core.grants.breaker_rule import BreakerRule
from clementineyoke_core.grants.brittle_rule import BrittleRule
from clementineyoke_core.grants.call_profile import (
    UNDESCRIBED,
    CallProfile,
    PromptCost,
)
from clementineyoke_core.grants.cold_pace_rule import ColdPaceRule
from clementineyoke_core.grants.grant_rule import GrantRequest
from clementineyoke_core.grants.load_bound_rule import LoadBoundRule
from clementineyoke_core.lease_end import LeaseEnd
from clementineyoke_core.load_bound import DEFAULT_BOUND, LoadBound
from clementineyoke_core.overload.pressure_meter import RunnerDemand
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
    from collections.abc import Callable, Sequence

    from returns.result import Result

    from clementineyoke_core.grants.grant_rule import GrantRule
    from clementineyoke_core.grants.refusal_reason import RefusalReason
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
    """Grants and refuses slots requested by peers and by this node.

    Each runner has one home node, which keeps the authoritative count of the runner's
    slots in use. A slot is granted if none of the home's rules refuses it.
    """

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
        brittle_pools: BrittlePools | None = None,
        load_bound: LoadBound = DEFAULT_BOUND,
        extra_rules: Sequence[GrantRule] = (),
        prefill_tokens: Callable[[GrantRequest], int] = lambda _: 0,
        load_weight: Callable[[GrantRequest], float] = lambda _: 1.0,
        on_response_time: Callable[[str, int], None] = lambda _, __: None,
        on_pause: Callable[[str], None] = lambda _: None,
        on_unreachable: Callable[[str, list[str]], None] = lambda _, __: None,
    ) -> None:
        """Create a home; ``extra_rules`` are asked after the rules of every home.

        ``prefill_tokens`` returns how many prompt tokens a call adds on its runner, or
        0 if that is unknown. Requesters learn from it how fast runners process prompts.
        ``load_weight`` is described at ``LoadBoundRule``. ``on_response_time`` is
        called with a runner and the time of its answer in percent of the usual time,
        ``on_pause`` with the reason of each pause of a runner. ``on_unreachable`` is
        called with a runner and the nodes that reported it as unreachable; it calls
        ``record_reached`` or ``record_ended`` once it knows more.
        """
        self._prefill_tokens = prefill_tokens
        self._fault_breaker = FaultRateBreaker()
        self._reachability_breaker = ReachabilityBreaker()
        self._cold_runners = cold_runners or ColdRunners()
        self._cold_pace = ColdPaceRule(
            cold_runners=self._cold_runners, table=table, is_home=self._is_home
        )
        self._brittle_pools = brittle_pools or BrittlePools()
        self._brittle_rule = BrittleRule(
            brittle_pools=self._brittle_pools,
            ledger=ledger,
            table=table,
            is_home=self._is_home,
        )
        self._rules: tuple[GrantRule, ...] = (
            BreakerRule(
                fault_breaker=self._fault_breaker,
                reachability=self._reachability_breaker,
            ),
            self._cold_pace,
            self._brittle_rule,
            LoadBoundRule(
                ledger=ledger,
                table=table,
                mean_load=mean_load,
                load_bound=load_bound,
                load_weight=load_weight,
            ),
            *extra_rules,
        )
        self._on_response_time = on_response_time
        self._on_pause = on_pause
        self._on_unreachable = on_unreachable
        self._own_id = own_id
        self._ledger = ledger
        self._table = table
        self._homes = homes
        self._mean_load = mean_load
        self._socket = socket
        self._timers = timers
        self._runner_ids_by_hash: dict[int, str] = {}
        self._lifetimes: dict[str, str] = {}
        self._homed_runners: dict[str, list[str]] = {}
        self._queues: dict[str, SlotQueue] = {}
        self._callbacks: dict[SlotHolder, Callable[[bool], None]] = {}
        socket.handle(SlotAsk, self._receive_ask)
        socket.handle(SlotRelease, self._receive_release)
        socket.handle(SlotRenewal, self._receive_renewal)
        socket.handle(RunnerFault, self._receive_fault)

    def rebuild(self) -> None:
        """Recompute which runners this node is home of.

        Must be called after each change of the host list or of the alive nodes.
        """
        self._runner_ids_by_hash = {}
        homed: dict[str, list[str]] = {}
        entries = self._table.entries()
        known_ids = set(self._lifetimes)
        self._remove_restarted({e.runner.runner_id: e.runner.lifetime for e in entries})
        for entry in entries:
            runner = entry.runner
            self._runner_ids_by_hash[runner.lifetime_hash] = runner.runner_id
            if entry.state is RunnerState.DRAINING:
                continue
            if self._homes.home_of(runner.runner_id) == self._own_id:
                homed.setdefault(runner.pool, []).append(runner.runner_id)
        homed_ids = {name for names in homed.values() for name in names}
        self._remove_rehomed(homed_ids)
        self._record_takeovers(homed_ids, known_ids)
        emptied = self._homed_runners.keys() - homed.keys()
        self._homed_runners = homed
        for pool in homed.keys() | emptied:
            self._set_load(pool)

    def acquire(
        self,
        runner_id: str,
        holder: SlotHolder,
        *,
        seen_mean: float,
        load_factor: float = 0.0,
        profile: CallProfile = UNDESCRIBED,
    ) -> Result[SlotGrant, SlotRefusal]:
        """Grant or refuse a slot immediately.

        ``seen_mean`` is the mean load that the requester observed, or 0; it overrides
        this node's estimate if higher and marks a last-resort request.
        ``load_factor`` is the multiple of the mean load up to which the call may go,
        or 0 for this home's default.
        """
        request = GrantRequest(
            runner_id,
            holder,
            self._timers.now_ms(),
            seen_mean=seen_mean,
            load_factor=load_factor,
            profile=profile,
        )
        if not request.is_last_resort:
            for rule in self._rules:
                rule.record_request(request)
        reason = self._check(request)
        if reason is not None:
            in_use = self._ledger.in_use(runner_id)
            return Failure(SlotRefusal(runner_id, in_use, reason))
        prefill_tokens = self._prefill_tokens(request)
        self._grant(request)
        in_use = self._ledger.in_use(runner_id)
        valid_ms = self.grant_validity_ms(runner_id)
        return Success(SlotGrant(runner_id, in_use, prefill_tokens, valid_ms))

    def enqueue(
        self,
        runner_id: str,
        holder: SlotHolder,
        *,
        profile: CallProfile,
        wait_ms: int,
        on_result: Callable[[bool], None],
    ) -> None:
        """Queue a request for a slot.

        ``on_result`` is called at most once, with whether the slot was granted. It is
        not called if the request is released before or expires in the queue.
        """
        expires_at_ms = self._timers.now_ms() + wait_ms
        queued = QueuedRequest(
            holder, profile.team, profile.priority, expires_at_ms, profile
        )
        queue = self._queues.setdefault(runner_id, SlotQueue())
        self._callbacks[queued.holder] = on_result
        rejected = queue.add(queued)
        if rejected is not None:
            self._resolve(rejected.holder, granted=False)
        self._serve_queue(runner_id)

    def release(self, runner_id: str, holder: SlotHolder) -> None:
        """Release a granted slot, or remove a request from the queue."""
        queue = self._queues.get(runner_id)
        if queue is not None and queue.remove(holder):
            self._callbacks.pop(holder, None)
        self._ledger.release(runner_id, holder)
        for rule in self._rules:
            rule.record_release(runner_id, holder)
        self._update_pool_load(runner_id)
        self._serve_queue(runner_id)

    def end(self, runner_id: str, holder: SlotHolder, end: LeaseEnd) -> None:
        """Release a slot whose call has ended, and record how."""
        if end.is_answered:
            self.record_answer(runner_id, time_percent=end.time_percent)
        was_held = self._ledger.holds(runner_id, holder)
        now_ms = self._timers.now_ms()
        if was_held and not end.is_answered and not end.is_unused:
            self._brittle_rule.record_abandoned(runner_id, now_ms=now_ms)
        self.release(runner_id, holder)
        if end.is_rejected:
            self._brittle_rule.record_rejection(runner_id, now_ms=now_ms)

    def renew(self, runner_id: str, holder: SlotHolder, *, tokens: int = 0) -> None:
        """Extend a grant; an unknown one is adopted from a previous home.

        ``tokens`` is the memory that the call takes on the runner, or 0 if unknown.
        """
        self._ledger.renew(runner_id, holder, now_ms=self._timers.now_ms())
        for rule in self._rules:
            rule.record_renewal(runner_id, holder, tokens=tokens)
        self._update_pool_load(runner_id)

    def record_fault(self, runner_id: str) -> None:
        """Record that a call to a runner failed or is overdue."""
        if self._fault_breaker.record_fault(runner_id, now_ms=self._timers.now_ms()):
            log_event(Event.RUNNER_PAUSED, runner=runner_id)
            self._on_pause("faults")

    def record_unreachable(self, runner_id: str, *, reporter: str) -> None:
        """Record that a node could not connect to a runner."""
        now_ms = self._timers.now_ms()
        if self._reachability_breaker.record_unreachable(
            runner_id, reporter=reporter, now_ms=now_ms
        ):
            reporters = self._reachability_breaker.reporters(runner_id)
            log_event(Event.RUNNER_UNREACHABLE, runner=runner_id, reporters=reporters)
            self._on_pause("unreachable")
            self._suspect_cold(runner_id, now_ms)
            self._on_unreachable(runner_id, reporters)

    def record_reached(self, runner_id: str) -> None:
        """End the pause of an unreachable runner: a node reaches it."""
        if self._reachability_breaker.record_reached(
            runner_id, now_ms=self._timers.now_ms()
        ):
            log_event(Event.RUNNER_REACHED, runner=runner_id)
        entry = self._table.get(runner_id)
        if entry is not None:
            self._cold_runners.withdraw_suspicion(entry.runner)

    def record_ended(self, runner_id: str) -> None:
        """Record that no node reaches a runner."""
        entry = self._table.get(runner_id)
        if entry is not None:
            self._cold_runners.confirm_suspicion(entry.runner)

    def record_answer(self, runner_id: str, *, time_percent: int = 0) -> None:
        """Record that a runner answered a call.

        ``time_percent`` is the time of the answer in percent of the usual time, or 0.
        """
        self._reachability_breaker.record_answer(runner_id)
        if time_percent:
            self._on_response_time(runner_id, time_percent)

    def grant_validity_ms(self, runner_id: str) -> float:
        """Return how long a grant that is given now is valid; 0 for no limit."""
        return self._cold_pace.grant_validity_ms(
            runner_id, now_ms=self._timers.now_ms()
        )

    def loads(self) -> dict[str, int]:
        """Return the number of slots in use on each runner homed on this node."""
        return {
            runner_id: self._ledger.in_use(runner_id)
            for runner_ids in self._homed_runners.values()
            for runner_id in runner_ids
        }

    def demands(self) -> list[RunnerDemand]:
        """Return the demand for each runner homed on this node that accepts calls."""
        now_ms = self._timers.now_ms()
        return [
            self._demand(pool, runner_id)
            for pool, runner_ids in self._homed_runners.items()
            for runner_id in runner_ids
            if self._table.is_ready(runner_id)
            and not self._fault_breaker.is_paused(runner_id, now_ms=now_ms)
            and not self._reachability_breaker.is_paused(runner_id, now_ms=now_ms)
        ]

    async def serve_queues(self) -> None:
        """Serve all queues.

        A runner's bound may have risen with the mean load, or a cold runner may accept
        its next call.
        """
        for runner_id in list(self._queues):
            self._serve_queue(runner_id)

    async def expire(self) -> None:
        """Drop the grants whose lease has expired."""
        for runner_id, holder in self._ledger.expire(now_ms=self._timers.now_ms()):
            log_event(Event.SLOT_LAPSED, runner=runner_id, holder=holder.requester)
            for rule in self._rules:
                rule.record_release(runner_id, holder)
            self._update_pool_load(runner_id)

    def _demand(self, pool: str, runner_id: str) -> RunnerDemand:
        entry = self._table.get(runner_id)
        queue = self._queues.get(runner_id)
        return RunnerDemand(
            pool,
            in_use=self._ledger.in_use(runner_id),
            queued=0 if queue is None else len(queue),
            slots=0 if entry is None else entry.runner.slots,
        )

    def _check(self, request: GrantRequest) -> RefusalReason | None:
        """Return the first reason for which a rule refuses a slot, or None."""
        for rule in self._rules:
            reason = rule.check(request)
            if reason is not None:
                return reason
        return None

    def _grant(self, request: GrantRequest) -> None:
        runner_id = request.runner_id
        self._ledger.renew(runner_id, request.holder, now_ms=request.now_ms)
        for rule in self._rules:
            rule.record_grant(request)
        self._update_pool_load(runner_id)

    def _remove_runner(self, runner_id: str) -> None:
        self._ledger.remove_runner(runner_id)
        for rule in self._rules:
            rule.remove_runner(runner_id)

    def _suspect_cold(self, runner_id: str, now_ms: float) -> None:
        """Treat a runner that refused connections as restarting.

        It may be reachable under its id again before its entry reports the restart.
        Without the cold limit the queued calls would then crash it again.
        """
        entry = self._table.get(runner_id)
        if entry is not None:
            self._cold_runners.suspect_cold(entry.runner, now_ms=now_ms)

    def _serve_queue(self, runner_id: str) -> None:
        queue = self._queues.get(runner_id)
        if queue is None:
            return
        now_ms = self._timers.now_ms()
        while (queued := queue.peek_next(now_ms=now_ms)) is not None:
            request = GrantRequest(
                runner_id,
                queued.holder,
                now_ms,
                is_queued=True,
                profile=queued.profile,
            )
            if self._check(request) is not None:
                break
            queue.pop_next(now_ms=now_ms)
            self._grant(request)
            self._resolve(request.holder, granted=True)
        if not len(queue):
            del self._queues[runner_id]

    def _resolve(self, holder: SlotHolder, *, granted: bool) -> None:
        callback = self._callbacks.pop(holder, None)
        if callback is not None:
            callback(granted)

    def _is_home(self, runner_id: str) -> bool:
        return self._homes.home_of(runner_id) == self._own_id

    def _remove_rehomed(self, homed_ids: set[str]) -> None:
        for runner_id in self._ledger.runner_ids():
            if runner_id not in homed_ids:
                self._remove_runner(runner_id)

    def _record_takeovers(self, homed_ids: set[str], known_ids: set[str]) -> None:
        """Pause the grants on cold runners that have had another home until now.

        A runner that this node learns of now has had no home in its view.
        """
        former_ids = {name for names in self._homed_runners.values() for name in names}
        for runner_id in (homed_ids & known_ids) - former_ids:
            self._cold_pace.record_takeover(runner_id, now_ms=self._timers.now_ms())
        self._cold_pace.retain(homed_ids)
        self._brittle_rule.retain(homed_ids)

    def _remove_restarted(self, lifetimes: dict[str, str]) -> None:
        """Drop counts and faults of runners that restarted under the same id.

        Requests of the previous lifetime no longer run. If they stayed counted, the
        idle runner would remain at its bound until their leases expire.
        """
        for runner_id, lifetime in lifetimes.items():
            if self._lifetimes.get(runner_id, lifetime) != lifetime:
                self._remove_runner(runner_id)
        self._lifetimes = lifetimes

    def _update_pool_load(self, runner_id: str) -> None:
        entry = self._table.get(runner_id)
        if entry is not None:
            self._set_load(entry.runner.pool)

    def _set_load(self, pool: str) -> None:
        runner_ids = self._homed_runners.get(pool, [])
        load = sum(self._ledger.in_use(runner_id) for runner_id in runner_ids)
        self._mean_load.set_local(pool, load=load, runners=len(runner_ids))

    def _receive_ask(self, received: PeerMessage) -> None:
        ask: SlotAsk = received.message
        runner_id = self._runner_ids_by_hash.get(ask.runner)
        if runner_id is None:
            self._socket.send(received.peer, SlotReply(ask.ask_id, False, 0))
            return
        self._record_rejection_limit(runner_id, ask)
        holder = SlotHolder(str(received.peer), ask.ask_id)
        if ask.wait_ms:
            self._enqueue_remote(received.peer, runner_id, holder, ask)
            return
        result = self.acquire(
            runner_id,
            holder,
            seen_mean=ask.seen_mean,
            load_factor=ask.load_factor,
            profile=_to_profile(ask),
        )
        if is_successful(result):
            grant = result.unwrap()
            reply = SlotReply(
                ask.ask_id,
                True,
                grant.in_use,
                prefill_tokens=grant.prefill_tokens,
                valid_ms=round(grant.valid_ms),
            )
        else:
            refusal = result.failure()
            reply = SlotReply(
                ask.ask_id,
                False,
                refusal.in_use,
                refusal.is_held,
                int(refusal.reason),
            )
        self._socket.send(received.peer, reply)

    def _record_rejection_limit(self, runner_id: str, ask: SlotAsk) -> None:
        entry = self._table.get(runner_id)
        if entry is not None and ask.rejections:
            self._brittle_pools.record_peer(
                entry.runner.pool, ask.rejections - 1, now_ms=self._timers.now_ms()
            )

    def _enqueue_remote(
        self, peer: PeerAddress, runner_id: str, holder: SlotHolder, ask: SlotAsk
    ) -> None:
        queued_ms = self._timers.now_ms()

        def send_reply(granted: bool) -> None:
            in_use = self._ledger.in_use(runner_id)
            valid_ms = self.grant_validity_ms(runner_id) if granted else 0.0
            if valid_ms:
                # Counted from the request on, since the clocks of two nodes differ.
                valid_ms += self._timers.now_ms() - queued_ms
            reply = SlotReply(ask.ask_id, granted, in_use, valid_ms=round(valid_ms))
            self._socket.send(peer, reply)

        self.enqueue(
            runner_id,
            holder,
            profile=_to_profile(ask),
            wait_ms=ask.wait_ms,
            on_result=send_reply,
        )

    def _receive_release(self, received: PeerMessage) -> None:
        release: SlotRelease = received.message
        runner_id = self._runner_ids_by_hash.get(release.runner)
        if runner_id is None:
            return
        end = LeaseEnd(
            release.is_answered,
            release.time_percent,
            release.is_rejected,
            release.is_unused,
        )
        self.end(runner_id, SlotHolder(str(received.peer), release.ask_id), end)

    def _receive_fault(self, received: PeerMessage) -> None:
        fault: RunnerFault = received.message
        runner_id = self._runner_ids_by_hash.get(fault.runner)
        if runner_id is None:
            return
        if fault.is_unreachable:
            self.record_unreachable(runner_id, reporter=str(received.peer))
        else:
            self.record_fault(runner_id)

    def _receive_renewal(self, received: PeerMessage) -> None:
        renewal: SlotRenewal = received.message
        runner_id = self._runner_ids_by_hash.get(renewal.runner)
        if runner_id is None:
            return
        # Nodes of an earlier release send no tokens.
        for ask_id, tokens in zip_longest(
            renewal.ask_ids, renewal.token_counts[: len(renewal.ask_ids)], fillvalue=0
        ):
            holder = SlotHolder(str(received.peer), ask_id)
            self.renew(runner_id, holder, tokens=tokens)


def _to_profile(ask: SlotAsk) -> CallProfile:
    prompt = PromptCost(
        ask.prompt_key, ask.shared_tokens, ask.own_tokens, ask.output_tokens
    )
    return CallProfile(
        ask.team, ask.priority, ask.objective_ms, prompt, ask.is_resumption
    )
