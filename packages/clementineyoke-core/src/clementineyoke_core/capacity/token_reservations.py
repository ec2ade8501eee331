"""Rule that keeps the calls of an engine within its memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.grants.call_profile import NO_PROMPT, PromptCost
from clementineyoke_core.grants.grant_rule import BaseGrantRule
from clementineyoke_core.grants.refusal_reason import RefusalReason

if TYPE_CHECKING:
    from clementineyoke_core.capacity.engines import Engines
    from clementineyoke_core.grants.grant_rule import GrantRequest
    from clementineyoke_core.slot_ledger import SlotHolder

USABLE_SHARE = 0.9
"""Share of an engine's memory that is granted. Outputs may be longer than expected, and
an engine without free memory preempts streams and repeats their prefill."""


class _Shared(NamedTuple):
    """The shared parts of a prompt, and the number of calls that use them."""

    tokens: int
    calls: int


class _RunnerReservations:
    """Memory taken by the calls that hold a slot on one runner."""

    def __init__(self) -> None:
        self._calls: dict[SlotHolder, PromptCost | None] = {}
        """Size of each call; None if unknown."""
        self._shared: dict[int, _Shared] = {}
        self._known_tokens = 0
        self._unknown_count = 0

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, holder: SlotHolder) -> bool:
        return holder in self._calls

    @property
    def tokens(self) -> int:
        """Memory of all calls; one of unknown size counts as the mean of the others."""
        known_count = len(self._calls) - self._unknown_count
        if not known_count:
            return 0
        return round(self._known_tokens * len(self._calls) / known_count)

    def added_tokens(self, cost: PromptCost) -> int:
        """Return the memory that a further call takes."""
        shared = self._shared.get(cost.key)
        present_tokens = 0 if shared is None else shared.tokens
        added_shared_tokens = max(0, cost.shared_tokens - present_tokens)
        return cost.own_tokens + cost.output_tokens + added_shared_tokens

    def is_known(self, holder: SlotHolder) -> bool:
        """Return whether the size of a holder's call is known."""
        return self._calls.get(holder) is not None

    def add(self, holder: SlotHolder, cost: PromptCost | None) -> None:
        """Record a call, or replace what is known of it."""
        self.remove(holder)
        self._calls[holder] = cost
        if cost is None:
            self._unknown_count += 1
            return
        self._known_tokens += self.added_tokens(cost)
        if cost.shared_tokens:
            old = self._shared.get(cost.key, _Shared(0, 0))
            tokens = max(old.tokens, cost.shared_tokens)
            self._shared[cost.key] = _Shared(tokens, old.calls + 1)

    def remove(self, holder: SlotHolder) -> None:
        """Remove a call; an unknown holder has no effect."""
        if holder not in self._calls:
            return
        cost = self._calls.pop(holder)
        if cost is None:
            self._unknown_count -= 1
            return
        self._known_tokens -= cost.own_tokens + cost.output_tokens
        if not cost.shared_tokens:
            return
        shared = self._shared[cost.key]
        if shared.calls > 1:
            self._shared[cost.key] = shared._replace(calls=shared.calls - 1)
            return
        del self._shared[cost.key]
        self._known_tokens -= shared.tokens


class TokenReservations(BaseGrantRule):
    """Refuses calls that do not fit in the free memory of an engine.

    A call takes its prompt and its expected output; shared parts of prompts count once
    per runner. An engine without calls accepts any that fits in its whole memory, since
    a call between the usable share and the whole would otherwise never be served.
    """

    def __init__(self, *, engines: Engines) -> None:
        self._engines = engines
        self._runners: dict[str, _RunnerReservations] = {}

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Refuse a call that would exceed the memory; last-resort requests too."""
        engine = self._engines.find(request.runner_id)
        if engine is None or not request.profile.is_described:
            return None
        cost = request.profile.prompt
        reservations = self._runners.get(request.runner_id)
        if reservations is None or not len(reservations):
            fits = cost.total_tokens <= engine.memory_tokens
            return None if fits else RefusalReason.MEMORY
        if request.holder in reservations:
            return None
        tokens = reservations.tokens + reservations.added_tokens(cost)
        if tokens <= USABLE_SHARE * engine.memory_tokens:
            return None
        return RefusalReason.MEMORY

    def record_grant(self, request: GrantRequest) -> None:
        """Reserve the memory of a call."""
        if self._engines.find(request.runner_id) is None:
            return
        profile = request.profile
        cost = profile.prompt if profile.is_described else None
        self._reservations(request.runner_id).add(request.holder, cost)

    def record_renewal(
        self, runner_id: str, holder: SlotHolder, *, tokens: int
    ) -> None:
        """Restore the memory of a call that a previous home granted.

        Renewals do not name the shared parts, so a restored call counts in full: the
        home refuses too many calls rather than too few until the restored ones end.
        """
        if self._engines.find(runner_id) is None:
            return
        reservations = self._reservations(runner_id)
        if reservations.is_known(holder) or (holder in reservations and not tokens):
            return
        cost = NO_PROMPT._replace(own_tokens=tokens) if tokens else None
        reservations.add(holder, cost)

    def record_release(self, runner_id: str, holder: SlotHolder) -> None:
        """Free the memory of a call."""
        reservations = self._runners.get(runner_id)
        if reservations is not None:
            reservations.remove(holder)

    def remove_runner(self, runner_id: str) -> None:
        """Free all memory of a runner."""
        self._runners.pop(runner_id, None)

    def reserved_tokens(self, runner_id: str) -> int:
        """Return the memory reserved on a runner, in tokens."""
        reservations = self._runners.get(runner_id)
        return 0 if reservations is None else reservations.tokens

    def _reservations(self, runner_id: str) -> _RunnerReservations:
        return self._runners.setdefault(runner_id, _RunnerReservations())
