"""Callers of the soak: they keep connections, and record what became of each call."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from clementineyoke_node.platform import names
from clementineyoke_standins.soak.operator_state import HOSTNAME, RouteKind

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_standins.soak.loopback import Endpoint
    from clementineyoke_standins.soak.operator_state import OperatorState

PAUSE_S = 0.06
BUDGET_MS = 2_000
KINDS = tuple(RouteKind)
WITHDRAWN_SHARE = 0.1
"""Share of calls that show a key which the operator has withdrawn."""


class CallRecord(NamedTuple):
    """One call as its caller saw it."""

    call_id: str
    kind: RouteKind
    node: int
    key: str
    sent_s: float
    ended_s: float
    status: int | None
    """None when no whole answer came."""
    body: str
    has_proof: bool
    reason: str = ""
    ends_runners: bool = False
    """Whether each runner that begins to run it ends."""


class Caller:
    """Call one node after another, each over a connection that is kept.

    A caller goes on using its connection until it breaks, also while the node behind it
    stops: that is when a stop in haste loses calls.
    """

    def __init__(
        self,
        *,
        name: str,
        endpoints: list[Endpoint],
        state: OperatorState,
        rng: Random,
    ) -> None:
        self._name = name
        self._endpoints = endpoints
        self._state = state
        self._rng = rng
        self.records: list[CallRecord] = []

    async def run(self) -> None:
        """Call until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                node = self._rng.randrange(len(self._endpoints))
                kind = self._rng.choice(KINDS)
                await self.call(session, node=node, kind=kind, key=self._pick_key())
                await asyncio.sleep(self._rng.uniform(0.2, 1.8) * PAUSE_S)

    async def call(
        self,
        session: aiohttp.ClientSession,
        *,
        node: int,
        kind: RouteKind,
        key: str,
        request_body: bytes | None = None,
    ) -> CallRecord:
        """Make one call and record it."""
        call_id = f"{self._name}-{len(self.records)}"
        sent_s = time.monotonic()
        status, body, proof, reason = None, "", False, ""
        try:
            async with asyncio.timeout(2 * BUDGET_MS / 1000):
                status, body, proof = await self._exchange(
                    session,
                    call_id,
                    node=node,
                    kind=kind,
                    key=key,
                    request_body=request_body,
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = repr(error)
        record = CallRecord(
            call_id=call_id,
            kind=kind,
            node=node,
            key=key,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            status=status,
            body=body,
            has_proof=proof,
            reason=reason,
            ends_runners=request_body is not None,
        )
        self.records.append(record)
        return record

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        call_id: str,
        *,
        node: int,
        kind: RouteKind,
        key: str,
        request_body: bytes | None,
    ) -> tuple[int, str, bool]:
        method = "GET" if kind is RouteKind.IDEMPOTENT else "POST"
        fields = {
            "Host": HOSTNAME,
            names.CALL_ID: call_id,
            names.REMAINING_TIME_MS: str(BUDGET_MS),
            names.AUTHORIZATION: f"{names.KEY_SCHEME}{key}",
        }
        url = f"http://{self._endpoints[node]}/{kind.value}/x"
        async with session.request(
            method, url, headers=fields, data=request_body
        ) as response:
            body = await response.text()
            return response.status, body, names.SERVER_SIGNATURE in response.headers

    @property
    def good_key(self) -> str:
        """The key that callers are to use now."""
        return self._state.key

    def _pick_key(self) -> str:
        withdrawn = self._state.withdrawn
        if withdrawn and self._rng.random() < WITHDRAWN_SHARE:
            return self._rng.choice(withdrawn).key
        return self._state.key
