"""The engines whose slots depend on tokens, in this node's view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.capacity.engines import Engine

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.desired_state import DesiredState
    from clementineyoke_core.pool_rings import PoolRings
    from clementineyoke_core.runner_table import RunnerTable


class PoolMemory:
    """Memory of the engines of each pool, by the desired state in force."""

    def __init__(self, *, state: Callable[[], DesiredState | None]) -> None:
        self._state = state
        self._revision = 0
        self._tokens: dict[str, int] = {}

    def tokens(self, pool: str) -> int:
        """Return the memory of each engine of a pool; 0 if the pool has none."""
        return self._current().get(pool, 0)

    def pools(self) -> list[str]:
        """Return the pools of engines."""
        return [pool for pool, tokens in self._current().items() if tokens > 0]

    def _current(self) -> dict[str, int]:
        state = self._state()
        if state is not None and state.revision != self._revision:
            self._revision = state.revision
            self._tokens = {limits.pool: limits.memory_tokens for limits in state.pools}
        return self._tokens


class EngineView:
    """Implements ``Engines`` with the runner table and the rings of this node."""

    def __init__(
        self,
        *,
        table: RunnerTable,
        rings: PoolRings,
        memory: PoolMemory,
        is_active: Callable[[str], bool],
    ) -> None:
        """Create a view; ``is_active`` returns whether a pool accounts in tokens."""
        self._table = table
        self._rings = rings
        self._memory = memory
        self._is_active = is_active

    def memory_tokens(self, pool: str) -> int:
        """Return the memory of a pool's engines; 0 if it does not account in tokens."""
        return self._memory.tokens(pool) if self._is_active(pool) else 0

    def pools(self) -> list[str]:
        """Return the pools that account in tokens."""
        return [pool for pool in self._memory.pools() if self._is_active(pool)]

    def find(self, runner_id: str) -> Engine | None:
        """Return an engine, or None if its pool does not account in tokens."""
        entry = self._table.get(runner_id)
        if entry is None:
            return None
        runner = entry.runner
        memory_tokens = self.memory_tokens(runner.pool)
        if memory_tokens <= 0:
            return None
        return Engine(runner.pool, runner.lifetime, memory_tokens)

    def is_first(self, runner_id: str, key: int) -> bool:
        """Return whether a runner is the first of its pool in a key's order."""
        entry = self._table.get(runner_id)
        if entry is None:
            return False
        return next(self._rings.order(entry.runner.pool, key), None) == runner_id
