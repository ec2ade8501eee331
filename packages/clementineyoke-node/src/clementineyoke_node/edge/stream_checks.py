"""Checks that what a runner sends is the part of the stream that the caller lacks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_core.edge.stream_sequence import StreamGapError
from clementineyoke_node.edge.attempt_error import AttemptError

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_node.edge.caller_stream import CallerStream


async def write_events(
    stream: CallerStream,
    chunk: bytes,
    *,
    peer: str,
    on_begin: Callable[[], None] = lambda: None,
) -> int:
    """Write the events that a chunk completes, and return their number.

    Raises ``AttemptError`` if the runner has left out events.
    """
    try:
        return await stream.write_chunk(chunk, on_begin=on_begin)
    except StreamGapError as error:
        raise AttemptError(
            outcome=AttemptOutcome.FAILED, step="resume", peer=peer, reason=str(error)
        ) from error


def check_stream_end(stream: CallerStream, *, peer: str) -> None:
    """Raise ``AttemptError`` if the data so far is not the rest of the stream."""
    if stream.end_fault is not None:
        raise AttemptError(
            outcome=AttemptOutcome.LOST,
            step="relay",
            peer=peer,
            reason=stream.end_fault,
            is_connection_lost=True,
        )
