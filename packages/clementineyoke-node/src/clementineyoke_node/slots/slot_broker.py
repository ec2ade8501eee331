"""The asking side: find a runner for a request and hold a slot on it."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from clementineyoke_core.slot_ledger import SlotGrant, SlotHolder, SlotRefusal
from clementineyoke_core.slot_search import SlotAttempt, SlotSearch
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_node.slots.slot_lease import PassedOver, SlotLease
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import (
    RunnerFault,
    SlotAsk,
    SlotRelease,
    SlotRenewal,
    SlotReply,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_core.pool_rings import PoolRings
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_homes import RunnerHomes
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.peers.peer_socket import PeerSocket
    from clementineyoke_node.slots.slot_home import SlotHome
    from clementineyoke_node.slots.slot_request import SlotRequest


MS_PER_S = 1000.0
LONGEST_WAIT_MS = 60_000
"""What fits the message's field; settings allow no longer wait."""


class SlotBroker:
    """Own the leases of this node's requests."""

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
        is_cold: Callable[[Runner], bool] = lambda _: False,
    ) -> None:
        """Take the parts; ``is_cold`` tells which runners bear few calls for now."""
        self._membership = membership
        self._own_id = membership.local_node.node_id
        self._table = table
        self._rings = rings
        self._homes = homes
        self._slot_home = slot_home
        self._socket = socket
        self._timeout_ms = timeout_ms
        self._is_cold = is_cold
        self._leases: dict[int, SlotLease] = {}
        self._last_in_use: dict[str, int] = {}
        self._answered: set[int] = set()

    async def acquire(self, wish: SlotRequest) -> SlotLease | None:
        """Return a lease on the first runner that grants one.

        The preferred runner, if it is ready and of the pool, is asked before the
        others in the key's order. With none under its bound the request waits at the
        first one's home.
        """
        search = self._make_search(wish)
        first: SlotAttempt | None = None
        while (attempt := search.next_attempt()) is not None:
            first = first or attempt
            runner = self._runner_of(attempt)
            if runner is None:
                search.record_timeout(attempt)
                continue
            ask_id = self._socket.next_ask_id()
            answer = await self._ask(runner, attempt, ask_id, wish.load_factor)
            if answer is None:
                search.record_timeout(attempt)
            elif is_successful(answer):
                reason = "affinity" if attempt.rank == 0 else "displaced"
                lease = self._keep(
                    runner,
                    attempt,
                    ask_id,
                    reason=reason,
                    passed_over=self._explain_passed(search, wish, runner),
                )
                if lease is not None:
                    return lease
            else:
                refusal = answer.failure()
                search.record_refusal(
                    attempt, in_use=refusal.in_use, is_held=refusal.is_held
                )
        last_choice = search.fallback(
            self._last_in_use, is_eligible=self._may_take_uncounted
        )
        if last_choice is not None:
            runner = self._runner_of(last_choice)
            if runner is None:
                return None
            ask_id = self._socket.next_ask_id()
            return self._keep(runner, last_choice, ask_id, reason="home_silent")
        if first is None or wish.wait_ms <= 0:
            return None
        return await self._wait(first, wish)

    def has_available_runner(self, pool: str) -> bool:
        """Whether any runner of a pool takes new calls."""
        return self.has_untried_runner(pool, set())

    def backoff_left_ms(self, pool: str, *, now_ms: float) -> float:
        """Return the shortest time left to back off from a runner of a pool, or 0."""
        return self._table.backoff_remaining_ms(pool, now_ms=now_ms)

    def has_untried_runner(self, pool: str, tried: set[str]) -> bool:
        """Whether a pool has a ready runner besides those that were tried."""
        return any(runner_id not in tried for runner_id in self._rings.order(pool, 0))

    def adopt(self, runner: Runner) -> SlotLease:
        """Hold a slot for work that is on the runner already, whatever its load."""
        ask_id = self._socket.next_ask_id()
        lease = SlotLease(runner, ask_id, "resume", 0)
        self._leases[ask_id] = lease
        self._renew_at_home(runner, [ask_id])
        return lease

    @contextmanager
    def holding(self, lease: SlotLease) -> Iterator[SlotLease]:
        """Give the slot back at the end, however the request ended."""
        try:
            yield lease
        finally:
            self._release(lease)

    def record_answered(self, lease: SlotLease) -> None:
        """Note that the runner answered; its home is told with the slot's release."""
        self._answered.add(lease.ask_id)

    def report_fault(self, runner: Runner, *, is_unreachable: bool = False) -> None:
        """Tell a runner's home that a call there failed or is overdue."""
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
        """Return the zones that were passed over, with the orders' revisions."""
        return self._table.evacuated_zones()

    def lease_count(self) -> int:
        """Return how many slots this node's requests hold."""
        return len(self._leases)

    async def renew(self) -> None:
        """Renew all leases, one message a runner."""
        by_runner: dict[Runner, list[int]] = {}
        for lease in self._leases.values():
            by_runner.setdefault(lease.runner, []).append(lease.ask_id)
        for runner, ask_ids in by_runner.items():
            self._renew_at_home(runner, ask_ids)

    def _renew_at_home(self, runner: Runner, ask_ids: list[int]) -> None:
        home = self._home_of(runner.runner_id)
        if home is None or not self._table.is_current(runner):
            # What was sent to a lifetime that is over runs nowhere.
            return
        if home.node_id == self._own_id:
            for ask_id in ask_ids:
                self._slot_home.renew(runner.runner_id, self._own_hold(ask_id))
            return
        renewal = SlotRenewal(runner.lifetime_hash, ask_ids)
        self._socket.send(PeerAddress.of(home), renewal)

    async def _ask(
        self, runner: Runner, attempt: SlotAttempt, ask_id: int, load_factor: float
    ) -> Result[SlotGrant, SlotRefusal] | None:
        """Return the home's answer, or None if it gave none."""
        runner_id = runner.runner_id
        home = self._home_of(runner_id)
        if home is None:
            return None
        if home.node_id == self._own_id:
            return self._slot_home.ask(
                runner_id,
                self._own_hold(ask_id),
                seen_mean=attempt.seen_mean,
                load_factor=load_factor,
            )
        ask = SlotAsk(
            ask_id, runner.lifetime_hash, attempt.seen_mean, load_factor=load_factor
        )
        try:
            reply = await self._socket.ask(
                home, ask, reply_type=SlotReply, timeout_ms=self._timeout_ms
            )
        except asyncio.CancelledError:
            # The caller is gone; the ask may yet be granted, to nobody.
            self._give_back(runner, ask_id)
            raise
        except TimeoutError:
            log_event(Event.HOME_SILENT, home=home.node_id, runner=runner_id)
            self._membership.suspect(home.node_id)
            # The ask may have been granted and only its reply lost.
            self._give_back(runner, ask_id)
            return None
        self._last_in_use[runner_id] = reply.in_use
        if reply.granted:
            return Success(SlotGrant(runner_id, reply.in_use))
        return Failure(SlotRefusal(runner_id, reply.in_use, reply.is_held))

    def _make_search(self, wish: SlotRequest) -> SlotSearch:
        order = (
            runner_id
            for runner_id in self._rings.order(wish.pool, wish.key)
            if runner_id not in wish.tried
        )
        preferred = wish.preferred
        if preferred in wish.tried or not self._rings.has_ready(wish.pool, preferred):
            preferred = None
        return SlotSearch(order=order, preferred=preferred)

    async def _wait(self, attempt: SlotAttempt, wish: SlotRequest) -> SlotLease | None:
        runner = self._runner_of(attempt)
        home = self._home_of(attempt.runner_id)
        if home is None or runner is None:
            return None
        ask_id = self._socket.next_ask_id()
        try:
            if home.node_id == self._own_id:
                granted = await self._wait_here(runner.runner_id, ask_id, wish)
            else:
                granted = await self._wait_at(home, runner, ask_id, wish)
        except (TimeoutError, asyncio.CancelledError) as error:
            # Given up: a grant under way must not hold the slot until it lapses.
            self._give_back(runner, ask_id)
            if isinstance(error, asyncio.CancelledError):
                raise
            return None
        if not granted:
            return None
        return self._keep(runner, attempt, ask_id, reason="waited")

    async def _wait_here(self, runner_id: str, ask_id: int, wish: SlotRequest) -> bool:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()

        def answer(granted: bool) -> None:
            if not future.done():
                future.set_result(granted)

        self._slot_home.wait(
            runner_id,
            self._own_hold(ask_id),
            team=wish.team,
            priority=wish.priority,
            wait_ms=wish.wait_ms,
            on_answer=answer,
        )
        return await asyncio.wait_for(future, wish.wait_ms / MS_PER_S)

    async def _wait_at(
        self, home: Node, runner: Runner, ask_id: int, wish: SlotRequest
    ) -> bool:
        ask = SlotAsk(
            ask_id,
            runner.lifetime_hash,
            0.0,
            wait_ms=min(wish.wait_ms, LONGEST_WAIT_MS),
            team=wish.team,
            priority=wish.priority,
        )
        reply = await self._socket.ask(
            home, ask, reply_type=SlotReply, timeout_ms=ask.wait_ms
        )
        return reply.granted

    def _explain_passed(
        self, search: SlotSearch, wish: SlotRequest, runner: Runner
    ) -> tuple[PassedOver, ...]:
        held = tuple(
            PassedOver(
                runner_id, "paused" if self._may_take_uncounted(runner_id) else "cold"
            )
            for runner_id in search.held_runner_ids()
        )
        closed = self._rings.unavailable_before(wish.pool, wish.key, runner.runner_id)
        return held + tuple(PassedOver(*one) for one in closed)

    def _keep(
        self,
        runner: Runner,
        attempt: SlotAttempt,
        ask_id: int,
        *,
        reason: str,
        passed_over: tuple[PassedOver, ...] = (),
    ) -> SlotLease | None:
        if not self._takes_calls(runner):
            # It changed while the home was asked.
            self._give_back(runner, ask_id)
            return None
        lease = SlotLease(runner, ask_id, reason, attempt.rank, passed_over)
        self._leases[ask_id] = lease
        return lease

    def _takes_calls(self, runner: Runner) -> bool:
        """Whether a runner is current, and not draining, backed off or evacuated."""
        if not self._table.is_current(runner) or self._table.is_evacuated(runner):
            return False
        if self._table.is_backed_off(runner):
            return False
        return not self._table.is_draining(runner.runner_id)

    def _release(self, lease: SlotLease) -> None:
        self._leases.pop(lease.ask_id, None)
        is_answered = lease.ask_id in self._answered
        self._answered.discard(lease.ask_id)
        self._give_back(lease.runner, lease.ask_id, is_answered=is_answered)

    def _give_back(
        self, runner: Runner, ask_id: int, *, is_answered: bool = False
    ) -> None:
        home = self._home_of(runner.runner_id)
        if home is None:
            return
        if home.node_id == self._own_id:
            if is_answered:
                self._slot_home.record_answer(runner.runner_id)
            self._slot_home.release(runner.runner_id, self._own_hold(ask_id))
            return
        release = SlotRelease(ask_id, runner.lifetime_hash, is_answered)
        self._socket.send(PeerAddress.of(home), release)

    def _may_take_uncounted(self, runner_id: str) -> bool:
        """Whether a runner may get a call that its home has not granted.

        Each node would send such calls to a cold runner on its own, and it would end.
        """
        entry = self._table.get(runner_id)
        return entry is not None and not self._is_cold(entry.runner)

    def _runner_of(self, attempt: SlotAttempt) -> Runner | None:
        entry = self._table.get(attempt.runner_id)
        return None if entry is None else entry.runner

    def _home_of(self, runner_id: str) -> Node | None:
        home_id = self._homes.home_of(runner_id)
        return None if home_id is None else self._membership.node(home_id)

    def _own_hold(self, ask_id: int) -> SlotHolder:
        return SlotHolder(self._own_id, ask_id)
