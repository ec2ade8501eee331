"""Callers of the soak, which reuse connections and record the result of each call."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.edge_runner import PADDING
from clementineyoke_standins.soak.operator_state import HOSTNAME, RouteKind

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from clementineyoke_standins.soak.loopback import Endpoint
    from clementineyoke_standins.soak.operator_state import OperatorState

MEAN_PAUSE_S = 0.06
DEADLINE_MS = 2_000
PART_TOKENS = 100
ROUTE_KINDS = tuple(RouteKind)
WITHDRAWN_KEY_FRACTION = 0.1
"""Share of calls that are sent with a key which the operator has withdrawn."""


LONG_TARGET = f"/{RouteKind.IDEMPOTENT.value}/long"
"""Target of calls whose answers are padded."""
SLOW_READ_BYTES = 65_536
SLOW_READ_PAUSE_S = 0.03


class CallRecord(NamedTuple):
    """Result of one call as its caller observed it."""

    call_id: str
    kind: RouteKind
    node: int
    key: str
    sent_s: float
    ended_s: float
    status: int | None
    """None if no complete response was received."""
    body: str
    has_proof: bool
    reason: str = ""
    crashes_runners: bool = False
    """Whether the call crashes each runner that starts to execute or answer it."""


class Caller:
    """Call random nodes, each over a persistent connection.

    A caller goes on using a connection until it breaks, also while the node behind it
    shuts down: that is when a shutdown without draining loses calls.
    """

    def __init__(
        self,
        *,
        name: str,
        endpoints: list[Endpoint],
        state: OperatorState,
        rng: Random,
        prompts: Sequence[Sequence[str]] = (),
    ) -> None:
        """Create a caller whose calls have one of ``prompts``, if there are any."""
        self._prompts = prompts
        self._name = name
        self._endpoints = endpoints
        self._state = state
        self._rng = rng
        self.records: list[CallRecord] = []

    async def run(self) -> None:
        """Make calls until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                node = self._rng.randrange(len(self._endpoints))
                kind = self._rng.choice(ROUTE_KINDS)
                key = self._pick_key()
                prompt = self._rng.choice(self._prompts) if self._prompts else ()
                await self.call(session, node=node, kind=kind, key=key, prompt=prompt)
                await asyncio.sleep(self._rng.uniform(0.2, 1.8) * MEAN_PAUSE_S)

    async def call(
        self,
        session: aiohttp.ClientSession,
        *,
        node: int,
        kind: RouteKind,
        key: str,
        request_body: bytes | None = None,
        prompt: Sequence[str] = (),
        crashes_runners: bool = False,
    ) -> CallRecord:
        """Make one call, record its result and return the record.

        ``prompt`` are the parts of its prompt that other calls may share.
        A failure to connect and a timeout are recorded, not raised.
        """
        call_id = f"{self._name}-{len(self.records)}"
        sent_s = time.monotonic()
        status, body, has_proof, reason = None, "", False, ""
        try:
            async with asyncio.timeout(2 * DEADLINE_MS / 1000):
                status, body, has_proof = await self._exchange(
                    session,
                    call_id,
                    node=node,
                    kind=kind,
                    key=key,
                    request_body=request_body,
                    prompt=prompt,
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
            has_proof=has_proof,
            reason=reason,
            crashes_runners=crashes_runners,
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
        prompt: Sequence[str],
    ) -> tuple[int, str, bool]:
        method = "GET" if kind is RouteKind.IDEMPOTENT else "POST"
        headers = call_headers(call_id, key=key)
        if prompt:
            parts = [f"{part}:{PART_TOKENS}" for part in (*prompt, call_id)]
            headers |= {names.MODEL: "model", names.PROMPT_PARTS: ",".join(parts)}
        url = f"http://{self._endpoints[node]}/{kind.value}/x"
        async with session.request(
            method, url, headers=headers, data=request_body
        ) as response:
            body = await response.text()
            return response.status, body, names.SERVER_SIGNATURE in response.headers

    @property
    def current_key(self) -> str:
        """The key that callers must use at present."""
        return self._state.current_key

    def _pick_key(self) -> str:
        withdrawn = self._state.withdrawn_keys
        if withdrawn and self._rng.random() < WITHDRAWN_KEY_FRACTION:
            return self._rng.choice(withdrawn).key
        return self._state.current_key


class SlowCaller(Caller):
    """Read long answers slowly, each over a connection of its own."""

    async def run(self) -> None:
        """Make calls until cancelled."""
        while True:
            async with aiohttp.ClientSession(read_bufsize=SLOW_READ_BYTES) as session:
                node = self._rng.randrange(len(self._endpoints))
                kind, key = RouteKind.IDEMPOTENT, self.current_key
                await self.call(session, node=node, kind=kind, key=key)
            await asyncio.sleep(MEAN_PAUSE_S)

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        call_id: str,
        *,
        node: int,
        **call: object,
    ) -> tuple[int, str, bool]:
        headers = call_headers(call_id, key=self.current_key)
        url = f"http://{self._endpoints[node]}{LONG_TARGET}"
        body = b""
        async with session.get(url, headers=headers) as response:
            while chunk := await response.content.read(SLOW_READ_BYTES):
                body += chunk
                await asyncio.sleep(SLOW_READ_PAUSE_S)
            text = body.decode().rstrip(PADDING)
            return response.status, text, names.SERVER_SIGNATURE in response.headers


def call_headers(call_id: str, *, key: str) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": HOSTNAME,
        names.CALL_ID: call_id,
        names.REMAINING_TIME_MS: str(DEADLINE_MS),
        names.AUTHORIZATION: f"{names.KEY_SCHEME}{key}",
    }
