"""What this node believes of the desired state and of the runners."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.route_table import RouteTable
from clementineyoke_core.edge.runner_directory import RunnerDirectory
from clementineyoke_core.edge.store_freshness import Followed
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.desired_state import DesiredState
    from clementineyoke_core.edge.runner_directory import (
        DirectoryChanges,
        DirectoryView,
    )
    from clementineyoke_core.edge.store_freshness import StoreAges, StoreFreshness
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.timers.timer_service import TimerService


class FleetView:
    """The one writer of both; news from the store and from peers come the same way."""

    def __init__(
        self,
        *,
        table: RunnerTable,
        timers: TimerService,
        freshness: StoreFreshness,
        drain_within_ms: float,
        on_runners: Callable[[], None],
        on_news: Callable[[DirectoryChanges | None], None],
    ) -> None:
        self._table = table
        self._timers = timers
        self._freshness = freshness
        self._on_runners = on_runners
        self._on_news = on_news
        self._directory = RunnerDirectory(drain_within_ms=drain_within_ms)
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

    def knows(self, followed: Followed) -> bool:
        """Whether a part of the view has been heard of at all."""
        if followed is Followed.STATE:
            return self.routes is not None
        return self.runners_revision > 0

    def directory_view(self) -> DirectoryView:
        """Return the runners as they are handed to a peer."""
        return self._directory.view(now_ms=self._timers.now_ms())

    def take_state(
        self, state: DesiredState, *, source: str, is_zone_told: bool = False
    ) -> None:
        """Put a desired state in force unless it is no newer.

        A peer or a stale read may bring an older one. Going back would serve calls by
        a version that callers have seen replaced.

        What the sender has told the whole zone is not passed on.
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
        if not is_zone_told:
            self._on_news(None)

    def take_runners(
        self, view: DirectoryView, *, source: str, is_zone_told: bool = False
    ) -> None:
        """Take the whole list of runners as of a revision."""
        if self._directory.replace(view, now_ms=self._timers.now_ms()):
            self._apply(source)
            if not is_zone_told:
                self._on_news(None)
        self._note_ready()

    def take_changes(
        self, changes: DirectoryChanges, *, source: str, is_zone_told: bool = False
    ) -> None:
        """Take what changed among the runners."""
        if self._directory.apply(changes, now_ms=self._timers.now_ms()):
            self._apply(source)
        if not is_zone_told:
            self._on_news(self._with_lapses(changes))

    def follows_on(self, changes: DirectoryChanges) -> bool:
        """Whether no change is missing between this view and the changes."""
        return self._directory.follows_on(changes)

    def confirm(self, followed: Followed) -> None:
        """Note that the store itself has just been heard on a part of this view."""
        self._freshness.confirm(followed, now_ms=self._timers.now_ms())

    def is_stale(self, followed: Followed) -> bool:
        """Whether nobody has confirmed a part of this view for too long."""
        return self._freshness.is_stale(followed, now_ms=self._timers.now_ms())

    def ages(self) -> StoreAges:
        """Return how long ago this view was known to be the store's newest."""
        return self._freshness.ages(now_ms=self._timers.now_ms())

    def hear_ages(
        self, ages: StoreAges, *, state_revision: int, runners_revision: int
    ) -> None:
        """Take over a peer's confirmation of revisions that are known here too."""
        now_ms = self._timers.now_ms()
        if self.state_revision >= state_revision > 0:
            self._freshness.confirm(Followed.STATE, now_ms=now_ms, age_ms=ages.state_ms)
        if self.runners_revision >= runners_revision > 0:
            self._freshness.confirm(
                Followed.RUNNERS, now_ms=now_ms, age_ms=ages.runners_ms
            )

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

    def _with_lapses(self, changes: DirectoryChanges) -> DirectoryChanges:
        now_ms = self._timers.now_ms()
        removals = tuple(
            ended._replace(
                wait_ms=self._directory.wait_ms(ended.runner_id, now_ms=now_ms)
            )
            for ended in changes.removals
        )
        return changes._replace(removals=removals)

    def _note_ready(self) -> None:
        if self.routes is not None and self._directory.revision:
            self.ready.set()
