"""Pools whose runners fail if they have to reject more than a few calls a second."""

from __future__ import annotations

from typing import NamedTuple

ANSWER_TTL_MS = 10_000.0
"""How long the statement in an answer counts if no later answer says otherwise."""
PEER_TTL_MS = 2_000.0
"""How long the statement of a peer counts; each of its slot requests repeats it."""
MIN_BRITTLE_MS = 1_000.0
"""How long a pool stays brittle after a statement. Answers overtake each other."""


class _Statement(NamedTuple):
    rejections_per_s: int
    heard_ms: float
    expires_ms: float


class BrittlePools:
    """Remember how many rejections a second the runners of each pool can take.

    Answers tell this node. Homes that get none of them hear it from the nodes that ask
    for slots. A node passes on only what answers told itself: statements that nodes
    repeat to each other would never end.
    """

    def __init__(self) -> None:
        self._answered: dict[str, _Statement] = {}
        self._told: dict[str, _Statement] = {}

    def record_answer(
        self, pool: str, rejections_per_s: int | None, *, now_ms: float
    ) -> bool:
        """Record an answer of a runner; None if it does not say that it is brittle.

        Return whether that changed what is known.
        """
        known = self._answered.get(pool)
        if rejections_per_s is not None:
            self._answered[pool] = _Statement(
                rejections_per_s, now_ms, now_ms + ANSWER_TTL_MS
            )
            return known is None or known.rejections_per_s != rejections_per_s
        if known is None or now_ms < known.heard_ms + MIN_BRITTLE_MS:
            return False
        del self._answered[pool]
        self._told.pop(pool, None)
        return True

    def record_peer(self, pool: str, rejections_per_s: int, *, now_ms: float) -> None:
        """Record the statement in a peer's slot request."""
        self._told[pool] = _Statement(rejections_per_s, now_ms, now_ms + PEER_TTL_MS)

    def answered_limit(self, pool: str, *, now_ms: float) -> int | None:
        """Return the limit that answers told this node, or None."""
        return _limit(self._answered.get(pool), now_ms)

    def limit(self, pool: str, *, now_ms: float) -> int | None:
        """Return the rejections a second that a pool's runners take; None if any."""
        limits = [
            limit
            for statements in (self._answered, self._told)
            if (limit := _limit(statements.get(pool), now_ms)) is not None
        ]
        return min(limits, default=None)

    def limits(self, *, now_ms: float) -> dict[str, int]:
        """Return the limits of all brittle pools."""
        found = {
            pool: self.limit(pool, now_ms=now_ms)
            for pool in self._answered.keys() | self._told.keys()
        }
        return {pool: limit for pool, limit in found.items() if limit is not None}


def _limit(statement: _Statement | None, now_ms: float) -> int | None:
    if statement is None or statement.expires_ms <= now_ms:
        return None
    return statement.rejections_per_s
