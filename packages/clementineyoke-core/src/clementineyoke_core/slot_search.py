"""Which runner to ask next for a slot, given the answers so far."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MOST_ASKS = 8
"""Runners asked in the chat's order before the least loaded one is pressed."""
FALLBACK_CHOICES = 2
LEAST_EVIDENCE = 0.01
"""Mean that goes with a last ask when all runners seen were idle; above zero, it tells
the home that this is a last ask."""


class SlotAttempt(NamedTuple):
    """The runner to ask, and the evidence that the ask carries."""

    runner_id: str
    rank: int
    """How many runners stood before it in the chat's order."""
    seen_mean: float
    """Mean of the loads that refusing homes named; 0 without evidence."""


class _Refused(NamedTuple):
    """A refusal; the order is the one in which runners are pressed."""

    is_held: bool
    in_use: int
    rank: int
    runner_id: str


class SlotSearch:
    """Walk a chat's order of runners until a home grants.

    A surge makes every bound too low for about a second: estimates of the mean lag,
    seen as refusals while runners have room. The refusing homes' exact loads are
    fresher than any estimate, so a last ask goes to the least loaded of them and
    carries their mean; its home takes the larger mean for its bound.

    Runners that are held back count in that mean with what they hold. Without them the
    mean is that of the busy ones alone: when most of a pool is paused, each last ask
    then raises the bound of the few others, seen as runners at four times the mean.
    Held ones are pressed when no other grants: a runner that fails part of its calls
    is still better than none.
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
        self._refused: list[_Refused] = []
        self._silent: list[tuple[int, str]] = []
        self._pressed: set[bool] = set()
        """Of which kind a runner was pressed: held back or not."""

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

    def record_refusal(
        self, attempt: SlotAttempt, *, in_use: int, is_held: bool = False
    ) -> None:
        """Take a home's refusal with the exact load that it named."""
        if attempt.seen_mean > 0.0:
            return  # a last ask; the runner's first refusal is known
        refused = _Refused(is_held, in_use, attempt.rank, attempt.runner_id)
        self._refused.append(refused)

    def record_timeout(self, attempt: SlotAttempt) -> None:
        """Note that a home did not answer in time."""
        self._silent.append((attempt.rank, attempt.runner_id))

    def held_runner_ids(self) -> list[str]:
        """Return the runners that were refused for another reason than their load."""
        return [one.runner_id for one in self._refused if one.is_held]

    def fallback(
        self,
        last_loads: dict[str, int],
        *,
        is_eligible: Callable[[str], bool] = lambda _: True,
    ) -> SlotAttempt | None:
        """Return the less loaded of two silent homes' runners, by what is known.

        Waiting for a dead home would stall every chat of its runners until the fleet
        has noticed, some seconds. ``may_take`` tells which runners may get a call that
        no home has counted.
        """
        left = [silent for silent in self._silent if is_eligible(silent[1])]
        if not left:
            return None
        rank, runner_id = min(left, key=lambda silent: last_loads.get(silent[1], 0))
        return SlotAttempt(runner_id, rank, 0.0)

    def _next_in_order(self) -> str | None:
        if self._rank == 0 and self._preferred is not None:
            return self._preferred
        for runner_id in self._order:
            if runner_id != self._preferred:
                return runner_id
        return None

    def _press(self) -> SlotAttempt | None:
        left = [one for one in self._refused if one.is_held not in self._pressed]
        if not left:
            return None
        chosen = min(left)
        self._pressed.add(chosen.is_held)
        seen_mean = sum(one.in_use for one in self._refused) / len(self._refused)
        return SlotAttempt(
            chosen.runner_id, chosen.rank, max(LEAST_EVIDENCE, seen_mean)
        )
