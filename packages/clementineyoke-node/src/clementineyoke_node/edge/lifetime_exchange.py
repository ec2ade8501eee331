"""Tells the nodes of a region which runners have ended before their entries did."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.store_freshness import ViewPart
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import RunnerEnd

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner
    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_node.node_state import NodeState
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.timers.timer_service import TimerService

REPEAT_INTERVAL_MS = 1_000.0
"""Shortest time between two messages about the same runner. A message may be lost, so
that it is sent again for as long as there is new evidence."""


class LifetimeExchange:
    """Share evidence that runners have ended, and end doubts that the store settles.

    Each node tells the runner's home, which tells all others: at a crash many nodes
    notice it at once.
    """

    def __init__(
        self,
        *,
        state: NodeState,
        view: FleetView,
        socket: PeerSocket,
        timers: TimerService,
    ) -> None:
        self._membership = state.membership
        self._homes = state.region_homes
        self._table = state.table
        self._view = view
        self._socket = socket
        self._timers = timers
        self._sent_ms: dict[int, float] = {}
        socket.handle(RunnerEnd, self._receive)

    def record_end(self, runner: Runner) -> None:
        """Record that a runner's host refused a connection of this node."""
        if not self._table.is_current(runner):
            return
        self._record(runner, "connect")
        if not self._may_send(runner.lifetime_hash):
            return
        home_id = self._homes.home_of(runner.runner_id)
        local_node = self._membership.local_node
        if home_id == local_node.node_id:
            self._relay(runner.lifetime_hash)
            return
        home = None if home_id is None else self._membership.node(home_id)
        if home is not None:
            end = RunnerEnd(runner.lifetime_hash)
            self._socket.send(PeerAddress.of(home), end)

    async def run_round(self) -> None:
        """End the doubts about runners whose entries the store has confirmed since."""
        confirmed_ms = self._timers.now_ms() - self._view.ages().runners_ms
        self._table.doubts.record_view(
            confirmed_ms=confirmed_ms, is_stale=self._view.is_stale(ViewPart.RUNNERS)
        )

    def _record(self, runner: Runner, source: str) -> None:
        now_ms = self._timers.now_ms()
        if self._table.doubts.record_end(runner, now_ms=now_ms):
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
        if not end.is_relayed and self._may_send(end.runner):
            self._relay(end.runner)

    def _may_send(self, lifetime_hash: int) -> bool:
        """Return whether a message about a lifetime is due, and count it as sent."""
        now_ms = self._timers.now_ms()
        self._sent_ms = {
            known: sent_ms
            for known, sent_ms in self._sent_ms.items()
            if now_ms - sent_ms < REPEAT_INTERVAL_MS
        }
        if lifetime_hash in self._sent_ms:
            return False
        self._sent_ms[lifetime_hash] = now_ms
        return True

    def _relay(self, lifetime_hash: int) -> None:
        local_node = self._membership.local_node
        peers = [
            PeerAddress.of(node)
            for node in self._membership.alive(region=local_node.region)
            if node != local_node
        ]
        self._socket.send_all(peers, RunnerEnd(lifetime_hash, is_relayed=True))
