"""Which runner to ask next for a slot, given the answers so far."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

MOST_ASKS = 8
"""Runners asked in the chat's order before the least loaded one is pressed."""
FALLBACK_CHOICES = 2
PAUSED_LOAD = 60_000
"""Load that a home names for a runner that it has paused: the last to be pressed."""
LEAST_EVIDENCE = 0.01
"""Mean that goes with the last ask when only paused runners are left; above zero, it
tells the home that this is the last ask."""


class SlotAttempt(NamedTuple):
    """The runner to ask, and the evidence that the ask carries."""

    runner_id: str
    rank: int
    """How many runners stood before it in the chat's order."""
    seen_mean: float
    """Mean of the loads that refusing homes named; 0 without evidence."""


class SlotSearch:
    """Walk a chat's order of runners until a home grants.

    A surge makes every bound too low for about a second: estimates of the mean lag,
    seen as refusals while runners have room. The refusing homes' exact loads are
    fresher than any estimate, so the last ask goes to the least loaded of them and
    carries their mean; its home takes the larger mean for its bound.
    """

    def __init__(
        self,
        *,
        order: Iterator[str],
        preferred: str | None = None,
        most_asks: int = MOST_ASKS,
    ) -> None:
        self._order = order
        self._preferred = preferred
        self._most_asks = most_asks
        self._rank = 0
        self._refused: list[tuple[int, int, str]] = []
        self._silent: list[tuple[int, str]] = []
        self._is_pressed = False

    def next_attempt(self) -> SlotAttempt | None:
        """Return whom to ask now, or None when the search is over."""
        if len(self._silent) >= FALLBACK_CHOICES:
            return None
        if len(self._refused) + len(self._silent) < self._most_asks:
            runner_id = self._next_in_order()
            if runner_id is not None:
                attempt = SlotAttempt(runner_id, self._rank, 0.0)
                self._rank += 1
                return attempt
        return self._press()

    def record_refusal(self, attempt: SlotAttempt, *, in_use: int) -> None:
        """Take a home's refusal with the exact load that it named."""
        self._refused.append((in_use, attempt.rank, attempt.runner_id))

    def record_silence(self, attempt: SlotAttempt) -> None:
        """Note that a home did not answer in time."""
        self._silent.append((attempt.rank, attempt.runner_id))

    def fallback(self, last_loads: dict[str, int]) -> SlotAttempt | None:
        """Return the less loaded of two silent homes' runners, by what is known.

        Waiting for a dead home would stall every chat of its runners until the fleet
        has noticed, some seconds.
        """
        if not self._silent:
            return None
        rank, runner_id = min(
            self._silent, key=lambda silent: last_loads.get(silent[1], 0)
        )
        return SlotAttempt(runner_id, rank, 0.0)

    def _next_in_order(self) -> str | None:
        if self._rank == 0 and self._preferred is not None:
            return self._preferred
        for runner_id in self._order:
            if runner_id != self._preferred:
                return runner_id
        return None

    def _press(self) -> SlotAttempt | None:
        if self._is_pressed or not self._refused:
            return None
        self._is_pressed = True
        loads = [load for load, _, _ in self._refused if load < PAUSED_LOAD]
        seen_mean = sum(loads) / len(loads) if loads else 0.0
        seen_mean = max(LEAST_EVIDENCE, seen_mean)
        _, rank, runner_id = min(self._refused)
        return SlotAttempt(runner_id, rank, seen_mean)
