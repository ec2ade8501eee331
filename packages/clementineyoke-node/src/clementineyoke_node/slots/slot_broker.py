"""Client side of slot allocation: acquire a slot on a runner for a request."""

from __future__ import annotations

import asyncio
import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.lease_end import UNKNOWN_END, LeaseEnd
from clementineyoke_core.overload.home_liveness import HomeLiveness
from clementineyoke_core.slot_ledger import SlotGrant, SlotHolder, SlotRefusal
from clementineyoke_core.slot_search import MAX_REQUESTS, SlotAttempt, SlotSearch
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_node.slots.slot_lease import SkippedRunner, SlotLease
from clementineyoke_node.timers.bounded_wait import wait_for_result
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import (
    RunnerFault,
    SlotAsk,
    SlotRelease,
    SlotRenewal,
    SlotReply,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from clementineyoke_core.grants.call_profile import CallProfile
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_core.pool_rings import PoolRings
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_homes import RunnerHomes
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.peers.peer_socket import PeerSocket
    from clementineyoke_node.slots.slot_home import SlotHome
    from clementineyoke_node.slots.slot_request import SlotRequest


MAX_WAIT_MS = 60_000
"""Fits the ``wait_ms`` field of ``SlotAsk``; settings allow no longer wait."""
MAX_TOKENS = 2**32 - 1
"""Largest token count in a message; callers may state larger ones."""

MAX_REQUESTS_IN_SHORTAGE = 3
"""Runners tried while a pool is short of capacity, before the last-resort requests.

All runners are near their bound then. With eight requests per call a surge costs the
homes so much processor time that they reply late, also to the calls that they grant.
"""
_KNOWN_REASONS = frozenset(int(reason) for reason in RefusalReason)


class SlotBroker:
    """Acquires, renews and releases the slot leases of this node's requests."""

    def __init__(
        self,
        *,
        membership: Membership,
        table: RunnerTable,
        rings: PoolRings,
        homes: RunnerHomes,
        slot_home: SlotHome,
        socket: PeerSocket,
        timeout_ms: float,
        is_limited: Callable[[Runner], bool] = lambda _: False,
        is_short: Callable[[str], bool] = lambda _: False,
        rejection_limit: Callable[[str], int | None] = lambda _: None,
        now_ms: Callable[[], float] = TimerService.now_ms,
    ) -> None:
        """Create a broker.

        ``is_limited`` returns whether only a runner's home knows what it can take now,
        ``is_short`` whether a pool has more calls than its runners can serve,
        ``rejection_limit`` how many calls a second a pool's runners may reject by their
        answers to this node, and ``now_ms`` the monotonic time.
        """
        self._membership = membership
        self._own_id = membership.local_node.node_id
        self._table = table
        self._rings = rings
        self._homes = homes
        self._slot_home = slot_home
        self._socket = socket
        self._timeout_ms = timeout_ms
        self._is_limited = is_limited
        self._is_short = is_short
        self._rejection_limit = rejection_limit
        self._now_ms = now_ms
        self._home_liveness = HomeLiveness()
        self._leases: dict[int, SlotLease] = {}
        self._last_in_use: dict[str, int] = {}
        self._ends: dict[int, LeaseEnd] = {}
        """How the calls that were answered or not sent ended, by ask id."""

    async def acquire(self, request: SlotRequest) -> SlotLease | None:
        """Return a lease on the first runner that grants one, or None.

        The preferred runner, if it is ready and belongs to the pool, is tried before
        the others in the key's order. If all are at their bound, the request queues at
        the home of the first runner that may still take it.
        """
        search = self._make_search(request)
        refusals = {} if request.refusals is None else request.refusals
        attempts: list[SlotAttempt] = []
        while (attempt := search.next_attempt()) is not None:
            runner = self._find_runner(attempt.runner_id, request)
            if runner is None:
                search.record_timeout(attempt)
                continue
            attempts.append(attempt)
            ask_id = self._socket.next_ask_id()
            asked_ms = self._now_ms()
            result = await self._request_slot(runner, attempt, ask_id, request)
            if result is None:
                search.record_timeout(attempt)
            elif is_successful(result):
                reason = "affinity" if attempt.rank == 0 else "displaced"
                lease = self._create_lease(
                    runner,
                    attempt,
                    ask_id,
                    reason=reason,
                    passed_over=self._list_skipped(search, request, runner)
                    + _list_refused(refusals, runner),
                    tokens=request.profile.prompt.total_tokens,
                    prefill_tokens=result.unwrap().prefill_tokens,
                    send_before_ms=_send_before_ms(asked_ms, result.unwrap().valid_ms),
                )
                if lease is not None:
                    return lease
            else:
                refusal = result.failure()
                refusals[runner.runner_id] = refusal.reason
                search.record_refusal(
                    attempt, in_use=refusal.in_use, reason=refusal.reason
                )
        may_bypass = self._may_bypass_home
        if self._is_short(request.pool):
            may_bypass = self._may_bypass_in_shortage
        fallback = search.fallback(
            self._last_in_use,
            is_eligible=lambda i: bool(self._find_runner(i, request)) and may_bypass(i),
        )
        if fallback and (runner := self._find_runner(fallback.runner_id, request)):
            ask_id = self._socket.next_ask_id()
            return self._create_lease(
                runner,
                fallback,
                ask_id,
                reason="home_silent",
                tokens=request.profile.prompt.total_tokens,
            )
        for attempt in attempts if request.wait_ms > 0 else ():
            if runner := self._find_runner(attempt.runner_id, request):
                return await self._wait_for_slot(runner, attempt, request)
        return None

    def has_available_runner(self, pool: str, *, version: str | None = None) -> bool:
        """Return whether a pool has a runner to try; see ``has_untried_runner``."""
        return self.has_untried_runner(pool, set(), version=version)

    def backoff_remaining_ms(self, pool: str, *, now_ms: float) -> float:
        """Return the shortest remaining backoff of a pool's runners, or 0."""
        return self._table.backoff_remaining_ms(pool, now_ms=now_ms)

    def has_untried_runner(
        self, pool: str, tried: Collection[str], *, version: str | None = None
    ) -> bool:
        """Return whether a pool has a runner to try that is not in ``tried``.

        Quarantined runners count only if none is ready. With ``version`` only runners
        of that software version count.
        """
        order = self._rings.order(pool, 0, version=version)
        return any(runner_id not in tried for runner_id in order)

    def adopt(self, runner: Runner) -> SlotLease:
        """Return a lease for work that already runs on a runner, whatever its load."""
        ask_id = self._socket.next_ask_id()
        lease = SlotLease(runner, ask_id, "resume", 0)
        self._leases[ask_id] = lease
        self._renew_at_home(runner, [lease])
        return lease

    @contextmanager
    def holding(self, lease: SlotLease) -> Iterator[SlotLease]:
        """Release the lease when the block exits, also on an error."""
        try:
            yield lease
        finally:
            self._end_lease(lease)

    def record_answer(
        self, lease: SlotLease, *, time_percent: int = 0, is_rejected: bool = False
    ) -> None:
        """Record that the runner answered.

        The runner's home learns of it with the release of the slot. ``time_percent`` is
        the time of the answer in percent of its route's mean, or 0 if unknown.
        """
        self._ends[lease.ask_id] = LeaseEnd(
            is_answered=True, time_percent=time_percent, is_rejected=is_rejected
        )

    def record_unused(self, lease: SlotLease) -> None:
        """Record that the call was not sent to the runner."""
        self._ends[lease.ask_id] = LeaseEnd(is_unused=True)

    def report_fault(self, runner: Runner, *, is_unreachable: bool = False) -> None:
        """Report to a runner's home that a call to the runner failed or is overdue."""
        home = self._home_of(runner.runner_id)
        if home is None:
            return
        if home.node_id != self._own_id:
            fault = RunnerFault(runner.lifetime_hash, is_unreachable)
            self._socket.send(PeerAddress.of(home), fault)
            return
        if not self._table.is_current(runner):
            return
        if is_unreachable:
            self._slot_home.record_unreachable(runner.runner_id, reporter=self._own_id)
        else:
            self._slot_home.record_fault(runner.runner_id)

    def evacuated_zones(self) -> dict[str, int]:
        """Return the evacuated zones with the revision of each evacuation order."""
        return self._table.evacuated_zones()

    def lease_count(self) -> int:
        """Return the number of slots held by this node's requests."""
        return len(self._leases)

    async def renew(self) -> None:
        """Renew all leases with one message per runner."""
        by_runner: dict[Runner, list[SlotLease]] = {}
        for lease in self._leases.values():
            by_runner.setdefault(lease.runner, []).append(lease)
        for runner, leases in by_runner.items():
            self._renew_at_home(runner, leases)

    def _renew_at_home(self, runner: Runner, leases: list[SlotLease]) -> None:
        home = self._home_of(runner.runner_id)
        if home is None or not self._table.is_current(runner):
            # Requests sent to a previous lifetime of the runner no longer run.
            return
        if home.node_id == self._own_id:
            for lease in leases:
                holder = self._own_holder(lease.ask_id)
                self._slot_home.renew(runner.runner_id, holder, tokens=lease.tokens)
            return
        tokens = [lease.tokens for lease in leases]
        renewal = SlotRenewal(
            runner.lifetime_hash,
            [lease.ask_id for lease in leases],
            tokens if any(tokens) else [],
        )
        self._socket.send(PeerAddress.of(home), renewal)

    async def _request_slot(
        self,
        runner: Runner,
        attempt: SlotAttempt,
        ask_id: int,
        request: SlotRequest,
    ) -> Result[SlotGrant, SlotRefusal] | None:
        """Return the home's result, or None if the home did not reply in time."""
        runner_id = runner.runner_id
        home = self._home_of(runner_id)
        if home is None:
            return None
        if home.node_id == self._own_id:
            return self._slot_home.acquire(
                runner_id,
                self._own_holder(ask_id),
                seen_mean=attempt.seen_mean,
                load_factor=request.load_factor,
                profile=request.profile,
            )
        ask = _describe(
            SlotAsk(
                ask_id,
                runner.lifetime_hash,
                attempt.seen_mean,
                load_factor=request.load_factor,
                rejections=self._encode_rejection_limit(runner.pool),
                is_resumption=request.profile.is_resumption,
            ),
            request.profile,
        )
        try:
            reply = await self._socket.request(
                home, ask, reply_type=SlotReply, timeout_ms=self._timeout_ms
            )
        except asyncio.CancelledError:
            # The caller disconnected, but the home may still grant the slot.
            self._release_at_home(runner, ask_id)
            raise
        except TimeoutError:
            log_event(Event.HOME_SILENT, home=home.node_id, runner=runner_id)
            self._membership.suspect(home.node_id)
            # The home may have granted the slot and only the reply was lost.
            self._release_at_home(runner, ask_id)
            return None
        self._home_liveness.record_reply(home.node_id, now_ms=self._now_ms())
        self._last_in_use[runner_id] = reply.in_use
        if reply.granted:
            return Success(
                SlotGrant(runner_id, reply.in_use, reply.prefill_tokens, reply.valid_ms)
            )
        return Failure(SlotRefusal(runner_id, reply.in_use, _to_reason(reply)))

    def _make_search(self, request: SlotRequest) -> SlotSearch:
        order = (
            runner_id
            for runner_id in self._rings.order(
                request.pool, request.key, version=request.version
            )
            if runner_id not in request.tried
        )
        preferred = request.preferred
        if preferred in request.tried or not self._rings.has_ready(
            request.pool, preferred
        ):
            preferred = None
        max_requests = MAX_REQUESTS
        if self._is_short(request.pool):
            max_requests = MAX_REQUESTS_IN_SHORTAGE
        return SlotSearch(order=order, preferred=preferred, max_requests=max_requests)

    async def _wait_for_slot(
        self, runner: Runner, attempt: SlotAttempt, request: SlotRequest
    ) -> SlotLease | None:
        home = self._home_of(runner.runner_id)
        if home is None:
            return None
        ask_id = self._socket.next_ask_id()
        try:
            if home.node_id == self._own_id:
                send_before_ms = await self._wait_locally(
                    runner.runner_id, ask_id, request
                )
            else:
                send_before_ms = await self._wait_remotely(
                    home, runner, ask_id, request
                )
        except (TimeoutError, asyncio.CancelledError) as error:
            # A grant that is still on its way would occupy the slot until its lease
            # expires.
            self._release_at_home(runner, ask_id)
            if isinstance(error, asyncio.CancelledError):
                raise
            return None
        if send_before_ms is None:
            return None
        return self._create_lease(
            runner,
            attempt,
            ask_id,
            reason="waited",
            tokens=request.profile.prompt.total_tokens,
            send_before_ms=send_before_ms,
        )

    async def _wait_locally(
        self, runner_id: str, ask_id: int, request: SlotRequest
    ) -> float | None:
        """Return until when the call may be sent, or None without a slot."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[float | None] = loop.create_future()

        def resolve(granted: bool) -> None:
            if not future.done():
                valid_ms = self._slot_home.grant_validity_ms(runner_id)
                send_before_ms = _send_before_ms(self._now_ms(), valid_ms)
                future.set_result(send_before_ms if granted else None)

        self._slot_home.enqueue(
            runner_id,
            self._own_holder(ask_id),
            profile=request.profile,
            wait_ms=request.wait_ms,
            on_result=resolve,
        )
        return await wait_for_result(future, timeout_ms=request.wait_ms)

    async def _wait_remotely(
        self, home: Node, runner: Runner, ask_id: int, request: SlotRequest
    ) -> float | None:
        """Return until when the call may be sent, or None without a slot."""
        asked_ms = self._now_ms()
        profile = request.profile
        ask = _describe(
            SlotAsk(
                ask_id,
                runner.lifetime_hash,
                0.0,
                wait_ms=min(request.wait_ms, MAX_WAIT_MS),
                team=profile.team,
                priority=profile.priority,
                rejections=self._encode_rejection_limit(runner.pool),
                is_resumption=profile.is_resumption,
            ),
            profile,
        )
        reply = await self._socket.request(
            home, ask, reply_type=SlotReply, timeout_ms=ask.wait_ms
        )
        return _send_before_ms(asked_ms, reply.valid_ms) if reply.granted else None

    def _list_skipped(
        self, search: SlotSearch, request: SlotRequest, runner: Runner
    ) -> tuple[SkippedRunner, ...]:
        held = tuple(
            SkippedRunner(runner_id, self._held_label(runner_id, reason))
            for runner_id, reason in search.held_runners()
        )
        unavailable = self._rings.unavailable_before(
            request.pool, request.key, runner.runner_id
        )
        return held + tuple(SkippedRunner(*entry) for entry in unavailable)

    def _held_label(self, runner_id: str, reason: RefusalReason) -> str:
        if reason is RefusalReason.SPEED:
            return reason.label
        # Homes of an earlier release do not tell "paused" from "cold". Of such runners,
        # only the cold ones may not bypass their home.
        return "paused" if self._may_bypass_home(runner_id) else "cold"

    def _create_lease(
        self,
        runner: Runner,
        attempt: SlotAttempt,
        ask_id: int,
        *,
        reason: str,
        passed_over: tuple[SkippedRunner, ...] = (),
        tokens: int = 0,
        prefill_tokens: int = 0,
        send_before_ms: float = math.inf,
    ) -> SlotLease | None:
        if not self._accepts_calls(runner):
            # The runner's state changed while the request to the home was pending.
            self._release_at_home(runner, ask_id)
            return None
        late_ms = self._now_ms() - send_before_ms
        if late_ms > 0.0:
            # The call would reach a cold runner together with the next one.
            log_event(
                Event.GRANT_EXPIRED, runner=runner.runner_id, late_ms=round(late_ms)
            )
            self._release_at_home(runner, ask_id)
            return None
        lease = SlotLease(
            runner,
            ask_id,
            reason,
            attempt.rank,
            passed_over,
            min(tokens, MAX_TOKENS),
            prefill_tokens,
            send_before_ms,
        )
        self._leases[ask_id] = lease
        return lease

    def _accepts_calls(self, runner: Runner) -> bool:
        """Return False for an outdated, draining, backed off or evacuated runner."""
        if not self._table.is_current(runner) or self._table.is_evacuated(runner):
            return False
        if self._table.is_backed_off(runner):
            return False
        return not self._table.is_draining(runner.runner_id)

    def _end_lease(self, lease: SlotLease) -> None:
        self._leases.pop(lease.ask_id, None)
        end = self._ends.pop(lease.ask_id, UNKNOWN_END)
        self._release_at_home(lease.runner, lease.ask_id, end)

    def _release_at_home(
        self, runner: Runner, ask_id: int, end: LeaseEnd = UNKNOWN_END
    ) -> None:
        home = self._home_of(runner.runner_id)
        if home is None:
            return
        if home.node_id == self._own_id:
            self._slot_home.end(runner.runner_id, self._own_holder(ask_id), end)
            return
        release = SlotRelease(
            ask_id,
            runner.lifetime_hash,
            end.is_answered,
            end.time_percent,
            end.is_rejected,
            end.is_unused,
        )
        self._socket.send(PeerAddress.of(home), release)

    def _may_bypass_home(self, runner_id: str) -> bool:
        """Return whether a call may be sent to a runner without a grant from its home.

        Cold runners are excluded: each node would send such calls independently, and
        the total would crash the runner.
        """
        entry = self._table.get(runner_id)
        return entry is not None and not self._is_limited(entry.runner)

    def _may_bypass_in_shortage(self, runner_id: str) -> bool:
        """Return whether a call may bypass a home while its pool is short of capacity.

        A home that has replied recently is only busy and will grant or refuse the call
        from its queue.
        """
        home = self._home_of(runner_id)
        if home is not None and self._home_liveness.is_busy(
            home.node_id, now_ms=self._now_ms()
        ):
            return False
        return self._may_bypass_home(runner_id)

    def _encode_rejection_limit(self, pool: str) -> int:
        limit = self._rejection_limit(pool)
        return 0 if limit is None else limit + 1

    def _find_runner(self, runner_id: str, request: SlotRequest) -> Runner | None:
        return self._table.find(runner_id, version=request.version)

    def _home_of(self, runner_id: str) -> Node | None:
        home_id = self._homes.home_of(runner_id)
        return None if home_id is None else self._membership.node(home_id)

    def _own_holder(self, ask_id: int) -> SlotHolder:
        return SlotHolder(self._own_id, ask_id)


def _list_refused(
    refusals: dict[str, RefusalReason], chosen: Runner
) -> tuple[SkippedRunner, ...]:
    """Return the runners that were refused for the work that the call adds."""
    return tuple(
        SkippedRunner(runner_id, reason.label)
        for runner_id, reason in refusals.items()
        if runner_id != chosen.runner_id
        and reason is not RefusalReason.LOAD
        and not reason.is_held
    )


def _send_before_ms(since_ms: float, valid_ms: float) -> float:
    """Return until when a call may be sent; ``valid_ms`` is 0 for no limit."""
    return since_ms + valid_ms if valid_ms else math.inf


def _describe(ask: SlotAsk, profile: CallProfile) -> SlotAsk:
    """Add the description of a call to a request, if the call has one."""
    if not profile.is_described:
        return ask
    prompt = profile.prompt
    return ask._replace(
        team=profile.team,
        priority=profile.priority,
        objective_ms=min(profile.objective_ms, MAX_WAIT_MS),
        prompt_key=prompt.key,
        shared_tokens=min(prompt.shared_tokens, MAX_TOKENS),
        own_tokens=min(prompt.own_tokens, MAX_TOKENS),
        output_tokens=min(prompt.output_tokens, MAX_TOKENS),
    )


def _to_reason(reply: SlotReply) -> RefusalReason:
    """Return the reason of a refusal; a later release may send unknown ones."""
    if reply.reason in _KNOWN_REASONS:
        return RefusalReason(reply.reason)
    return RefusalReason.PAUSED if reply.is_held else RefusalReason.LOAD
