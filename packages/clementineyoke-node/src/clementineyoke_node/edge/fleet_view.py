"""The node's view of the desired state, the runners and the evacuated zones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.cold_runners import ColdRunnerLimit
from clementineyoke_core.edge.evacuations import Evacuations
from clementineyoke_core.edge.route_table import RouteTable
from clementineyoke_core.edge.runner_directory import RunnerDirectory
from clementineyoke_core.edge.store_freshness import ViewPart
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementineyoke_core.cold_runners import ColdRunners
    from clementineyoke_core.edge.desired_state import DesiredState
    from clementineyoke_core.edge.evacuations import (
        EvacuationChanges,
        EvacuationView,
        ZoneChange,
    )
    from clementineyoke_core.edge.runner_directory import (
        DirectoryChanges,
        DirectoryView,
    )
    from clementineyoke_core.edge.runner_record import RunnerRecord
    from clementineyoke_core.edge.store_freshness import StoreAges, StoreFreshness
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.timers.timer_service import TimerService

MOST_LOGGED_IDS = 16
"""Bounds the length of a log line when a whole pool stops taking new calls."""


class FleetView:
    """Apply updates of the view, whether they come from the store or from peers.

    No other class writes the view.
    """

    def __init__(
        self,
        *,
        table: RunnerTable,
        cold: ColdRunners,
        timers: TimerService,
        freshness: StoreFreshness,
        drain_within_ms: float,
        follows_evacuations: bool,
        on_runners: Callable[[], None],
        on_news: Callable[[DirectoryChanges | None], None],
    ) -> None:
        self._table = table
        self._cold = cold
        self._follows_evacuations = follows_evacuations
        self._timers = timers
        self._freshness = freshness
        self._on_runners = on_runners
        self._on_news = on_news
        self._directory = RunnerDirectory(drain_within_ms=drain_within_ms)
        self._live_ids: set[str] = set()
        self.evacuations = Evacuations()
        self.routes: RouteTable | None = None
        self.ready = asyncio.Event()
        """Set once the desired state, the runners and, if zones may be evacuated, the
        evacuations are known: the first call must not go to an evacuated zone."""

    @property
    def state_revision(self) -> int:
        """The revision of the desired state in force; 0 if there is none."""
        return 0 if self.routes is None else self.routes.state.revision

    @property
    def runners_revision(self) -> int:
        """The revision of the store up to which the runners are known."""
        return self._directory.revision

    def knows(self, followed: ViewPart) -> bool:
        """Whether a part of the view has been received at all."""
        if followed is ViewPart.STATE:
            return self.routes is not None
        if followed is ViewPart.EVACUATIONS:
            return self.evacuations.is_known
        return self.runners_revision > 0

    def directory_view(self) -> DirectoryView:
        """Return the runners in the form that is sent to a peer."""
        now_ms = self._timers.now_ms()
        view = self._directory.view(now_ms=now_ms)
        records = tuple(
            record._replace(
                cold_ms=self._cold.remaining_ms(record.runner, now_ms=now_ms)
            )
            for record in view.records
        )
        return view._replace(records=records)

    def apply_state(
        self, state: DesiredState, *, source: str, is_zone_told: bool = False
    ) -> None:
        """Apply a desired state if it is newer than the one in force.

        A peer or a stale read may return an older state. Applying it would serve calls
        by a version that callers have seen replaced.

        With ``is_zone_notified``, the sender has sent the update to the whole zone, and
        it is not broadcast again.
        """
        if state.revision <= self.state_revision:
            return
        self.routes = RouteTable(state=state)
        self._cold.set_limits(
            {
                limits.pool: ColdRunnerLimit(limits.cold_calls_per_s, limits.cold_ms)
                for limits in state.pools
            }
        )
        log_event(
            Event.SETTINGS_IN_FORCE,
            version=state.version,
            revision=state.revision,
            source=source,
        )
        self._note_ready()
        if not is_zone_told:
            self._on_news(None)

    def apply_runners(
        self, view: DirectoryView, *, source: str, is_zone_told: bool = False
    ) -> None:
        """Apply a complete list of runners as of a revision."""
        words = self._unheard(view.records)
        lapsed_before = self._directory.lapsed_ids()
        if self._directory.replace(view, now_ms=self._timers.now_ms()):
            self._apply(source)
            self._note_cold(words)
            if not is_zone_told:
                self._on_news(None)
        self._log_lapses(lapsed_before, source)
        self._note_ready()

    def apply_runner_changes(
        self, changes: DirectoryChanges, *, source: str, is_zone_told: bool = False
    ) -> None:
        """Apply changes of runners."""
        words = self._unheard(changes.records)
        lapsed_before = self._directory.lapsed_ids()
        if self._directory.apply(changes, now_ms=self._timers.now_ms()):
            self._apply(source)
        self._note_cold(words)
        self._log_lapses(lapsed_before, source)
        if not is_zone_told:
            self._on_news(self._with_lapses(changes))

    def record_draining(self, runner: Runner) -> DirectoryChanges | None:
        """Record that a runner's answer signals that it drains, and notify the zone.

        Returns the changes, or None if it was known. The runner's entry in the store
        may be updated much later, and the runner exits soon after that.
        """
        news = self._directory.record_draining(runner)
        if news is not None:
            self._apply("answer")
            self._on_news(news)
        return news

    def apply_evacuations(
        self, view: EvacuationView, *, source: str, is_zone_told: bool = False
    ) -> None:
        """Apply a complete list of evacuated zones as of a revision."""
        change = self.evacuations.replace(view)
        self._apply_zones(change, source, is_zone_told=is_zone_told)

    def apply_evacuation_changes(
        self, changes: EvacuationChanges, *, source: str
    ) -> None:
        """Apply changes of the evacuated zones."""
        self._apply_zones(self.evacuations.apply(changes), source, is_zone_told=False)

    def follows_on(self, changes: DirectoryChanges) -> bool:
        """Whether no change is missing between this view and ``changes``."""
        return self._directory.is_contiguous_with(changes)

    def confirm(self, followed: ViewPart) -> None:
        """Record that the store itself has just confirmed a part of this view."""
        now_ms = self._timers.now_ms()
        self._freshness.confirm(followed, now_ms=now_ms)
        self._directory.record_store_answer(at_ms=now_ms)

    def is_stale(self, followed: ViewPart) -> bool:
        """Whether a part of this view has not been confirmed for too long."""
        return self._freshness.is_stale(followed, now_ms=self._timers.now_ms())

    def ages(self) -> StoreAges:
        """Return how long ago each part was known to be the store's newest."""
        return self._freshness.ages(now_ms=self._timers.now_ms())

    def hear_ages(
        self,
        ages: StoreAges,
        *,
        state_revision: int,
        runners_revision: int,
        evacuations_version: int,
    ) -> None:
        """Adopt a peer's confirmation of revisions that this view has reached."""
        now_ms = self._timers.now_ms()
        self._directory.record_store_answer(at_ms=now_ms - min(ages))
        if self.state_revision >= state_revision > 0:
            self._freshness.confirm(ViewPart.STATE, now_ms=now_ms, age_ms=ages.state_ms)
        if self.runners_revision >= runners_revision > 0:
            self._freshness.confirm(
                ViewPart.RUNNERS, now_ms=now_ms, age_ms=ages.runners_ms
            )
        if self.evacuations.view.revision >= evacuations_version > 0:
            self._freshness.confirm(
                ViewPart.EVACUATIONS, now_ms=now_ms, age_ms=ages.evacuations_ms
            )

    def record_store_away(self) -> None:
        """Record that the store does not answer this node."""
        self._directory.record_store_failure()

    def record_store_back(self) -> None:
        """Record that the store answers this node again."""
        self._directory.record_store_recovery(now_ms=self._timers.now_ms())

    async def drop_lapsed(self) -> None:
        """Drop runners whose entries expired in an outage and were not renewed."""
        gone = self._directory.drop_lapsed(now_ms=self._timers.now_ms())
        if gone:
            self._apply("lapsed")

    def _apply(self, source: str) -> None:
        records = self._directory.records()
        live = [record.runner for record in records if not record.is_leaving]
        live_ids = {runner.runner_id for runner in live}
        no_longer_live = self._live_ids - live_ids
        self._live_ids = live_ids
        self._table.apply_host_list(
            live=live,
            leaving=[record.runner for record in records if record.is_leaving],
            now_ms=self._timers.now_ms(),
        )
        log_event(
            Event.HOSTS_CHANGED,
            revision=self._directory.revision,
            source=source,
            runners=len(records),
            leaving=sum(record.is_leaving for record in records),
            no_longer_live=sorted(no_longer_live)[:MOST_LOGGED_IDS],
        )
        self._on_runners()

    def _log_lapses(self, lapsed_before: set[str], source: str) -> None:
        """Log the runners that have lapsed since ``lapsed_before`` was read."""
        now_ms = self._timers.now_ms()
        for runner_id in sorted(self._directory.lapsed_ids() - lapsed_before):
            log_event(
                Event.RUNNER_LAPSED,
                runner=runner_id,
                wait_ms=self._directory.wait_ms(runner_id, now_ms=now_ms),
                source=source,
                is_store_away=self._directory.in_outage(now_ms=now_ms),
            )

    def _apply_zones(
        self, change: ZoneChange | None, source: str, *, is_zone_told: bool
    ) -> None:
        if change is None:
            return
        orders = self.evacuations.view.zones
        self._table.set_evacuated_zones(
            {order.availability_zone: order.revision for order in orders}
        )
        for zone, revision in change.evacuated:
            log_event(Event.ZONE_EVACUATED, zone=zone, revision=revision, source=source)
        for zone in change.returned:
            self._assume_cold(zone)
            log_event(
                Event.ZONE_RETURNED,
                zone=zone,
                revision=self.evacuations.version,
                source=source,
            )
        self._note_ready()
        if not is_zone_told:
            self._on_news(None)

    def _assume_cold(self, zone: str) -> None:
        """Treat the runners of a returning zone as cold, whatever they last reported.

        They may have been restarted while they got no calls. Their reports of that come
        late, and they would get the calls of all their prompts at once.
        """
        now_ms = self._timers.now_ms()
        for record in self._directory.records():
            if record.runner.availability_zone == zone:
                self._cold.assume_cold(record.runner, now_ms=now_ms)

    def _unheard(self, records: Iterable[RunnerRecord]) -> list[RunnerRecord]:
        """Return the records that are newer than what is known of their runners.

        Lists repeat old records: a runner that has been treated as cold since then
        would count as warm again.
        """
        return [record for record in records if self._directory.is_newer(record)]

    def _note_cold(self, records: list[RunnerRecord]) -> None:
        """Record how long runners stay cold, except from records that were refused."""
        now_ms = self._timers.now_ms()
        for record in records:
            if self._directory.is_newest(record):
                self._cold.record_report(
                    record.runner, remaining_ms=record.cold_ms, now_ms=now_ms
                )

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
        knows_zones = self.evacuations.is_known or not self._follows_evacuations
        if self.routes is not None and self._directory.revision and knows_zones:
            self.ready.set()
