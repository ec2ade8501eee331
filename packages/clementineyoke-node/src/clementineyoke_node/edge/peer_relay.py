"""Forwards calls to peers that reach a pool of which this node reaches no runner."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Self

import aiohttp
from yarl import URL

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_core.edge.hop import Hop
from clementineyoke_core.hashing import hash_text
from clementineyoke_node.edge.address_lifetimes import AddressLifetimes
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.response_checks import check_call_id, check_resumption
from clementineyoke_node.edge.runner_connection_pool import make_session
from clementineyoke_node.edge.runner_connections import RunnerConnections
from clementineyoke_node.edge.runner_response import CompleteResponse, OpenResponse
from clementineyoke_node.platform.relay_codec import (
    decode_relayed_head,
    encode_relayed_headers,
    is_hop_refused,
)
from clementineyoke_wire.hop_codec import encode_hop

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aiohttp import web

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.peer_reach import PeerReach
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_node.edge.answer_reader import AnswerReader
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.streams.stream_reader import EventReader
    from clementineyoke_node.timers.timer_service import TimerService
    from clementineyoke_wire.message_signer import MessageSigner

MS_PER_S = 1000.0
MIN_TIMEOUT_S = 0.001
PEER_CONNECT_TIMEOUT_MS = 300
"""Longer than for runners, as there may be few peers in touch; those that have ended
are known from gossip."""
MAX_PEERS = 3
"""Peers that one call is offered to; all but the last one did not run it."""


class PeerRelay:
    """Send calls to peers' caller ports, each with a signed statement of the hop.

    A peer serves such a call like one of its own callers, except that it never forwards
    it again. Each call has a connection of its own: on a kept one, a call that must not
    run twice could be lost while the peer closes it.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        peer_reach: PeerReach,
        signer: MessageSigner,
        timers: TimerService,
        state_revision: Callable[[], int],
        byte_limits: ByteLimits,
        answers: AnswerReader,
    ) -> None:
        self._membership = membership
        self._peer_reach = peer_reach
        self._signer = signer
        self._timers = timers
        self._state_revision = state_revision
        self._byte_limits = byte_limits
        self._answers = answers
        self._stack = AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the session for connections to peers."""
        self._session = await self._stack.enter_async_context(
            make_session(
                keeps_alive=False,
                byte_limits=self._byte_limits,
                address_lifetimes=AddressLifetimes(),
                connections=RunnerConnections(),
                connect_timeout_ms=PEER_CONNECT_TIMEOUT_MS,
            )
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all connections."""
        await self._stack.aclose()

    def choose_peers(self, pool: str) -> list[Node]:
        """Return the peers to offer a call to, in this order."""
        local_node = self._membership.local_node
        peers = [
            node
            for node in self._membership.confirmed_alive(region=local_node.region)
            if node != local_node
        ]
        return self._peer_reach.choose(
            peers, hash_text(pool), max_nodes=MAX_PEERS, now_ms=self._timers.now_ms()
        )

    async def execute(
        self,
        request: web.Request,
        admitted: AdmittedCall,
        peer: Node,
        stream: CallerStream,
        *,
        runners_used: int,
    ) -> CompleteResponse | None:
        """Return the peer's complete response, or None when its stream was relayed.

        Raises ``AttemptError``; its outcome is ``NOT_SENT`` or ``REFUSED`` if the call
        did not run and another peer may get it.
        """
        async with self.open(
            request, admitted, peer, stream, runners_used=runners_used
        ) as response:
            return await self.receive(admitted, peer, stream, response)

    async def receive(
        self,
        admitted: AdmittedCall,
        peer: Node,
        stream: CallerStream,
        response: OpenResponse,
    ) -> CompleteResponse | None:
        """Return a peer's complete response, or None when its stream was relayed.

        Raises ``AttemptError`` if the response breaks off.
        """
        if response.head.begins_stream and response.head.has_signature:
            with self._answers.open_events(
                admitted, response, stream, peer=peer.node_id
            ) as reader:
                await self._relay(admitted, peer, stream, reader)
            return None
        return await self._answers.read(admitted, response, stream, peer=peer.node_id)

    @asynccontextmanager
    async def open(
        self,
        request: web.Request,
        admitted: AdmittedCall,
        peer: Node,
        stream: CallerStream,
        *,
        runners_used: int,
    ) -> AsyncIterator[OpenResponse]:
        """Send a call to a peer, and yield the response once it begins.

        Raises ``AttemptError`` like ``execute``.
        """
        if self._session is None:
            message = "the relay is closed"
            raise RuntimeError(message)
        if self._session.closed:
            raise _error(AttemptOutcome.NOT_SENT, "send", peer, "this node ends")
        call = admitted.call
        hop = Hop(
            self._membership.local_node.node_id,
            runners_used,
            self._state_revision(),
            stream.version,
        )
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        headers = encode_relayed_headers(
            request.headers,
            remaining_ms=left_ms,
            last_event=stream.last_event_id,
            hop=encode_hop(hop, call_id=call.call_id, signer=self._signer),
        )
        url = URL(
            f"http://{peer.address}:{peer.caller_port}{call.target}", encoded=True
        )
        try:
            async with asyncio.timeout(max(MIN_TIMEOUT_S, left_ms / MS_PER_S)):
                response = await self._session.request(
                    call.method,
                    url,
                    headers=headers,
                    data=call.body or None,
                    timeout=aiohttp.ClientTimeout(total=None),
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            now_ms = self._timers.now_ms()
            self._peer_reach.record_failure(peer.node_id, now_ms=now_ms)
            raise _error(AttemptOutcome.NOT_SENT, "connect", peer, error) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise _error(AttemptOutcome.LOST, "read_head", peer, error) from error
        try:
            head = decode_relayed_head(
                response.status, response.headers, method=call.method
            )
            check_call_id(call, head, peer=peer.node_id)
            if is_hop_refused(response.headers):
                pool, now_ms = hash_text(admitted.pool), self._timers.now_ms()
                self._peer_reach.record_refusal(peer.node_id, pool, now_ms=now_ms)
                reason = "the peer cannot serve the call either"
                raise _error(AttemptOutcome.REFUSED, "read_head", peer, reason)
            yield OpenResponse(head, response)
        finally:
            response.close()

    async def _relay(
        self,
        admitted: AdmittedCall,
        peer: Node,
        stream: CallerStream,
        reader: EventReader,
    ) -> None:
        head = reader.response.head
        check_resumption(head, peer=peer.node_id, stream_status=stream.status)
        await stream.start(head, is_leaving=self._membership.is_leaving)
        while True:
            left_ms = admitted.deadline_ms - self._timers.now_ms()
            timeout = asyncio.timeout(max(MIN_TIMEOUT_S, left_ms / MS_PER_S))
            if (events := await reader.next_events(timeout)) is None:
                break
            await stream.write_events(events)
        await stream.finish()


def _error(
    outcome: AttemptOutcome, step: str, peer: Node, reason: Exception | str
) -> AttemptError:
    text = reason if isinstance(reason, str) else repr(reason)
    return AttemptError(outcome=outcome, step=step, peer=peer.node_id, reason=text)
