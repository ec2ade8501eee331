"""An attempt at one runner that gave no answer to hand on."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
    from clementineyoke_node.edge.runner_response import WholeAnswer


class AttemptError(Exception):
    """Say how far an attempt got, at which step and at which runner."""

    def __init__(
        self,
        *,
        end: AttemptOutcome,
        step: str,
        peer: str,
        reason: str,
        answer: WholeAnswer | None = None,
        is_break: bool = False,
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.end = end
        self.step = step
        self.peer = peer
        self.reason = reason
        self.is_break = is_break
        """Whether an answer that was under way broke, as when a runner dies."""
        self.answer = answer
        """The runner's own failing answer, to hand on if nothing better comes."""
