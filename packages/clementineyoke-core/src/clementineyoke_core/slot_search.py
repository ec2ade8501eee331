"""Selection of the next runner to request a slot on, given the replies so far."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.grants.refusal_reason import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_REQUESTS = 8
"""Runners tried, the preferred one first and then in ring order, before the last-resort
requests."""
MAX_TIMEOUTS = 2
"""Homes that may time out before the search ends."""
MIN_SEEN_MEAN = 0.01
"""Lower limit of the mean in a last-resort request.

A home recognizes such a request by a mean above zero, even if all runners that refused
were idle.
"""


class SlotAttempt(NamedTuple):
    """The runner to request a slot on, and the load observed so far."""

    runner_id: str
    rank: int
    """Number of runners that were tried before this one; 0 for a preferred runner."""
    seen_mean: float
    """Mean load of the runners that refused; 0 except in a last-resort request."""


class _Refusal(NamedTuple):
    """A refused request; sorts in the order in which last-resort requests are sent."""

    is_held: bool
    in_use: int
    rank: int
    runner_id: str
    reason: RefusalReason


class SlotSearch:
    """Walk a key's order of runners until a home grants a slot.

    During a surge the estimates of the mean load lag by about a second, so every bound
    is too low and requests are refused although runners have free slots. The exact
    loads in the refusals are fresher than any estimate: the last-resort request goes to
    the least loaded runner that refused and carries the mean of those loads. Its home
    computes the bound from the larger of the two means.

    Runners that are held back count in that mean with the slots in use on them. Without
    them the mean is that of the busy runners alone: when most of a pool is paused, each
    last-resort request then raises the bound of the few others, up to four times the
    mean load. A runner that is held back gets a last-resort request only after every
    other one has refused: a runner that fails part of its calls is better than none.

    A runner whose refusal applies to last-resort requests too gets none. Engines
    without free memory often have the fewest slots in use, and the request would be
    refused there while another runner could take the call.
    """

    def __init__(
        self,
        *,
        order: Iterator[str],
        preferred: str | None = None,
        max_requests: int = MAX_REQUESTS,
    ) -> None:
        self._order = order
        self._preferred = preferred
        self._max_requests = max_requests
        self._rank = 0
        self._refusals: list[_Refusal] = []
        self._timeouts: list[tuple[int, str]] = []
        self._last_resorts: set[bool] = set()
        """``is_held`` of the runners that got a last-resort request."""

    def next_attempt(self) -> SlotAttempt | None:
        """Return the runner to request a slot on, or None when the search is over."""
        if len(self._timeouts) >= MAX_TIMEOUTS:
            return None
        if len(self._refusals) + len(self._timeouts) < self._max_requests:
            runner_id = self._next_in_order()
            if runner_id is not None:
                attempt = SlotAttempt(runner_id, self._rank, 0.0)
                self._rank += 1
                return attempt
        return self._next_last_resort()

    def record_refusal(
        self,
        attempt: SlotAttempt,
        *,
        in_use: int,
        reason: RefusalReason = RefusalReason.LOAD,
    ) -> None:
        """Record a refusal with the exact load that the home reported."""
        if attempt.seen_mean > 0.0:
            return  # The refusal of the runner's first request is already recorded.
        refusal = _Refusal(
            reason.is_held, in_use, attempt.rank, attempt.runner_id, reason
        )
        self._refusals.append(refusal)

    def record_timeout(self, attempt: SlotAttempt) -> None:
        """Record that a home did not reply in time."""
        self._timeouts.append((attempt.rank, attempt.runner_id))

    def held_runners(self) -> list[tuple[str, RefusalReason]]:
        """Return the runners that were refused for another reason than their load."""
        return [
            (refusal.runner_id, refusal.reason)
            for refusal in self._refusals
            if refusal.is_held
        ]

    def fallback(
        self,
        last_loads: dict[str, int],
        *,
        is_eligible: Callable[[str], bool] = lambda _: True,
    ) -> SlotAttempt | None:
        """Return the runner with the lowest last known load whose home timed out.

        Waiting for a dead home would delay every call to its runners for the seconds
        until the fleet detects the failure. ``is_eligible`` selects the runners that
        may get a call that no home has counted.
        """
        candidates = [timeout for timeout in self._timeouts if is_eligible(timeout[1])]
        if not candidates:
            return None
        rank, runner_id = min(
            candidates, key=lambda timeout: last_loads.get(timeout[1], 0)
        )
        return SlotAttempt(runner_id, rank, 0.0)

    def _next_in_order(self) -> str | None:
        if self._rank == 0 and self._preferred is not None:
            return self._preferred
        for runner_id in self._order:
            if runner_id != self._preferred:
                return runner_id
        return None

    def _next_last_resort(self) -> SlotAttempt | None:
        candidates = [
            refusal
            for refusal in self._refusals
            if refusal.reason.allows_last_resort
            and refusal.is_held not in self._last_resorts
        ]
        if not candidates:
            return None
        chosen = min(candidates)
        self._last_resorts.add(chosen.is_held)
        seen_mean = sum(r.in_use for r in self._refusals) / len(self._refusals)
        return SlotAttempt(chosen.runner_id, chosen.rank, max(MIN_SEEN_MEAN, seen_mean))
