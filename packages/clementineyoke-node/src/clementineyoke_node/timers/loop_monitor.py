"""Tells when the event loop of this node stood still."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.timers.timer_service import TimerService

TICK_INTERVAL_MS = 100.0
MIN_STALL_MS = 250.0
"""Shortest stall that is logged: runners seem silent for as long, and the shortest
timeout of a call to a runner is as long."""


class LoopMonitor:
    """Log and count stalls of the event loop.

    During a stall the node reads nothing: its peers and runners seem silent, and many
    timeouts expire at once when it goes on. While its machine is suspended it reads
    nothing either, but no tick is late.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        metrics: Metrics,
        on_stall: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a monitor; ``on_stall`` is called after shorter stalls as well."""
        self._on_stall = on_stall
        self._timers = timers
        self._metrics = metrics
        self._due_ms: float | None = None
        self._suspended_ms = timers.suspended_ms()

    def subscribe(self) -> None:
        """Start to watch the loop."""
        self._timers.subscribe("loop", interval_ms=TICK_INTERVAL_MS, callback=self.tick)

    async def tick(self) -> None:
        """Compare the time with that of the planned tick."""
        self.check_suspension()
        now_ms = self._timers.now_ms()
        late_ms = 0.0 if self._due_ms is None else now_ms - self._due_ms
        self._due_ms = now_ms + TICK_INTERVAL_MS
        self._record(late_ms)

    def check_suspension(self) -> None:
        """Record a suspension of the machine since the last check, if there was one.

        What depends on it has to ask for it: the next tick comes up to its interval
        after the suspension.
        """
        suspended_ms = self._timers.suspended_ms()
        late_ms = suspended_ms - self._suspended_ms
        self._suspended_ms = suspended_ms
        self._record(late_ms)

    def _record(self, late_ms: float) -> None:
        if late_ms >= TICK_INTERVAL_MS:
            self._on_stall()
        if late_ms >= MIN_STALL_MS:
            self._metrics.loop_stalled_ms.add({}, round(late_ms))
            log_event(Event.LOOP_STALLED, late_ms=round(late_ms))
