"""Tasks that an object owns; none ends unseen."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Self

from clementineyoke_wire.events import Event, log_failure

if TYPE_CHECKING:
    from collections.abc import Coroutine


class BackgroundTasks:
    """Own tasks; cancels what is left when closed.

    asyncio keeps an unawaited task's exception to itself: a watch that died of a bug
    would be seen only as a node that slowly goes stale. Here it is an error event.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    async def __aenter__(self) -> Self:
        """Begin to own tasks."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(self, work: Coroutine[Any, Any, Any], *, name: str) -> None:
        """Run something in a task of its own."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, Exception):
            log_failure(Event.TASK_FAILED, error, task=task.get_name())
