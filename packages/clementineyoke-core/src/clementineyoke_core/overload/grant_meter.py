"""Rate at which a home node grants slots, by pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.call_rate import CallRate
from clementineyoke_core.grants.grant_rule import BaseGrantRule

if TYPE_CHECKING:
    from collections.abc import Collection

    from clementineyoke_core.grants.grant_rule import GrantRequest
    from clementineyoke_core.grants.refusal_reason import RefusalReason
    from clementineyoke_core.runner_table import RunnerTable

GRANTS_KEY_PREFIX = "\0grants:"
"""Prefix of the gossip keys under which the grants per second of a pool are averaged;
no pool has a name that starts with NUL."""


def grants_key(pool: str) -> str:
    """Return the gossip key of a pool's grants per second."""
    return GRANTS_KEY_PREFIX + pool


class GrantMeter(BaseGrantRule):
    """Counts the grants of a home; refuses nothing.

    While calls are rejected, a pool grants slots as fast as its runners free them.
    """

    def __init__(self, *, table: RunnerTable) -> None:
        self._table = table
        self._rates: dict[str, CallRate] = {}

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Refuse nothing."""
        return None

    def record_grant(self, request: GrantRequest) -> None:
        """Count a grant for the pool of its runner."""
        entry = self._table.get(request.runner_id)
        if entry is None:
            return
        rate = self._rates.setdefault(entry.runner.pool, CallRate())
        rate.record(now_ms=request.now_ms)

    def per_s(self, pool: str, *, now_ms: float) -> float:
        """Return the grants per second of this home in a pool."""
        rate = self._rates.get(pool)
        return 0.0 if rate is None else rate.per_s(now_ms=now_ms)

    def retain(self, pools: Collection[str]) -> None:
        """Remove the rates of all other pools."""
        self._rates = {
            pool: rate for pool, rate in self._rates.items() if pool in pools
        }
