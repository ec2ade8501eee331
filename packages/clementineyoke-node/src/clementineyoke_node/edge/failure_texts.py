"""What callers are told of an attempt that failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome

if TYPE_CHECKING:
    from clementineyoke_node.edge.attempt_error import AttemptError

_BY_OUTCOME = {
    AttemptOutcome.REFUSED: "the runner refused the call",
    AttemptOutcome.FAILED: "the runner failed",
}
_BY_STEP = {
    "dispatch": "no time was left to send the call",
    "send": "the slot expired before the call was sent",
    "connect": "no connection to the runner could be opened",
    "read_head": "no valid response of the runner began in time",
    "read_body": "the response of the runner did not end, in time or at all",
    "relay": "the stream of the runner broke off",
    "check_proof": "the response of the runner has no signature",
    "check_echo": "the runner answered another call",
}
_UNKNOWN = "the call failed on its way"


def describe_failure(error: AttemptError) -> str:
    """Return why a call failed, without addresses, exceptions or bytes of others.

    The reason in full is in the log.
    """
    text = _BY_OUTCOME.get(error.outcome)
    return text or _BY_STEP.get(error.step, _UNKNOWN)
