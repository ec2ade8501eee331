"""Background tasks whose exceptions are logged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Self, TypeVar

from clementineyoke_wire.events import Event, log_failure

if TYPE_CHECKING:
    from collections.abc import Coroutine

ResultT = TypeVar("ResultT")


class BackgroundTasks:
    """Own tasks, log their exceptions and cancel the remaining ones on close.

    asyncio does not raise the exception of a task that is not awaited: a watch that
    failed with a bug would show only as a node whose state slowly becomes stale.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    async def __aenter__(self) -> Self:
        """Return the object; tasks are started by ``spawn``."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the tasks and wait for them to end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(
        self, coroutine: Coroutine[Any, Any, ResultT], *, name: str
    ) -> asyncio.Task[ResultT]:
        """Run a coroutine in a new task, and return the task."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, Exception):
            log_failure(Event.TASK_FAILED, error, task=task.get_name())
