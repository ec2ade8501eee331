"""Collects the answers of peers about a stream until its version is known."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from clementineyoke_node.timers.bounded_wait import settled_timeout

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator, Sequence

    from clementineyoke_core.edge.stream_lookup import LookupAnswer, StreamLookup

    PendingAnswers = Iterator[Awaitable[LookupAnswer | None]]


async def collect_answers(
    lookup: StreamLookup,
    asks: Sequence[asyncio.Future[LookupAnswer | None]],
    *,
    confirm_ms: float,
) -> None:
    """Add answers until the lookup is settled.

    A node that has a record may have missed the message about another stream under the
    same id: once there is a record, the others have ``confirm_ms`` to contradict it.
    """
    pending = asyncio.as_completed(asks)
    await _add_until(
        lambda: lookup.is_settled or lookup.record is not None, lookup, pending
    )
    with suppress(TimeoutError):
        async with settled_timeout(confirm_ms):
            await _add_until(lambda: lookup.is_settled, lookup, pending)


async def _add_until(
    is_done: Callable[[], bool], lookup: StreamLookup, pending: PendingAnswers
) -> None:
    while not is_done():
        future = next(pending, None)
        if future is None:
            return
        answer = await future
        if answer is not None:
            lookup.add(answer)
