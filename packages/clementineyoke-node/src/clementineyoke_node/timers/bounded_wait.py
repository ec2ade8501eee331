"""Waits for a future for a limited time."""

from __future__ import annotations

import asyncio
from typing import TypeVar

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
