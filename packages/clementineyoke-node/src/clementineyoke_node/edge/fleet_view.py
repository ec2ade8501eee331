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
    from collections.abc import Callable, Iterable, Sequence

    from clementineyoke_core.cold_runners import ColdRunners
    from clementineyoke_core.edge.desired_state import DesiredState
    from clementineyoke_core.edge.evacuations import (
        EvacuationChanges,
        EvacuationView,
        ZoneChange,
    )
    from clementineyoke_core.edge.route import Route
    from clementineyoke_core.edge.runner_directory import (
        DirectoryChanges,
        DirectoryView,
    )
    from clementineyoke_core.edge.runner_record import RunnerRecord
    from clementineyoke_core.edge.store_freshness import StoreAges, StoreFreshness
    from clementineyoke_core.lifetime_doubts import LifetimeDoubt
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.timers.timer_service import TimerService

MAX_LOGGED_IDS = 16
"""Bounds the length of a log line when a whole pool stops taking new calls."""


class FleetView:
    """Hold the view, and apply updates from the store and from peers in the same way.

    No other class changes the view.
    """

    def __init__(
        self,
        *,
        table: RunnerTable,
        cold_runners: ColdRunners,
        timers: TimerService,
        freshness: StoreFreshness,
        drain_within_ms: float,
        follows_evacuations: bool,
        on_runners_changed: Callable[[], None],
        on_update: Callable[[DirectoryChanges | None], None],
    ) -> None:
        self._table = table
        self._cold_runners = cold_runners
        self._follows_evacuations = follows_evacuations
        self._timers = timers
        self._freshness = freshness
        self._on_runners_changed = on_runners_changed
        self._on_update = on_update
        self._directory = RunnerDirectory(drain_within_ms=drain_within_ms)
        self._live_ids: set[str] = set()
        self.evacuations = Evacuations()
        self.routes: RouteTable | None = None
        self.on_gap: Callable[[int], None] = lambda _: None
        """Called with a list's revision before it is applied, if it skips changes."""
        self.is_read_here = False
        """Whether this node reads the runners from the store, not only from peers."""
        self.on_routes: Callable[[Sequence[Route]], None] = lambda _: None
        """Called with the routes of each desired state that is applied."""
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

    def knows(self, part: ViewPart) -> bool:
        """Whether a part of the view has been received at all."""
        if part is ViewPart.STATE:
            return self.routes is not None
        if part is ViewPart.EVACUATIONS:
            return self.evacuations.is_known
        return self.runners_revision > 0

    def directory_view(self) -> DirectoryView:
        """Return the runners in the form that is sent to a peer."""
        now_ms = self._timers.now_ms()
        view = self._directory.view(now_ms=now_ms)
        records = tuple(
            record._replace(
                cold_ms=self._cold_runners.remaining_ms(record.runner, now_ms=now_ms)
            )
            for record in view.records
        )
        return view._replace(records=records)

    def apply_state(
        self, state: DesiredState, *, source: str, is_zone_notified: bool = False
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
        self.on_routes(state.routes)
        self._cold_runners.set_limits(
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
        self._update_ready()
        if not is_zone_notified:
            self._on_update(None)

    def apply_runners(
        self, view: DirectoryView, *, source: str, is_zone_notified: bool = False
    ) -> None:
        """Apply a complete list of runners as of a revision."""
        newer = self._newer_records(view.records)
        lapsed_before = self._directory.lapsed_ids()
        if 0 < self.runners_revision < view.revision:
            self.on_gap(view.revision)
        if self._directory.replace(view, now_ms=self._timers.now_ms()):
            self._update_runner_table(source)
            self._record_cold_times(newer)
            if not is_zone_notified:
                self._on_update(None)
        self._log_lapses(lapsed_before, source)
        self._update_ready()

    def apply_runner_changes(
        self, changes: DirectoryChanges, *, source: str, is_zone_notified: bool = False
    ) -> None:
        """Apply changes of runners."""
        newer = self._newer_records(changes.records)
        lapsed_before = self._directory.lapsed_ids()
        if self._directory.apply(changes, now_ms=self._timers.now_ms()):
            self._update_runner_table(source)
        self._record_cold_times(newer)
        self._log_lapses(lapsed_before, source)
        if not is_zone_notified:
            self._on_update(self._with_wait_times(changes))

    def record_draining(self, runner: Runner) -> DirectoryChanges | None:
        """Record that a runner's answer signals that it drains, and notify the zone.

        Returns the changes, or None if this was known already. The runner's entry in
        the store may be updated much later, and the runner exits soon after that.
        """
        changes = self._directory.record_draining(runner)
        if changes is not None:
            self._update_runner_table("answer")
            self._on_update(changes)
        return changes

    def apply_evacuations(
        self, view: EvacuationView, *, source: str, is_zone_notified: bool = False
    ) -> None:
        """Apply a complete list of evacuated zones as of a revision."""
        change = self.evacuations.replace(view)
        self._apply_zone_change(change, source, is_zone_notified=is_zone_notified)

    def apply_evacuation_changes(
        self, changes: EvacuationChanges, *, source: str
    ) -> None:
        """Apply changes of the evacuated zones."""
        self._apply_zone_change(
            self.evacuations.apply(changes), source, is_zone_notified=False
        )

    def lists_version(self, runner: Runner) -> bool:
        """Whether a runner of the same pool and version is listed."""
        known = ((r.runner.pool, r.runner.version) for r in self._directory.records())
        return (runner.pool, runner.version) in known

    def is_contiguous_with(self, changes: DirectoryChanges) -> bool:
        """Whether no change is missing between this view and ``changes``."""
        return self._directory.is_contiguous_with(changes)

    def confirm(self, part: ViewPart) -> None:
        """Record that the store itself has just confirmed a part of this view."""
        now_ms = self._timers.now_ms()
        self._freshness.confirm(part, now_ms=now_ms)
        self._directory.record_own_answer(now_ms=now_ms)
        self._directory.record_store_answer(at_ms=now_ms)

    def is_stale(self, part: ViewPart) -> bool:
        """Whether a part of this view has not been confirmed for too long."""
        return self._freshness.is_stale(part, now_ms=self._timers.now_ms())

    def ages(self) -> StoreAges:
        """Return how long ago each part was known to be the store's newest."""
        return self._freshness.ages(now_ms=self._timers.now_ms())

    def adopt_ages(
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

    def contradicted_runners(self) -> list[Runner]:
        """Return the runners whose entry in force may be that of a former lifetime."""
        return self._directory.contradicted()

    def doubts(self) -> list[LifetimeDoubt]:
        """Return the doubts about runners' lifetimes in the form sent to a peer."""
        return self._table.doubts.view(now_ms=self._timers.now_ms())

    def adopt_doubts(self, doubts: Iterable[LifetimeDoubt], *, source: str) -> None:
        """Adopt a peer's doubts about listed lifetimes, whose messages it missed."""
        now_ms = self._timers.now_ms()
        runners = {
            entry.runner.lifetime: entry.runner for entry in self._table.entries()
        }
        for doubt in doubts:
            runner = runners.get(doubt.lifetime)
            if runner and self._table.doubts.adopt(doubt, now_ms=now_ms):
                log_event(
                    Event.RUNNER_DOUBTED,
                    runner=runner.runner_id,
                    version=runner.version,
                    source=source,
                )

    def record_store_failure(self, *, unanswered_ms: float) -> None:
        """Record that the store has not answered this node for a time."""
        since_ms = self._timers.now_ms() - unanswered_ms
        self._directory.record_store_failure(since_ms=since_ms)

    def record_store_recovery(self) -> None:
        """Record that the store answers this node again."""
        self._directory.record_store_recovery(now_ms=self._timers.now_ms())

    def time_to_drop_ms(self) -> float:
        """Return how soon the time of a lapsed entry is over; infinite if none is."""
        return self._directory.time_to_drop_ms(now_ms=self._timers.now_ms())

    async def drop_lapsed(self) -> None:
        """Drop runners whose entries lapsed in an outage and were not renewed."""
        now_ms = self._timers.now_ms()
        read_ms = now_ms - self.ages().runners_ms if self.is_read_here else now_ms
        gone = self._directory.drop_lapsed(now_ms=now_ms, read_ms=read_ms)
        if gone:
            self._update_runner_table("lapsed")

    def _update_runner_table(self, source: str) -> None:
        records = self._directory.records()
        live = [record.runner for record in records if not record.is_leaving]
        live_ids = {runner.runner_id for runner in live}
        no_longer_live = self._live_ids - live_ids
        self._live_ids = live_ids
        self._log_replaced((record.runner for record in records), source)
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
            no_longer_live=sorted(no_longer_live)[:MAX_LOGGED_IDS],
        )
        self._on_runners_changed()

    def _log_replaced(self, runners: Iterable[Runner], source: str) -> None:
        """Log runners whose start or version differs from that in the table."""
        for runner in runners:
            entry = self._table.get(runner.runner_id)
            if entry is None:
                continue
            former = entry.runner
            if (runner.born_ms, runner.version) == (former.born_ms, former.version):
                continue
            log_event(
                Event.RUNNER_REPLACED,
                runner=runner.runner_id,
                pool=runner.pool,
                born_ms=runner.born_ms,
                former_born_ms=former.born_ms,
                version=runner.version,
                former_version=former.version,
                source=source,
            )

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

    def _apply_zone_change(
        self, change: ZoneChange | None, source: str, *, is_zone_notified: bool
    ) -> None:
        if change is None:
            return
        zones = self.evacuations.view.zones
        self._table.set_evacuated_zones(
            {zone.availability_zone: zone.revision for zone in zones}
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
        self._update_ready()
        if not is_zone_notified:
            self._on_update(None)

    def _assume_cold(self, zone: str) -> None:
        """Treat the runners of a returning zone as cold, whatever they last reported.

        They may have been restarted while they got no calls. Their reports of that come
        late, and they would get the calls of all their prompts at once.
        """
        now_ms = self._timers.now_ms()
        for record in self._directory.records():
            if record.runner.availability_zone == zone:
                self._cold_runners.assume_cold(record.runner, now_ms=now_ms)

    def _newer_records(self, records: Iterable[RunnerRecord]) -> list[RunnerRecord]:
        """Return the records that are newer than what is known of their runners.

        Lists repeat old records: a runner that has been treated as cold since then
        would count as warm again.
        """
        return [record for record in records if self._directory.is_newer(record)]

    def _record_cold_times(self, records: list[RunnerRecord]) -> None:
        """Record how long runners stay cold; ignore records that are not the newest."""
        now_ms = self._timers.now_ms()
        for record in records:
            if self._directory.is_newest(record):
                self._cold_runners.record_report(
                    record.runner, remaining_ms=record.cold_ms, now_ms=now_ms
                )

    def _with_wait_times(self, changes: DirectoryChanges) -> DirectoryChanges:
        now_ms = self._timers.now_ms()
        removals = tuple(
            removal._replace(
                wait_ms=self._directory.wait_ms(removal.runner_id, now_ms=now_ms)
            )
            for removal in changes.removals
        )
        return changes._replace(removals=removals)

    def _update_ready(self) -> None:
        knows_zones = self.evacuations.is_known or not self._follows_evacuations
        if self.routes is not None and self._directory.revision and knows_zones:
            self.ready.set()
