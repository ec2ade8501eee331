"""Which peers reach the runners of a pool, as far as this node knows."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from clementineyoke_core.node import Node

REPORT_TTL_MS = 3_000.0
"""How long a peer's report counts; an isolated node repeats it every second."""
FAILURE_TTL_MS = 1_000.0
"""How long a failure counts: a peer that refused a call gets no other one, and one that
accepted no connection only if all others have failed as well."""


class _Report(NamedTuple):
    pools: frozenset[int]
    expires_ms: float


class PeerReach:
    """Choose the peers that may forward calls to a pool this node cannot reach."""

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._reports: dict[str, _Report] = {}
        self._refusals: dict[tuple[str, int], float] = {}
        """Until when refusals count, by node and pool."""
        self._failures: dict[str, float] = {}
        """Until when failed connections count, by node."""

    def record_report(
        self, node_id: str, pools: Collection[int], *, now_ms: float
    ) -> None:
        """Record the pools, by the hash of their name, that a peer cannot reach."""
        if pools:
            report = _Report(frozenset(pools), now_ms + REPORT_TTL_MS)
            self._reports[node_id] = report
        else:
            self._reports.pop(node_id, None)

    def record_refusal(self, node_id: str, pool: int, *, now_ms: float) -> None:
        """Record that a peer reaches no runner of a pool either."""
        self._refusals[node_id, pool] = now_ms + FAILURE_TTL_MS

    def record_failure(self, node_id: str, *, now_ms: float) -> None:
        """Record that a peer accepted no connection."""
        self._failures[node_id] = now_ms + FAILURE_TTL_MS

    def is_in_touch(self, node_id: str, pool: int, *, now_ms: float) -> bool:
        """Return whether nothing speaks against a peer's path to a pool."""
        report = self._reports.get(node_id)
        if report is not None and report.expires_ms > now_ms and pool in report.pools:
            return False
        return self._refusals.get((node_id, pool), 0.0) <= now_ms

    def choose(
        self, peers: Iterable[Node], pool: int, *, max_nodes: int, now_ms: float
    ) -> list[Node]:
        """Return some peers in touch in random order, strong ones more likely first.

        Those that accepted no connection a moment ago come last.
        """
        candidates = [
            node
            for node in peers
            if self.is_in_touch(node.node_id, pool, now_ms=now_ms)
        ]
        # Sorting by these values draws without replacement by weight.
        keyed = [
            (
                self._failures.get(node.node_id, 0.0) <= now_ms,
                self._rng.random() ** (1.0 / max(1, node.calls_per_s)),
                node.node_id,
                node,
            )
            for node in candidates
        ]
        return [node for *_, node in sorted(keyed, reverse=True)[:max_nodes]]

    def drop_expired(self, *, now_ms: float) -> None:
        """Remove what no longer counts."""
        for node_id, report in list(self._reports.items()):
            if report.expires_ms <= now_ms:
                del self._reports[node_id]
        for key, until_ms in list(self._refusals.items()):
            if until_ms <= now_ms:
                del self._refusals[key]
        for node_id, until_ms in list(self._failures.items()):
            if until_ms <= now_ms:
                del self._failures[node_id]
