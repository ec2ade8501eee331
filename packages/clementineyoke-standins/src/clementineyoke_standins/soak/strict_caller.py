"""A caller of the soak that reads its answers by the grammar of HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.raw_caller import CutError, GrammarError, call_raw
from clementineyoke_standins.soak.caller import DEADLINE_MS, MEAN_PAUSE_S, call_headers
from clementineyoke_standins.soak.operator_state import RouteKind

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from clementineyoke_standins.edge.raw_caller import RawAnswer
    from clementineyoke_standins.soak.loopback import Endpoint
    from clementineyoke_standins.soak.operator_state import OperatorState

TIMEOUT_S = 2 * DEADLINE_MS / 1000
KINDS = (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)
MIN_REDIRECT_STATUS = 300


class StrictCaller:
    """Call random nodes, each on a connection of its own."""

    def __init__(
        self,
        *,
        name: str,
        endpoints: Sequence[Endpoint],
        state: OperatorState,
        rng: Random,
    ) -> None:
        self._name = name
        self._endpoints = endpoints
        self._state = state
        self._rng = rng
        self.violations: list[str] = []
        """One line for each answer that is none, or not the call's own."""

    async def run(self) -> None:
        """Make calls until cancelled."""
        number = 0
        while True:
            await self._call(f"{self._name}-{number}")
            number += 1
            await asyncio.sleep(self._rng.uniform(0.2, 1.8) * MEAN_PAUSE_S)

    async def _call(self, call_id: str) -> None:
        endpoint, kind = self._rng.choice(self._endpoints), self._rng.choice(KINDS)
        method = "GET" if kind is RouteKind.IDEMPOTENT else "POST"
        fields = call_headers(call_id, key=self._state.current_key)
        lines = [f"{method} /{kind.value}/x HTTP/1.1", "Connection: close"]
        lines += ["Content-Length: 0", *(f"{name}: {fields[name]}" for name in fields)]
        request = "\r\n".join([*lines, "", ""]).encode()
        try:
            answer = await call_raw(
                endpoint.address, endpoint.port, request, timeout_s=TIMEOUT_S
            )
        except CutError:
            return  # Nodes are killed.
        except GrammarError as error:
            self.violations.append(f"{call_id} got what is no answer: {error}")
        except (TimeoutError, OSError):
            return
        else:
            self._check(call_id, answer)

    def _check(self, call_id: str, answer: RawAnswer) -> None:
        if answer.status >= MIN_REDIRECT_STATUS:
            return
        expected = f"answer to {call_id}".encode()
        signatures = answer.values(names.SERVER_SIGNATURE)
        if answer.body != expected or len(signatures) != 1:
            self.violations.append(
                f"{call_id} got {answer.status} with {answer.body[:80]!r} and the"
                f" signatures {signatures}"
            )
