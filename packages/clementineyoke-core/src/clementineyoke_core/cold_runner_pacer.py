"""Even spacing of the calls that a home grants on its cold runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

MS_PER_S = 1000.0
TAKEOVER_PAUSE_MS = 1_000.0
"""Pause of a runner's new home before its first grant while the runner is cold.

The former home may be alive and still grant: a node that is only slow misses its probes
and is declared down until it refutes that, which takes some gossip rounds of 250 ms.
The limit holds for any second, so a shorter pause would put the grants of both homes
into the same second.
"""


class ColdRunnerPacer:
    """Space the grants on cold runners evenly.

    A token bucket would allow a burst when a runner turns cold, and two nodes that both
    consider themselves its home would allow one each: the runner would get more calls
    within a second than it can handle. Even spacing keeps one home within the
    operator's rate in any second, and two homes within twice that rate. A node that
    becomes the home of a runner pauses first, since the former home may still grant.
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

    def record_takeover(self, runner_id: str, *, now_ms: float) -> None:
        """Record that this node has become the home of a runner that had another."""
        self._next_grant_ms[runner_id] = now_ms + TAKEOVER_PAUSE_MS

    def remove_runner(self, runner_id: str) -> None:
        """Remove the state of a runner."""
        self._next_grant_ms.pop(runner_id, None)

    def retain(self, runner_ids: Collection[str]) -> None:
        """Remove the state of all runners but the given ones."""
        for runner_id in self._next_grant_ms.keys() - runner_ids:
            del self._next_grant_ms[runner_id]
