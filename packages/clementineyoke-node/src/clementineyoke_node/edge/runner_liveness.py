"""Tells the end of an answer from that of its runner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.platform.runner_codec import BodyEnd

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementineyoke_core.runner import Runner

MS_PER_S = 1000.0
PROBE_DELAY_MS = 20.0
"""Delay from the end of a connection to the check whether its runner has crashed: its
other connections end at the same moment, and a process that ends may close its
listening socket last."""


async def check_end(
    runner: Runner,
    body_end: BodyEnd,
    *,
    is_listening: Callable[[Runner], Awaitable[bool]],
    step: str,
) -> None:
    """Raise ``AttemptError`` if a runner's answer may have ended because it crashed.

    An answer with neither a length nor chunks ends with its connection. If its runner
    crashes and the connection is closed in order, half of the answer looks complete. A
    draining runner is no exception: it may crash as well. ``is_listening`` opens a
    connection to the runner. An older connection that is still open proves nothing, as
    its end may have been lost on the way.
    """
    if body_end is not BodyEnd.CONNECTION:
        return
    await asyncio.sleep(PROBE_DELAY_MS / MS_PER_S)
    if await is_listening(runner):
        return
    raise AttemptError(
        outcome=AttemptOutcome.LOST,
        step=step,
        peer=runner.runner_id,
        reason="the runner ended with an answer that has no length",
        is_connection_lost=True,
    )
