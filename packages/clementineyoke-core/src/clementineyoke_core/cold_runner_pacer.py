"""Even spacing of the calls that a home grants on its cold runners."""

from __future__ import annotations

MS_PER_S = 1000.0


class ColdRunnerPacer:
    """Space the grants on cold runners evenly.

    A token bucket would allow a burst when a runner turns cold, and two nodes that both
    consider themselves its home would allow one each: the runner would get more calls
    within a second than it can handle. Even spacing keeps one home within the
    operator's rate in any second, and two homes within twice that rate.
    """

    def __init__(self) -> None:
        self._next_grant_ms: dict[str, float] = {}

    def may_grant(self, runner_id: str, *, now_ms: float) -> bool:
        """Return whether a cold runner may get a call now."""
        return self._next_grant_ms.get(runner_id, now_ms) <= now_ms

    def record_grant(
        self, runner_id: str, *, calls_per_s: float, now_ms: float
    ) -> None:
        """Record a grant on a cold runner that takes ``calls_per_s`` calls a second."""
        self._next_grant_ms[runner_id] = now_ms + MS_PER_S / calls_per_s

    def remove_runner(self, runner_id: str) -> None:
        """Remove the state of a runner."""
        self._next_grant_ms.pop(runner_id, None)
