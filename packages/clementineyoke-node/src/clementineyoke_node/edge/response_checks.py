"""What a runner's answer proves, and what it leaves open."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.runner_response import OpenAnswer, WholeAnswer

if TYPE_CHECKING:
    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_core.runner import Runner
    from clementineyoke_node.platform.runner_codec import AnswerHead

STATUS_ERROR = 500
STATUS_REDIRECT = 300
PROMISES = frozenset((408, 421, 429, 503))
"""Statuses by which callers know that a call did not run and never will."""


async def read_whole(answer: OpenAnswer, *, runner: Runner) -> WholeAnswer:
    """Read an answer to its end; raises ``AttemptError`` when it ends early."""
    try:
        body = await answer.response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise AttemptError(
            end=AttemptOutcome.LOST,
            step="read_body",
            peer=runner.runner_id,
            reason=repr(error),
            is_break=not isinstance(error, TimeoutError),
        ) from error
    return WholeAnswer(answer.head, body)


def check_outcome(answer: WholeAnswer, *, runner: Runner) -> None:
    """Raise ``AttemptError`` for an answer that is no success of the runner's."""
    head = answer.head
    if head.is_refusal:
        raise AttemptError(
            end=AttemptOutcome.REFUSED,
            step="read_head",
            peer=runner.runner_id,
            reason=f"refused with {head.status}",
        )
    if head.status in PROMISES:
        # Callers take these for "it did not run", which this runner has not said.
        raise AttemptError(
            end=AttemptOutcome.FAILED,
            step="read_head",
            peer=runner.runner_id,
            reason=f"answered {head.status} without a word that it did not run",
        )
    if head.status >= STATUS_ERROR:
        raise AttemptError(
            end=AttemptOutcome.FAILED,
            step="read_head",
            peer=runner.runner_id,
            reason=f"failed with {head.status}",
            answer=answer if head.has_proof else None,
        )
    if head.status < STATUS_REDIRECT and not head.has_proof:
        raise AttemptError(
            end=AttemptOutcome.LOST,
            step="check_proof",
            peer=runner.runner_id,
            reason="a success without the runner's proof",
        )


def check_echo(runner: Runner, call: EdgeCall, head: AnswerHead) -> None:
    """Raise ``AttemptError`` for an answer that is another call's."""
    if head.call_id == call.call_id:
        return
    if head.is_refusal and not head.call_id:
        return
    # A runner that crosses answers would hand one caller's answer to another.
    raise AttemptError(
        end=AttemptOutcome.LOST,
        step="check_echo",
        peer=runner.runner_id,
        reason=f"the answer is for call {head.call_id!r}",
    )
