"""The lease of a slot that a request holds on a runner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner


class SkippedRunner(NamedTuple):
    """A runner that was skipped in the search, and the reason."""

    runner_id: str
    reason: str


class SlotLease(NamedTuple):
    """A held slot, and the reason why its runner was chosen."""

    runner: Runner
    ask_id: int
    reason: str
    rank: int
    """Number of runners tried before it in the search. A last-resort request keeps the
    rank of the first request to its runner."""
    passed_over: tuple[SkippedRunner, ...] = ()
    """Preceding runners that were skipped for a reason other than their load."""
    tokens: int = 0
    """Memory that the request takes on its runner, in tokens; 0 if unknown."""
    prefill_tokens: int = 0
    """Prompt tokens that the runner has to process; 0 if unknown."""
    send_before_ms: float = math.inf
    """Monotonic time until which the request may be sent."""
