"""Tells the nodes of a region which runners have ended before their entries did."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from clementineyoke_core.edge.store_freshness import ViewPart
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import RunnerBack, RunnerEnd

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementineyoke_core.runner import Runner
    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_node.node_state import NodeState
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.timers.timer_service import TimerService

REPEAT_INTERVAL_MS = 1_000.0
"""Shortest time between two messages about the same runner. A message may be lost, so
that it is sent again for as long as there is new evidence."""
HOME_TRY_INTERVAL_MS = 250.0
"""How often the home of a runner in doubt tries a connection until one is accepted."""
OTHER_TRY_INTERVAL_MS = 5_000.0
"""How often all other nodes do, if they have not heard of one. The home may be gone, or
of a build that tries none."""
MAX_TRIES_AT_ONCE = 16
ENTRY_SOURCE = "entry"


class LifetimeExchange:
    """Share evidence that runners have ended, and end doubts that the store settles.

    Each node tells the runner's home, which tells all others: at a crash many nodes
    notice it at once. The home also tries until the runner accepts connections again,
    as no call may be sent to a quarantined runner.
    """

    def __init__(
        self,
        *,
        state: NodeState,
        view: FleetView,
        socket: PeerSocket,
        timers: TimerService,
        try_connection: Callable[[Runner], Awaitable[OSError | None]],
        on_doubt: Callable[[str], None],
    ) -> None:
        """Create the exchange.

        ``try_connection`` opens a connection to a runner, and returns why it failed.
        ``on_doubt`` is called with a pool of which a first runner is in doubt.
        """
        self._on_doubt = on_doubt
        self._doubtful_pools: set[str] = set()
        self._try_connection = try_connection
        self._membership = state.membership
        self._homes = state.region_homes
        self._table = state.table
        self._view = view
        self._socket = socket
        self._timers = timers
        self._sent: dict[int, tuple[type[RunnerEnd | RunnerBack], float]] = {}
        """Kind and time of the last message about a lifetime."""
        self._tried_ms: dict[str, float] = {}
        socket.handle(RunnerEnd, self._receive)
        socket.handle(RunnerBack, self._receive_back)

    def record_end(self, runner: Runner) -> None:
        """Record that a runner's host refused a connection of this node."""
        if not self._table.is_current(runner):
            return
        self._record(runner, "connect")
        if not self._may_send(RunnerEnd, runner.lifetime_hash):
            return
        if self._is_home(runner):
            self._relay(RunnerEnd(runner.lifetime_hash, is_relayed=True))
            return
        home_id = self._homes.home_of(runner.runner_id)
        home = None if home_id is None else self._membership.node(home_id)
        if home is not None:
            end = RunnerEnd(runner.lifetime_hash)
            self._socket.send(PeerAddress.of(home), end)

    async def run_round(self) -> None:
        """End doubts that the store settles, and report the pools of new ones."""
        confirmed_ms = self._timers.now_ms() - self._view.ages().runners_ms
        self._table.doubts.record_view(
            confirmed_ms=confirmed_ms, is_stale=self._view.is_stale(ViewPart.RUNNERS)
        )
        for runner in self._view.contradicted_runners():
            # Nothing settles this but an entry that agrees with the one in force.
            self._record(runner, ENTRY_SOURCE)
        pools = {runner.pool for runner in self._table.doubtful_runners()}
        begun, self._doubtful_pools = pools - self._doubtful_pools, pools
        for pool in begun:
            self._on_doubt(pool)

    async def try_runners(self) -> None:
        """Try connections to the runners in doubt for which that is due."""
        now_ms = self._timers.now_ms()
        doubtful = self._table.doubtful_runners()
        self._tried_ms = {
            runner.lifetime: self._tried_ms.get(runner.lifetime, now_ms)
            for runner in doubtful
        }
        due = [
            runner
            for runner in doubtful
            if now_ms - self._tried_ms[runner.lifetime] >= self._interval_ms(runner)
        ]
        await asyncio.gather(*map(self._try_runner, due[:MAX_TRIES_AT_ONCE]))

    async def _try_runner(self, runner: Runner) -> None:
        self._tried_ms[runner.lifetime] = self._timers.now_ms()
        error = await self._try_connection(runner)
        if isinstance(error, ConnectionRefusedError):
            self.record_end(runner)
        if error is not None:
            return
        self._table.doubts.record_accepted(runner, now_ms=self._timers.now_ms())
        if self._is_home(runner) and self._may_send(RunnerBack, runner.lifetime_hash):
            self._relay(RunnerBack(runner.lifetime_hash))

    def _interval_ms(self, runner: Runner) -> float:
        """Return how often this node tries a connection to a runner in doubt."""
        is_home = self._is_home(runner)
        if self._table.doubts.is_accepting(runner):
            return REPEAT_INTERVAL_MS if is_home else math.inf
        return HOME_TRY_INTERVAL_MS if is_home else OTHER_TRY_INTERVAL_MS

    def _is_home(self, runner: Runner) -> bool:
        local_id = self._membership.local_node.node_id
        return self._homes.home_of(runner.runner_id) == local_id

    def _record(self, runner: Runner, source: str) -> None:
        now_ms = self._timers.now_ms()
        is_new = self._table.doubts.record_end(runner, now_ms=now_ms)
        if is_new or source != ENTRY_SOURCE:
            self._table.ends.record(runner.runner_id, now_ms=now_ms)
        if is_new:
            log_event(
                Event.RUNNER_DOUBTED,
                runner=runner.runner_id,
                version=runner.version,
                source=source,
            )

    def _receive(self, received: PeerMessage) -> None:
        end: RunnerEnd = received.message
        for entry in self._table.entries():
            if entry.runner.lifetime_hash == end.runner:
                self._record(entry.runner, received.peer.address)
        if not end.is_relayed and self._may_send(RunnerEnd, end.runner):
            self._relay(RunnerEnd(end.runner, is_relayed=True))

    def _receive_back(self, received: PeerMessage) -> None:
        back: RunnerBack = received.message
        for runner in self._table.doubtful_runners():
            if runner.lifetime_hash == back.runner:
                now_ms = self._timers.now_ms()
                self._table.doubts.record_accepted(runner, now_ms=now_ms)

    def _may_send(self, kind: type[RunnerEnd | RunnerBack], lifetime_hash: int) -> bool:
        """Return whether a message about a lifetime is due, and count it as sent."""
        now_ms = self._timers.now_ms()
        self._sent = {
            known: last
            for known, last in self._sent.items()
            if now_ms - last[1] < REPEAT_INTERVAL_MS
        }
        last = self._sent.get(lifetime_hash)
        if last is not None and last[0] is kind:
            return False
        self._sent[lifetime_hash] = (kind, now_ms)
        return True

    def _relay(self, message: RunnerEnd | RunnerBack) -> None:
        local_node = self._membership.local_node
        peers = [
            PeerAddress.of(node)
            for node in self._membership.alive(region=local_node.region)
            if node != local_node
        ]
        self._socket.send_all(peers, message)
