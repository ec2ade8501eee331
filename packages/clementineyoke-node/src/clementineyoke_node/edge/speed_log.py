"""Logs lasting changes of the estimated speed of runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from clementineyoke_core.capacity.runner_speeds import SpeedEstimate

SLOW_WEIGHT = 0.85
"""Weight of the load bound below which a runner is logged as slow."""
USUAL_WEIGHT = 0.92
"""Weight from which it is logged as usual again; the gap avoids repeated lines."""
DOUBTED_TRUST = 0.3
TRUSTED_TRUST = 0.9


class SpeedLog:
    """Log a runner once when it becomes slow or doubted, and once when it recovers."""

    def __init__(self) -> None:
        self._slow: set[str] = set()
        self._doubted: set[str] = set()

    def update(self, runner_id: str, estimate: SpeedEstimate) -> None:
        """Log what changed about a runner."""
        fields = {
            "runner": runner_id,
            "lasting_slowdown": round(estimate.lasting, 2),
            "load_weight": round(estimate.load_weight, 2),
        }
        if estimate.load_weight < SLOW_WEIGHT and runner_id not in self._slow:
            self._slow.add(runner_id)
            log_event(Event.RUNNER_SLOW, **fields)
        elif estimate.load_weight >= USUAL_WEIGHT and runner_id in self._slow:
            self._slow.discard(runner_id)
            log_event(Event.RUNNER_SPEED_USUAL, **fields)
        if estimate.trust < DOUBTED_TRUST and runner_id not in self._doubted:
            self._doubted.add(runner_id)
            log_event(Event.RUNNER_SPEED_DOUBTED, **fields, trust=estimate.trust)
        elif estimate.trust >= TRUSTED_TRUST:
            self._doubted.discard(runner_id)

    def retain(self, runner_ids: set[str]) -> None:
        """Forget all runners but these, without a line."""
        self._slow &= runner_ids
        self._doubted &= runner_ids
