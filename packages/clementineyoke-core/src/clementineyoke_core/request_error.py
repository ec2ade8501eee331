"""Error that ends a caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from clementineyoke_core.outcome import Outcome


class RequestError(Exception):
    """Failure of a request, with its outcome, step and peer."""

    def __init__(
        self,
        *,
        status: int,
        outcome: Outcome,
        step: str,
        reason: str,
        peer: str = "",
        retry_after_ms: int | None = None,
        chat_id: str = "",
        details: Mapping[str, object] | None = None,
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.status = status
        self.outcome = outcome
        self.step = step
        self.reason = reason
        self.peer = peer
        self.retry_after_ms = retry_after_ms
        self.chat_id = chat_id
        """For operators only; not sent to callers."""
        self.details = dict(details or {})
        """Inputs of the decision, for the log line; not sent to callers."""
