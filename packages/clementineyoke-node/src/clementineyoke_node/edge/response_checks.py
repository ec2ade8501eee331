"""Checks whether a runner's response may be returned to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.runner_response import CompleteResponse
from clementineyoke_node.platform.runner_codec import MIN_REDIRECT_STATUS

if TYPE_CHECKING:
    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_node.platform.runner_codec import ResponseHead

MIN_SERVER_ERROR_STATUS = 500
NO_ROOM_STATUSES = frozenset((429, 503))
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that tell a caller that its call did not run and never will."""


def check_outcome(response: CompleteResponse, *, peer: str) -> None:
    """Raise ``AttemptError`` unless the response may be returned to the caller.

    It may not if it is a refusal, a server error, a status that tells the caller "not
    run", or a success without the runner's signature header (``has_signature``).
    """
    head = response.head
    if head.is_refusal:
        raise AttemptError(
            outcome=AttemptOutcome.REFUSED,
            step="read_head",
            peer=peer,
            reason=f"refused with {head.status}",
            is_rejection=head.status in NO_ROOM_STATUSES,
        )
    if head.status in NOT_RUN_STATUSES:
        # Callers conclude that the call did not run, which the runner has not stated.
        raise AttemptError(
            outcome=AttemptOutcome.FAILED,
            step="read_head",
            peer=peer,
            reason=f"answered {head.status} without a word that it did not run",
        )
    if head.status >= MIN_SERVER_ERROR_STATUS:
        raise AttemptError(
            outcome=AttemptOutcome.FAILED,
            step="read_head",
            peer=peer,
            reason=f"failed with {head.status}",
            response=response if head.has_signature else None,
        )
    if head.status < MIN_REDIRECT_STATUS and not head.has_signature:
        raise AttemptError(
            outcome=AttemptOutcome.LOST,
            step="check_proof",
            peer=peer,
            reason="a success without the runner's proof",
        )


def is_answer(head: ResponseHead) -> bool:
    """Return whether a response with this head may be returned to the caller."""
    try:
        check_outcome(CompleteResponse(head, b""), peer="")
    except AttemptError:
        return False
    return True


def check_begun(head: ResponseHead, *, peer: str, stream_status: int | None) -> None:
    """Raise ``AttemptError`` if a response that has begun will not be of use.

    ``stream_status`` is the status of the stream that is to go on with it, if any.
    """
    check_outcome(CompleteResponse(head, b""), peer=peer)
    check_resumption(head, peer=peer, stream_status=stream_status)


def check_resumption(
    head: ResponseHead, *, peer: str, stream_status: int | None
) -> None:
    """Raise ``AttemptError`` if a stream that has begun cannot go on with a response.

    The caller has the head of the first runner. A response with another status is not
    the rest of that stream, even if it is a success.
    """
    if stream_status is None:
        return
    if not head.begins_stream or head.status != stream_status:
        raise AttemptError(
            outcome=AttemptOutcome.FAILED,
            step="resume",
            peer=peer,
            reason=f"answered {head.status} to a stream that goes on",
        )


def check_peer_begun(
    head: ResponseHead, *, peer: str, stream_status: int | None
) -> None:
    """Raise ``AttemptError`` like ``check_begun`` for the response of a peer.

    A peer that answers itself that a call did not run has not sent it to a runner.
    """
    if head.status in NOT_RUN_STATUSES and not head.has_signature:
        raise AttemptError(
            outcome=AttemptOutcome.REFUSED,
            step="read_head",
            peer=peer,
            reason=f"a peer refused with {head.status}",
        )
    check_begun(head, peer=peer, stream_status=stream_status)


def check_call_id(call: EdgeCall, head: ResponseHead, *, peer: str) -> None:
    """Raise ``AttemptError`` for a response that carries another call's id."""
    if head.call_id == call.call_id:
        return
    if head.is_refusal and not head.call_id:
        return
    # A runner that mixes up responses would give one caller another's response.
    raise AttemptError(
        outcome=AttemptOutcome.LOST,
        step="check_echo",
        peer=peer,
        reason=f"the answer is for call {head.call_id!r}",
    )
