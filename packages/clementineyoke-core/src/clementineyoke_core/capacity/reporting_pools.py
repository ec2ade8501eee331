"""Pools whose runners report their speed."""

from __future__ import annotations

REPORTING_MS = 60_000.0
"""How long a pool counts as reporting after its last report."""


class ReportingPools:
    """Remember which pools have runners that reported their speed recently."""

    def __init__(self) -> None:
        self._reported_ms: dict[str, float] = {}

    def record(self, pool: str, *, now_ms: float) -> bool:
        """Record a report; return whether the pool was not reporting before."""
        is_new = pool not in self._reported_ms
        self._reported_ms[pool] = now_ms
        return is_new

    def has_reports(self, pool: str) -> bool:
        """Return whether runners of a pool report their speed."""
        return pool in self._reported_ms

    def pools(self) -> set[str]:
        """Return the reporting pools."""
        return set(self._reported_ms)

    def expire(self, *, now_ms: float) -> None:
        """Remove the pools without recent reports."""
        for pool, reported_ms in list(self._reported_ms.items()):
            if now_ms - reported_ms > REPORTING_MS:
                del self._reported_ms[pool]
