"""What this node believes of the desired state and of the runners."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.route_table import RouteTable
from clementineyoke_core.edge.runner_directory import RunnerDirectory
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.desired_state import DesiredState
    from clementineyoke_core.edge.runner_directory import DirectoryView
    from clementineyoke_core.edge.runner_record import RunnerRecord
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.timers.timer_service import TimerService


class FleetView:
    """The one writer of both; news from the store and from peers come the same way."""

    def __init__(
        self,
        *,
        table: RunnerTable,
        timers: TimerService,
        on_runners: Callable[[], None],
        on_news: Callable[[], None],
    ) -> None:
        self._table = table
        self._timers = timers
        self._on_runners = on_runners
        self._on_news = on_news
        self._directory = RunnerDirectory()
        self.routes: RouteTable | None = None
        self.ready = asyncio.Event()
        """Set once a desired state and a list of runners are known."""

    @property
    def state_revision(self) -> int:
        """The revision of the desired state in force; 0 without one."""
        return 0 if self.routes is None else self.routes.state.revision

    @property
    def runners_revision(self) -> int:
        """As of which revision of the store the runners are known."""
        return self._directory.revision

    def directory_view(self) -> DirectoryView:
        """Return the runners as they are handed to a peer."""
        return self._directory.view()

    def take_state(self, state: DesiredState, *, source: str) -> None:
        """Put a desired state in force unless it is no newer.

        A peer or a stale read may bring an older one. Going back would serve calls by
        a version that callers have seen replaced.
        """
        if state.revision <= self.state_revision:
            return
        self.routes = RouteTable(state=state)
        log_event(
            Event.SETTINGS_IN_FORCE,
            version=state.version,
            revision=state.revision,
            source=source,
        )
        self._note_ready()
        self._on_news()

    def take_runners(self, view: DirectoryView, *, source: str) -> None:
        """Take the whole list of runners as of a revision."""
        if self._directory.replace(view, now_ms=self._timers.now_ms()):
            self._apply(source)
        self._note_ready()

    def take_runner(self, record: RunnerRecord, *, revision: int) -> None:
        """Take one changed entry."""
        if self._directory.put(record, revision=revision):
            self._apply("watch")

    def remove_runner(self, runner_id: str, *, revision: int) -> None:
        """Take the end of one entry."""
        now_ms = self._timers.now_ms()
        if self._directory.remove(runner_id, revision=revision, now_ms=now_ms):
            self._apply("watch")

    def record_store_away(self) -> None:
        """Note that the store does not answer."""
        self._directory.record_outage()

    def record_store_back(self) -> None:
        """Note that the store answers after it was away."""
        self._directory.record_outage_end(now_ms=self._timers.now_ms())

    async def drop_lapsed(self) -> None:
        """Drop runners whose entries lapsed in an outage and did not return."""
        gone = self._directory.drop_lapsed(now_ms=self._timers.now_ms())
        if gone:
            self._apply("lapsed")

    def _apply(self, source: str) -> None:
        records = self._directory.records()
        self._table.replace_listed(
            live=[record.runner for record in records if not record.is_leaving],
            leaving=[record.runner for record in records if record.is_leaving],
            now_ms=self._timers.now_ms(),
        )
        log_event(
            Event.HOSTS_CHANGED,
            revision=self._directory.revision,
            source=source,
            runners=len(records),
            leaving=sum(record.is_leaving for record in records),
        )
        self._on_runners()
        self._on_news()

    def _note_ready(self) -> None:
        if self.routes is not None and self._directory.revision:
            self.ready.set()
