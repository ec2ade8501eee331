"""Rule that keeps calls off runners that are slow at the moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.capacity.recent_prompts import RecentPrompts
from clementineyoke_core.grants.grant_rule import BaseGrantRule
from clementineyoke_core.grants.refusal_reason import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.capacity.runner_speeds import RunnerSpeeds
    from clementineyoke_core.grants.call_profile import CallProfile
    from clementineyoke_core.grants.grant_rule import GrantRequest

MIN_SLOWDOWN = 1.5
"""Slowdown, in itself and relative to the pool, from which calls are refused."""
SHORT_OBJECTIVE_MS = 600.0
"""Objective that a fraction of a second of slow work uses up."""
LONG_PREFILL_TOKENS = 3_000
"""Tokens to prefill that delay the streams of a slow runner beyond their allowed pause:
at 57 tokens per ms and 2.5 times as long they take 132 ms."""
PREFILL_TOKENS_PER_MS = 57.0
"""Rate of the slower of two measured deployments. Where prefill is faster, moving a
call is cheaper than estimated, and some calls stay that could move."""
FIRST_EVENT_MS = 35.0
"""Time from the end of prefill to a stream's first event: ten decode steps."""
INTERFERENCE_MS = 300.0
"""Time for which a runner that is slow now probably stays slow."""


class SpeedRule(BaseGrantRule):
    """Refuses calls on a slow runner if another runner probably serves them sooner.

    Only calls with a short objective or a long prefill are refused. Last-resort and
    queued requests pass: the other runners have refused them already.
    """

    def __init__(
        self, *, speeds: RunnerSpeeds, pool_of: Callable[[str], str | None]
    ) -> None:
        """Create the rule; ``pool_of`` returns the pool of a runner, if it is known."""
        self._speeds = speeds
        self._pool_of = pool_of
        self._recent_prompts = RecentPrompts()

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Refuse a slot on a slow runner where staying costs the caller more."""
        if request.is_last_resort or request.is_queued:
            return None
        profile = request.profile
        if not profile.is_described:
            return None
        slowdown = self._find_slowdown(request)
        if slowdown < MIN_SLOWDOWN:
            return None
        is_cached = self._recent_prompts.may_have(
            request.runner_id, profile.prompt.key, now_ms=request.now_ms
        )
        if not _is_sensitive(profile, is_cached=is_cached):
            return None
        if _staying_ms(profile, slowdown, is_cached=is_cached) <= _moving_ms(
            profile, is_cached=is_cached
        ):
            return None
        return RefusalReason.SPEED

    def load_weight(self, request: GrantRequest) -> float:
        """Return the share of its load bound that a runner may use for a call.

        A call stays on a lastingly slow runner that has its prompt cached, up to the
        full bound, if another runner would take longer to prefill the prompt.
        """
        estimate = self._speeds.estimate(request.runner_id, now_ms=request.now_ms)
        profile = request.profile
        if estimate.load_weight >= 1.0 or not profile.prompt.key:
            return estimate.load_weight
        is_cached = self._recent_prompts.may_have(
            request.runner_id, profile.prompt.key, now_ms=request.now_ms
        )
        delay_ms = _delay_ms(profile, 1.0 / estimate.load_weight, is_cached=is_cached)
        if delay_ms <= _moving_ms(profile, is_cached=is_cached):
            return 1.0
        return estimate.load_weight

    def record_grant(self, request: GrantRequest) -> None:
        """Remember the prompt, which is cached on the runner from now on."""
        runner_id, profile = request.runner_id, request.profile
        if profile.is_described:
            self._recent_prompts.record(
                runner_id, profile.prompt.key, now_ms=request.now_ms
            )
        else:
            self._recent_prompts.record_unknown(runner_id, now_ms=request.now_ms)

    def remove_runner(self, runner_id: str) -> None:
        """Remove the speed and the prompts of a runner."""
        self._speeds.remove_runner(runner_id)
        self._recent_prompts.remove_runner(runner_id)

    def _find_slowdown(self, request: GrantRequest) -> float:
        """Return the runner's slowdown relative to the pool; 1 if it is not slow."""
        estimate = self._speeds.estimate(request.runner_id, now_ms=request.now_ms)
        if estimate.current < MIN_SLOWDOWN:
            return 1.0
        pool = self._pool_of(request.runner_id)
        usual = None if pool is None else self._speeds.pool_slowdown(pool)
        # Without a pool to compare with, the whole pool may be as slow.
        return 1.0 if usual is None else estimate.reported / usual


def _is_sensitive(profile: CallProfile, *, is_cached: bool) -> bool:
    if profile.objective_ms <= SHORT_OBJECTIVE_MS:
        return True
    return _new_tokens(profile, is_cached=is_cached) >= LONG_PREFILL_TOKENS


def _new_tokens(profile: CallProfile, *, is_cached: bool) -> int:
    """Return the tokens that the runner has to prefill."""
    prompt = profile.prompt
    return prompt.own_tokens if is_cached else prompt.prompt_tokens


def _delay_ms(profile: CallProfile, slowdown: float, *, is_cached: bool) -> float:
    """Return the delay of the call's first event on a lastingly slow runner."""
    work_ms = _new_tokens(profile, is_cached=is_cached) / PREFILL_TOKENS_PER_MS
    return (work_ms + FIRST_EVENT_MS) * (slowdown - 1.0)


def _staying_ms(profile: CallProfile, slowdown: float, *, is_cached: bool) -> float:
    """Return the delay of the call's first event on a runner that is slow now.

    It is limited by the work lost until the runner is probably fast again.
    """
    delay_ms = _delay_ms(profile, slowdown, is_cached=is_cached)
    return min(delay_ms, INTERFERENCE_MS * (1.0 - 1.0 / slowdown))


def _moving_ms(profile: CallProfile, *, is_cached: bool) -> float:
    """Return the delay of the call by the prefill of shared parts elsewhere."""
    if not is_cached:
        return 0.0
    return profile.prompt.shared_tokens / PREFILL_TOKENS_PER_MS
