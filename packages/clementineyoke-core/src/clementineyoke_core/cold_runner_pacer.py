"""How soon a cold runner may get its next call, counted by its home."""

from __future__ import annotations

MS_PER_S = 1000.0


class ColdRunnerPacer:
    """Space the grants on cold runners evenly.

    A bucket would let a burst through when a runner turns cold, and two homes that both
    believe they are the runner's would each let one through: the runner would get more
    than it bears within a second. Even gaps hold one home to the operator's figure in
    any second, and two homes to twice that.
    """

    def __init__(self) -> None:
        self._next_ms: dict[str, float] = {}

    def may_grant(self, runner_id: str, *, now_ms: float) -> bool:
        """Whether a cold runner may get a call now."""
        return self._next_ms.get(runner_id, now_ms) <= now_ms

    def record_grant(
        self, runner_id: str, *, calls_per_s: float, now_ms: float
    ) -> None:
        """Note a call to a cold runner that bears some calls a second."""
        self._next_ms[runner_id] = now_ms + MS_PER_S / calls_per_s

    def remove_runner(self, runner_id: str) -> None:
        """Drop what is known of a runner."""
        self._next_ms.pop(runner_id, None)
