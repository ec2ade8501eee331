"""Lets one call over the whole fleet try a factor whose refusal is over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_wire.messages import TrialAsk, TrialReply

if TYPE_CHECKING:
    from clementineyoke_core.home_nodes import HomeNodes
    from clementineyoke_core.membership import Membership
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.timers.timer_service import TimerService

TRIAL_INTERVAL_MS = 60_000.0
"""Time between two trials of a factor, the first of which had no clear result: its call
was given up, or no runner had room."""
ASK_TIMEOUT_MS = 150.0
NO_HOME_WAIT_MS = 5_000.0
"""Time to the next attempt if the factor's home node does not answer."""
KEY_BYTES = 8


class CrashTrials:
    """Asks the home node of a factor whether a call may try it.

    Without it each node would let a call through once a refusal is over, and a factor
    that still crashes runners would take down one for each node.
    """

    def __init__(
        self,
        *,
        homes: HomeNodes,
        membership: Membership,
        socket: PeerSocket,
        timers: TimerService,
    ) -> None:
        self._homes = homes
        self._membership = membership
        self._socket = socket
        self._timers = timers
        self._granted_ms: dict[bytes, float] = {}
        """Time of the latest trial of each factor that this node is home of."""
        socket.handle(TrialAsk, self._receive_ask)

    async def wait_ms(self, digest: bytes) -> float:
        """Return 0 if a call may try a factor now, or the time until one may."""
        home_ids = self._homes.homes_of(key_of(digest), max_nodes=1)
        home = self._membership.node(home_ids[0]) if home_ids else None
        if home is None or home == self._membership.local_node:
            return self._grant(digest)
        ask = TrialAsk(self._socket.next_ask_id(), digest)
        try:
            reply = await self._socket.request(
                home, ask, reply_type=TrialReply, timeout_ms=ASK_TIMEOUT_MS
            )
        except TimeoutError:
            return NO_HOME_WAIT_MS
        return 0.0 if reply.is_granted else float(max(1, reply.wait_ms))

    def _grant(self, digest: bytes) -> float:
        now_ms = self._timers.now_ms()
        self._granted_ms = {
            other: granted_ms
            for other, granted_ms in self._granted_ms.items()
            if granted_ms + TRIAL_INTERVAL_MS > now_ms
        }
        granted_ms = self._granted_ms.setdefault(digest, now_ms)
        return 0.0 if granted_ms == now_ms else granted_ms + TRIAL_INTERVAL_MS - now_ms

    def _receive_ask(self, received: PeerMessage) -> None:
        ask: TrialAsk = received.message
        wait_ms = self._grant(ask.digest)
        reply = TrialReply(ask.ask_id, wait_ms == 0.0, round(wait_ms))
        self._socket.send(received.peer, reply)


def key_of(digest: bytes) -> int:
    """Return the key by which a factor is assigned to its home nodes."""
    return int.from_bytes(digest[:KEY_BYTES], "big")
