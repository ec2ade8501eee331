"""Client side of claims: acquire a key and report what became of the request."""

from __future__ import annotations

import asyncio
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.claims.decision import ClaimDecision, ClaimVerdict
from clementineyoke_core.claims.messages import ClaimAttempt, ClaimReport
from clementineyoke_core.claims.record import StoredAnswer
from clementineyoke_core.hashing import hash_text
from clementineyoke_node.claims.claim_home import shard_name
from clementineyoke_node.claims.shard_task import PendingClaim
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_node.timers.bounded_wait import wait_for_result
from clementineyoke_wire.messages import ClaimReply, ClaimRequest, ClaimResult

if TYPE_CHECKING:
    from clementineyoke_core.home_nodes import HomeNodes
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_node.claims.claim_home import ClaimHome
    from clementineyoke_node.peers.peer_socket import PeerSocket
    from clementineyoke_node.timers.timer_service import TimerService

KEY_DIGEST_BYTES = 12
"""With 96 bits, the chance of a collision among a million live keys is 1 in 10**17."""
REQUEST_DIGEST_BYTES = 6
MAX_SENT_ANSWER_BYTES = 1_024
"""The answer and its key must fit in one datagram."""


class Claim(NamedTuple):
    """The key that a request tries to acquire, and the holder that identifies it."""

    shard: int
    key: str
    holder: str
    request_digest: str


class ClaimClient:
    """Acquires claims from the shard's home and reports their results to it."""

    def __init__(
        self,
        *,
        membership: Membership,
        homes: HomeNodes,
        home: ClaimHome,
        socket: PeerSocket,
        timers: TimerService,
        shards: int,
        timeout_ms: float,
    ) -> None:
        self._membership = membership
        self._homes = homes
        self._home = home
        self._socket = socket
        self._timers = timers
        self._shards = shards
        self._timeout_ms = timeout_ms

    def make_claim(self, *, scope: str, key: str, request: bytes) -> Claim:
        """Return a claim with a new holder.

        Equal scope and key always map to the same claim key and shard.
        """
        text = f"{scope}\0{key}"
        digest = blake2b(text.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
        node = self._membership.local_node
        incarnation = self._membership.initial_incarnation
        holder = f"{node.node_id}.{incarnation:x}.{self._socket.next_ask_id():x}"
        request_digest = blake2b(request, digest_size=REQUEST_DIGEST_BYTES).hexdigest()
        return Claim(hash_text(text) % self._shards, digest, holder, request_digest)

    async def acquire(self, claim: Claim) -> ClaimDecision:
        """Return the home's decision, or UNAVAILABLE if none arrives in time.

        After UNAVAILABLE the request must not be run, so reporting it as "not run" is
        correct even if the claim was stored; the home is asked to release the key.
        """
        home = self._home_of(claim)
        if home is None:
            return ClaimDecision(ClaimVerdict.UNAVAILABLE)
        try:
            if home.node_id == self._membership.local_node.node_id:
                return await self._acquire_locally(claim)
            return await self._acquire_remotely(home, claim)
        except TimeoutError:
            self.report(claim, ran=False)
            return ClaimDecision(ClaimVerdict.UNAVAILABLE)

    def report(
        self, claim: Claim, *, ran: bool, answer: StoredAnswer | None = None
    ) -> None:
        """Report the request's result to the home; losing the report is safe."""
        home = self._home_of(claim)
        if home is None:
            return
        if home.node_id == self._membership.local_node.node_id:
            report = ClaimReport(claim.key, claim.holder, ran, answer)
            self._home.report(claim.shard, report)
            return
        self._socket.send(PeerAddress.of(home), _to_result(claim, ran, answer))

    async def _acquire_locally(self, claim: Claim) -> ClaimDecision:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[ClaimDecision] = loop.create_future()

        def resolve(decision: ClaimDecision) -> None:
            if not future.done():
                future.set_result(decision)

        deadline_ms = self._timers.now_ms() + self._timeout_ms
        attempt = ClaimAttempt(claim.key, claim.holder, claim.request_digest)
        self._home.submit(claim.shard, PendingClaim(attempt, deadline_ms, resolve))
        return await wait_for_result(future, timeout_ms=self._timeout_ms)

    async def _acquire_remotely(self, home: Node, claim: Claim) -> ClaimDecision:
        ask_id = self._socket.next_ask_id()
        request = ClaimRequest(
            ask_id, claim.shard, claim.key, claim.holder, claim.request_digest
        )
        reply = await self._socket.request(
            home, request, reply_type=ClaimReply, timeout_ms=self._timeout_ms
        )
        answer = None
        if reply.has_answer:
            answer = StoredAnswer(reply.status, reply.content_type, reply.body)
        return ClaimDecision(ClaimVerdict(reply.verdict), answer)

    def _home_of(self, claim: Claim) -> Node | None:
        home_id = self._homes.home_of(shard_name(claim.shard))
        return None if home_id is None else self._membership.node(home_id)


def _to_result(claim: Claim, ran: bool, answer: StoredAnswer | None) -> ClaimResult:
    if answer is None or len(answer.body) > MAX_SENT_ANSWER_BYTES:
        return ClaimResult(claim.shard, claim.key, claim.holder, ran)
    return ClaimResult(
        claim.shard,
        claim.key,
        claim.holder,
        ran,
        True,
        answer.status,
        answer.content_type,
        answer.body,
    )
