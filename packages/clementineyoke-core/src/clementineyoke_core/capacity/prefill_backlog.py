"""Rule that bounds the prompt tokens that wait to be processed on an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.capacity.cached_prompts import CachedPrompts
from clementineyoke_core.capacity.recent_objectives import RecentObjectives
from clementineyoke_core.grants.grant_rule import BaseGrantRule
from clementineyoke_core.grants.refusal_reason import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.capacity.engines import Engine, Engines
    from clementineyoke_core.grants.call_profile import PromptCost
    from clementineyoke_core.grants.grant_rule import GrantRequest
    from clementineyoke_core.slot_ledger import SlotHolder

OBJECTIVE_SHARE = 0.5
"""Share of an objective that the backlog may use up before the first event."""
UNKNOWN_CACHE_MS = 20_000.0
"""How long a new home assumes that prompts are cached where their order begins. A
prompt that was not used for that long may have been evicted."""


class _RunnerBacklog:
    """What one runner has cached, and the prompt tokens that wait on it."""

    def __init__(self, *, lifetime: str, cache_known_at_ms: float) -> None:
        self.lifetime = lifetime
        self.cache_known_at_ms = cache_known_at_ms
        """From this time on, a prompt that is not recorded is not cached."""
        self.prompts = CachedPrompts()
        self._added_tokens: dict[SlotHolder, int] = {}
        self._held_tokens = 0
        """Tokens that the calls with a slot have added."""
        self._tokens = 0.0
        self._drained_ms = 0.0

    def __contains__(self, holder: SlotHolder) -> bool:
        return holder in self._added_tokens

    def tokens(self, *, now_ms: float, tokens_per_ms: float) -> float:
        """Return the tokens that wait.

        Calls that ended wait for nothing: without this bound, a rate learned too low
        would let the estimate grow for as long as the load lasts.
        """
        drained_tokens = (now_ms - self._drained_ms) * tokens_per_ms
        return max(0.0, min(self._tokens - drained_tokens, float(self._held_tokens)))

    def add(
        self, holder: SlotHolder, tokens: int, *, now_ms: float, tokens_per_ms: float
    ) -> None:
        """Add the tokens of a granted call; a repeated grant has no effect."""
        if holder in self._added_tokens:
            return
        waiting_tokens = self.tokens(now_ms=now_ms, tokens_per_ms=tokens_per_ms)
        self._added_tokens[holder] = tokens
        self._held_tokens += tokens
        self._tokens = waiting_tokens + tokens
        self._drained_ms = now_ms

    def remove(self, holder: SlotHolder) -> None:
        """Remove a call that ended."""
        self._held_tokens -= self._added_tokens.pop(holder, 0)


class PrefillBacklog(BaseGrantRule):
    """Refuses calls on an engine whose waiting prompts would delay urgent ones.

    The home knows which prompts it granted on a runner, and thus which tokens a call
    adds there. The backlog grows by these tokens at a grant and drains at the rate of
    the pool. A runner that has the shared parts of a call's prompt is refused only for
    its backlog: on another one the call adds more work. A runner without a backlog is
    never refused, since no other one can be faster.
    """

    def __init__(
        self, *, engines: Engines, tokens_per_ms: Callable[[str], float | None]
    ) -> None:
        """Create the rule.

        ``tokens_per_ms`` returns the prefill rate of a pool; None while it is unknown,
        and then no call is refused.
        """
        self._engines = engines
        self._tokens_per_ms = tokens_per_ms
        self._runners: dict[str, _RunnerBacklog] = {}
        self._objectives = RecentObjectives()

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Refuse a call that would wait too long or delay more urgent ones."""
        profile = request.profile
        if request.is_last_resort or not profile.is_described:
            return None
        engine = self._engines.find(request.runner_id)
        backlog = self._runners.get(request.runner_id)
        if engine is None or backlog is None or request.holder in backlog:
            return None
        tokens_per_ms = self._tokens_per_ms(engine.pool)
        if tokens_per_ms is None:
            return None
        now_ms = request.now_ms
        tokens = backlog.tokens(now_ms=now_ms, tokens_per_ms=tokens_per_ms)
        if tokens <= 0.0:
            return None
        if not self._has_shared_parts(request.runner_id, profile.prompt, now_ms):
            tokens += profile.prompt.prompt_tokens
        objective_ms = self._objectives.smallest_ms(
            engine.pool,
            priority=profile.priority,
            objective_ms=profile.objective_ms,
            now_ms=now_ms,
        )
        if tokens / tokens_per_ms <= OBJECTIVE_SHARE * objective_ms:
            return None
        return RefusalReason.PREFILL

    def record_grant(self, request: GrantRequest) -> None:
        """Add the tokens of a call, and remember its prompt and its objective."""
        profile = request.profile
        engine = self._engines.find(request.runner_id)
        if engine is None or not profile.is_described:
            return
        now_ms = request.now_ms
        added_tokens = self.added_tokens(request)
        backlog = self._backlog(request.runner_id, engine, now_ms)
        tokens_per_ms = self._tokens_per_ms(engine.pool)
        if tokens_per_ms is not None:
            backlog.add(
                request.holder,
                added_tokens,
                now_ms=now_ms,
                tokens_per_ms=tokens_per_ms,
            )
        prompt = profile.prompt
        if prompt.shared_tokens:
            backlog.prompts.record(
                prompt.key,
                tokens=prompt.shared_tokens,
                memory_tokens=engine.memory_tokens,
            )
        self._objectives.record(
            engine.pool,
            priority=profile.priority,
            objective_ms=profile.objective_ms,
            now_ms=now_ms,
        )

    def record_renewal(
        self, runner_id: str, holder: SlotHolder, *, tokens: int
    ) -> None:
        """Ignore a renewal: by then, the prompt of the call has been processed."""

    def record_release(self, runner_id: str, holder: SlotHolder) -> None:
        """Remove what a call that ended has added."""
        backlog = self._runners.get(runner_id)
        if backlog is not None:
            backlog.remove(holder)

    def remove_runner(self, runner_id: str) -> None:
        """Remove the state of a runner; one that restarted has an empty cache."""
        old = self._runners.pop(runner_id, None)
        engine = self._engines.find(runner_id)
        if old is None or engine is None or engine.lifetime == old.lifetime:
            return
        self._runners[runner_id] = _RunnerBacklog(
            lifetime=engine.lifetime, cache_known_at_ms=0.0
        )

    def retain(self, *, runner_ids: set[str], pools: set[str]) -> None:
        """Forget the runners whose home is another node, and pools that are gone."""
        for runner_id in self._runners.keys() - runner_ids:
            del self._runners[runner_id]
        self._objectives.retain(pools)

    def added_tokens(self, request: GrantRequest) -> int:
        """Return the prompt tokens that a call adds on a runner; 0 if unknown."""
        prompt = request.profile.prompt
        if self._engines.find(request.runner_id) is None:
            return 0
        if self._has_shared_parts(request.runner_id, prompt, request.now_ms):
            return prompt.own_tokens
        return prompt.prompt_tokens

    def measurable_tokens(self, request: GrantRequest) -> int:
        """Return the prompt tokens that a call adds; 0 if its prompt may be cached.

        A new home takes unknown prompts as absent on all runners but the first. A
        runner that has such a prompt would show several times its prefill rate.
        """
        prompt = request.profile.prompt
        added_tokens = self.added_tokens(request)
        is_taken_as_absent = added_tokens > prompt.own_tokens
        if is_taken_as_absent and not self._knows_cache(
            request.runner_id, request.now_ms
        ):
            return 0
        return added_tokens

    def backlog_tokens(self, runner_id: str, *, now_ms: float) -> int:
        """Return the prompt tokens that wait on a runner; 0 if unknown."""
        engine = self._engines.find(runner_id)
        backlog = self._runners.get(runner_id)
        if engine is None or backlog is None:
            return 0
        tokens_per_ms = self._tokens_per_ms(engine.pool)
        if tokens_per_ms is None:
            return 0
        return round(backlog.tokens(now_ms=now_ms, tokens_per_ms=tokens_per_ms))

    def _has_shared_parts(
        self, runner_id: str, prompt: PromptCost, now_ms: float
    ) -> bool:
        """Return whether a runner has the shared parts of a prompt.

        A new home does not know the cache. It assumes that prompts are where calls with
        them are sent first, so that it refuses none for lack of knowledge.
        """
        if not prompt.shared_tokens:
            return False
        backlog = self._runners.get(runner_id)
        if backlog is not None and prompt.key in backlog.prompts:
            return True
        if self._knows_cache(runner_id, now_ms):
            return False
        return self._engines.is_first(runner_id, prompt.key)

    def _knows_cache(self, runner_id: str, now_ms: float) -> bool:
        """Return whether a prompt that is not recorded is not cached."""
        backlog = self._runners.get(runner_id)
        return backlog is not None and now_ms >= backlog.cache_known_at_ms

    def _backlog(self, runner_id: str, engine: Engine, now_ms: float) -> _RunnerBacklog:
        backlog = self._runners.get(runner_id)
        if backlog is None:
            backlog = _RunnerBacklog(
                lifetime=engine.lifetime, cache_known_at_ms=now_ms + UNKNOWN_CACHE_MS
            )
            self._runners[runner_id] = backlog
        return backlog
