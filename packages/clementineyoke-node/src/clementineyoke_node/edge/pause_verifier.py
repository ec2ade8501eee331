"""Ends the pause of a runner that only some nodes do not reach."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.reach_verdict import ReachVerdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.edge.reach_witnesses import ReachWitnesses
    from clementineyoke_node.slots.slot_home import SlotHome
    from clementineyoke_node.timers.background_tasks import BackgroundTasks


class PauseVerifier:
    """Ask nodes other than those that reported a runner whether they reach it."""

    def __init__(
        self,
        *,
        table: RunnerTable,
        tasks: BackgroundTasks,
        witnesses: Callable[[], ReachWitnesses],
        slot_home: Callable[[], SlotHome],
    ) -> None:
        """Create a verifier; the parts that it asks are made after it."""
        self._table = table
        self._tasks = tasks
        self._witnesses = witnesses
        self._slot_home = slot_home

    def verify(self, runner_id: str, reporters: list[str]) -> None:
        """Start to verify that a paused runner is unreachable."""
        entry = self._table.get(runner_id)
        if entry is not None:
            verification = self._verify(entry.runner, reporters)
            self._tasks.spawn(verification, name="verify_pause")

    async def _verify(self, runner: Runner, reporters: list[str]) -> None:
        verdict = await self._witnesses().ask(runner, without=reporters)
        if not self._table.is_current(runner):
            return
        if verdict is ReachVerdict.REACHED:
            self._slot_home().record_reached(runner.runner_id)
        elif verdict is ReachVerdict.UNREACHABLE:
            self._slot_home().record_ended(runner.runner_id)
