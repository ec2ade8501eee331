"""Waits for a future for a limited time."""

from __future__ import annotations

import asyncio
from typing import TypeVar

MS_PER_S = 1000.0
ResultT = TypeVar("ResultT")


async def wait_for_result(
    future: asyncio.Future[ResultT], *, timeout_ms: float
) -> ResultT:
    """Return the result of a future; raises ``TimeoutError`` if it takes too long.

    ``asyncio.wait_for`` of Python 3.11 loses a cancellation that comes in the same turn
    of the loop as the result.
    """
    async with asyncio.timeout(timeout_ms / MS_PER_S):
        return await future
