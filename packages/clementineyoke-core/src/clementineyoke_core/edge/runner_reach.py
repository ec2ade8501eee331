"""Which runners of a pool this node can open connections to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner


class _Connection(NamedTuple):
    runner_id: str
    opened_ms: float


class RunnerReach:
    """Record the connections that this node opens to the runners of each pool.

    A node that opens no connection to one runner but does to others has a path to the
    pool. One that opens none may itself be cut off, and its failures say nothing about
    the runners.
    """

    def __init__(self) -> None:
        self._latest: dict[str, tuple[_Connection, ...]] = {}
        """Latest connections to two different runners of each pool, newest first."""

    def record_connected(self, runner: Runner, *, now_ms: float) -> None:
        """Record a new connection to a runner."""
        others = (
            known
            for known in self._latest.get(runner.pool, ())
            if known.runner_id != runner.runner_id
        )
        newest = _Connection(runner.runner_id, now_ms)
        self._latest[runner.pool] = (newest, *others)[:2]

    def reached_other_ms(self, runner: Runner) -> float | None:
        """Return when a connection to another runner of the pool was last opened.

        None if there was none.
        """
        for known in self._latest.get(runner.pool, ()):
            if known.runner_id != runner.runner_id:
                return known.opened_ms
        return None
