"""Which runners of a pool this node can open connections to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner

MIN_FAILED_RUNNERS = 4
"""Runners of a pool that fail in a row before the node counts as isolated. A zone that
fails takes a third of the runners with it; with two, one call in nine would find a node
isolated that is not."""


class _Connection(NamedTuple):
    runner_id: str
    opened_ms: float


class RunnerReach:
    """Tell runners that are unreachable from a node that is cut off itself.

    A node is isolated from a pool if its connections to several runners failed, or to
    all if the pool has fewer, and none was opened since. Only new connections count:
    those that are open may outlive the path, or hang without an error.
    """

    def __init__(self) -> None:
        self._latest: dict[str, tuple[_Connection, ...]] = {}
        """Latest connections to two different runners of each pool, newest first."""
        self._failed: dict[str, set[str]] = {}
        """Runners of each pool that failed since the last connection to any of it."""
        self._isolated: set[str] = set()

    @property
    def isolated_pools(self) -> set[str]:
        """The pools of which this node reaches no runner."""
        return self._isolated

    def is_isolated(self, pool: str) -> bool:
        """Return whether this node reaches no runner of a pool."""
        return pool in self._isolated

    def failed_runners(self, pool: str) -> set[str]:
        """Return the runners that failed since the last connection to the pool."""
        return self._failed.get(pool, set())

    def record_connected(self, runner: Runner, *, now_ms: float) -> bool:
        """Record a new connection; return whether it ends an isolation."""
        others = (
            known
            for known in self._latest.get(runner.pool, ())
            if known.runner_id != runner.runner_id
        )
        newest = _Connection(runner.runner_id, now_ms)
        self._latest[runner.pool] = (newest, *others)[:2]
        return self.clear(runner.pool)

    def record_unreachable(self, runner: Runner, *, pool_size: int) -> bool:
        """Record a failed connection; return whether the node is isolated from now on.

        ``pool_size`` is the number of the pool's runners that are not leaving.
        """
        failed = self._failed.setdefault(runner.pool, set())
        failed.add(runner.runner_id)
        if len(failed) < min(MIN_FAILED_RUNNERS, pool_size):
            return False
        is_new = runner.pool not in self._isolated
        self._isolated.add(runner.pool)
        return is_new

    def clear(self, pool: str) -> bool:
        """Forget the failures at a pool; return whether the node was isolated."""
        self._failed.pop(pool, None)
        was_isolated = pool in self._isolated
        self._isolated.discard(pool)
        return was_isolated

    def reached_other_ms(self, runner: Runner) -> float | None:
        """Return when a connection to another runner of the pool was last opened.

        None if there was none.
        """
        for known in self._latest.get(runner.pool, ()):
            if known.runner_id != runner.runner_id:
                return known.opened_ms
        return None
