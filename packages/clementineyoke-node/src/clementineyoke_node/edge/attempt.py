"""An attempt at a runner, from its slot to its response."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from clementineyoke_core.node import Node
    from clementineyoke_node.edge.runner_response import OpenResponse
    from clementineyoke_node.slots.slot_lease import SlotLease

MS_PER_S = 1000.0


class Attempt(NamedTuple):
    """A call with a slot at a runner; ``opening`` sends it and yields its response."""

    lease: SlotLease
    started_ms: float
    opening: AbstractAsyncContextManager[OpenResponse]
    is_paid: bool = False
    """Whether it was charged to the retry budget."""


class PeerAttempt(NamedTuple):
    """A call that is forwarded to a peer."""

    peer: Node
    opening: AbstractAsyncContextManager[OpenResponse]


class PendingResponse:
    """A call that is sent at once, and whose response is entered later."""

    def __init__(self, opening: AbstractAsyncContextManager[OpenResponse]) -> None:
        """Send the call in the background; must be entered or closed."""
        self._stack = AsyncExitStack()
        self._task = asyncio.ensure_future(self._stack.enter_async_context(opening))

    async def __aenter__(self) -> OpenResponse:
        """Return the response when its head has arrived; raises ``AttemptError``."""
        try:
            return await self._task
        except BaseException:
            await self.close()
            raise

    async def __aexit__(self, *exc_info: object) -> None:
        """End the response."""
        await self.close()

    async def wait(self, *, timeout_ms: float | None = None) -> OpenResponse | None:
        """Return the response, or None if its head has not arrived in time.

        Raises ``AttemptError`` like the attempt itself.
        """
        timeout_s = None if timeout_ms is None else timeout_ms / MS_PER_S
        await asyncio.wait({self._task}, timeout=timeout_s)
        return self._task.result() if self._task.done() else None

    async def close(self) -> None:
        """End the call, whether its head has arrived or not."""
        self._task.cancel()
        # The error of an attempt that is dropped matters to nobody.
        await asyncio.gather(self._task, return_exceptions=True)
        await self._stack.aclose()
