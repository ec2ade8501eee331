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
    nothing either.
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

    def subscribe(self) -> None:
        """Start to watch the loop."""
        self._timers.subscribe("loop", interval_ms=TICK_INTERVAL_MS, callback=self.tick)

    async def tick(self) -> None:
        """Compare the time with that of the planned tick."""
        late_ms = self.check()
        self._due_ms = self._timers.now_ms() + TICK_INTERVAL_MS
        if late_ms >= MIN_STALL_MS:
            self._metrics.loop_stalled_ms.add({}, round(late_ms))
            log_event(Event.LOOP_STALLED, late_ms=round(late_ms))

    def check(self) -> float:
        """Report a stall before its tick; return by how much that is late.

        The loop does not count a suspension, so that the tick after it comes up to its
        interval later.
        """
        late_ms = 0.0 if self._due_ms is None else self._timers.now_ms() - self._due_ms
        if late_ms >= TICK_INTERVAL_MS:
            self._on_stall()
        return late_ms
