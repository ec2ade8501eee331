"""Asks other nodes whether they reach a runner, before it counts as dead for all."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from clementineyoke_core.edge.reach_verdict import ReachVerdict
from clementineyoke_core.hashing import hash_text
from clementineyoke_wire.messages import ReachAsk, ReachReply

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from clementineyoke_core.edge.peer_reach import PeerReach
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.edge.reach_monitor import ReachMonitor
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.timers.background_tasks import BackgroundTasks
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
MAX_WITNESSES = 3
OWN_PROBE_MS = 20.0
"""Head start of this node's own connection; a reachable runner accepts it sooner."""
REPLY_TIMEOUT_MS = 200.0
"""Time for a witness to try a connection, which it gives up after 120 ms."""


class ReachWitnesses:
    """Find out whether any node reaches a runner.

    A node that cannot reach a runner does not know whether others do. It asks a few
    peers that are in touch with the runner's pool to open a connection each.
    """

    def __init__(
        self,
        *,
        monitor: ReachMonitor,
        peer_reach: PeerReach,
        membership: Membership,
        table: RunnerTable,
        socket: PeerSocket,
        tasks: BackgroundTasks,
        timers: TimerService,
        probe: Callable[[Runner], Awaitable[bool]],
    ) -> None:
        """Create the witnesses; ``probe`` is described at ``ReachMonitor``."""
        self._monitor = monitor
        self._peer_reach = peer_reach
        self._membership = membership
        self._table = table
        self._socket = socket
        self._tasks = tasks
        self._timers = timers
        self._probe = probe
        socket.handle(ReachAsk, self._receive_ask)

    async def ask(
        self, runner: Runner, *, without: Collection[str] = ()
    ) -> ReachVerdict:
        """Return whether this node or a witness reaches a runner.

        ``UNREACHABLE`` means that nobody does, although at least one of them reaches
        others of the pool. Nodes whose address is in ``without`` are not asked.
        """
        own = asyncio.ensure_future(self._try(runner))
        try:
            done, _ = await asyncio.wait({own}, timeout=OWN_PROBE_MS / MS_PER_S)
            if done and own.result() is ReachVerdict.REACHED:
                return ReachVerdict.REACHED
            asked = [
                asyncio.ensure_future(self._ask_one(node, runner))
                for node in self._choose(runner, without)
            ]
            verdicts = []
            for future in asyncio.as_completed([own, *asked]):
                verdicts.append(await future)
                if verdicts[-1] is ReachVerdict.REACHED:
                    break
            for task in asked:
                task.cancel()
            return _combine(verdicts)
        finally:
            own.cancel()

    def _choose(self, runner: Runner, without: Collection[str]) -> list[Node]:
        local_node = self._membership.local_node
        peers = [
            node
            for node in self._membership.confirmed_alive(region=local_node.region)
            if node != local_node and f"{node.address}:{node.peer_port}" not in without
        ]
        return self._peer_reach.choose(
            peers,
            hash_text(runner.pool),
            max_nodes=MAX_WITNESSES,
            now_ms=self._timers.now_ms(),
        )

    async def _ask_one(self, node: Node, runner: Runner) -> ReachVerdict:
        ask = ReachAsk(self._socket.next_ask_id(), runner.lifetime_hash)
        with suppress(TimeoutError, ValueError):
            reply = await self._socket.request(
                node, ask, reply_type=ReachReply, timeout_ms=REPLY_TIMEOUT_MS
            )
            return ReachVerdict(reply.verdict)
        return ReachVerdict.UNKNOWN

    async def _try(self, runner: Runner) -> ReachVerdict:
        """Return whether this node reaches a runner."""
        if self._monitor.is_isolated(runner.pool):
            return ReachVerdict.UNKNOWN
        if await self._probe(runner):
            self._monitor.record_connected(runner)
            return ReachVerdict.REACHED
        self._monitor.record_unreachable(runner)
        # A node that is cut off as well learns of it by this runner first.
        await self._monitor.settle(runner.pool)
        if self._monitor.is_isolated(runner.pool):
            return ReachVerdict.UNKNOWN
        return ReachVerdict.UNREACHABLE

    def _receive_ask(self, received: PeerMessage) -> None:
        self._tasks.spawn(self._reply(received), name="witness_reach")

    async def _reply(self, received: PeerMessage) -> None:
        ask: ReachAsk = received.message
        verdict = ReachVerdict.UNKNOWN
        for entry in self._table.entries():
            if entry.runner.lifetime_hash == ask.runner:
                verdict = await self._try(entry.runner)
        self._socket.send(received.peer, ReachReply(ask.ask_id, int(verdict)))


def _combine(verdicts: Collection[ReachVerdict]) -> ReachVerdict:
    for verdict in (ReachVerdict.REACHED, ReachVerdict.UNREACHABLE):
        if verdict in verdicts:
            return verdict
    return ReachVerdict.UNKNOWN
