"""Retries of a node, charged to the budget that all nodes of the fleet share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.retry_window import RetryWindow
    from clementineyoke_node.timers.timer_service import TimerService


class RetrySpender:
    """Charge retries to this node's share of a pool's budget."""

    def __init__(
        self,
        *,
        window: RetryWindow,
        count_nodes: Callable[[], int],
        timers: TimerService,
    ) -> None:
        """Create a spender; ``count_nodes`` returns how many nodes share a budget."""
        self._window = window
        self._count_nodes = count_nodes
        self._timers = timers

    def record_call(self, pool: str) -> None:
        """Record a caller's call for a pool."""
        self._window.record_call(pool, now_ms=self._timers.now_ms())

    def has_budget(self, pool: str) -> bool:
        """Return whether a pool has a retry left."""
        return self._window.has_budget(
            pool, node_count=self._count_nodes(), now_ms=self._timers.now_ms()
        )

    def try_spend(self, pool: str) -> bool:
        """Spend one retry of a pool; return False if none is left."""
        return self._window.try_spend(
            pool, node_count=self._count_nodes(), now_ms=self._timers.now_ms()
        )

    def refund(self, pool: str) -> None:
        """Give back a retry that reached no runner."""
        self._window.refund(pool)
