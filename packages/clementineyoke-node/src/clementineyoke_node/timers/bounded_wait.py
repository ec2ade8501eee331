"""Waits for a limited time that a stall of the event loop does not use up."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MS_PER_S = 1000.0
LATE_READ_MS = 5.0
"""Time for the event loop to read what arrived while it was busy."""
ResultT = TypeVar("ResultT")


async def wait_for_result(
    future: asyncio.Future[ResultT], *, timeout_ms: float
) -> ResultT:
    """Return the result of a future; raises ``TimeoutError`` if it takes too long.

    ``asyncio.wait_for`` of Python 3.11 loses a cancellation that comes in the same turn
    of the loop as the result, and ``asyncio.timeout`` loses such a result. After a
    stall of the loop, timers expire before anything is read.
    """
    await asyncio.wait({future}, timeout=timeout_ms / MS_PER_S)
    if not future.done():
        await asyncio.wait({future}, timeout=LATE_READ_MS / MS_PER_S)
    if not future.done():
        future.cancel()
        raise TimeoutError
    return future.result()


@asynccontextmanager
async def settled_timeout(timeout_ms: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` in a block that takes too long.

    Like ``asyncio.timeout``, but what arrived during a stall is read before it expires.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:

        def settle() -> None:
            scope.reschedule(loop.time() + LATE_READ_MS / MS_PER_S)

        timer = loop.call_later(timeout_ms / MS_PER_S, settle)
        try:
            yield
        finally:
            timer.cancel()
