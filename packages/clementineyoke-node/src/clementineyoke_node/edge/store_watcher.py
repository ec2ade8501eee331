"""Watch the desired state, zone evacuations and runner entries in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Self

from clementineyoke_core.edge.evacuations import (
    EvacuatedZone,
    EvacuationChanges,
    EvacuationView,
)
from clementineyoke_core.edge.runner_directory import (
    DirectoryChanges,
    DirectoryView,
    RunnerRemoval,
)
from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_core.edge.store_freshness import ViewPart
from clementineyoke_node.platform import names
from clementineyoke_node.platform.entry_codec import decode_runner, lifetime_of
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.state_decoder import decode_state
from clementineyoke_node.platform.store_error import HistoryGoneError, StoreError
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_event, log_failure

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_node.edge.update_broadcaster import UpdateBroadcaster
    from clementineyoke_node.platform.store_client import StoreClient
    from clementineyoke_node.platform.store_page import EntryChanges, StoredEntry

MS_PER_S = 1000.0
WATCHES_A_BOUND = 8
LEAST_WATCH_WAIT_MS = 1_000
LONGEST_WATCH_WAIT_MS = 30_000
"""A store that drops its history may leave a waiting watch without any answer. All
watchers together therefore start a new watch eight times within the operator's bound on
applying a new state, whatever the size of the fleet, and broadcast each answer."""
PEERS_FIRST_MS = 250.0
"""Time that a starting node waits for its peers to hand over the state and the runners,
which saves a node that is not a watcher two store calls. Live peers hand them over
within 25 ms."""
AFTER_NEWS_MS = 80.0
"""Delay after a change before the next watch. Changes come in bursts, for example when
runners are replaced one by one; each answer with a change costs a store call and a
broadcast."""
FIRST_PAUSE_MS = 60.0
LONGEST_PAUSE_MS = 500.0
PAUSE_GROWTH = 1.6
"""Delays between a watcher's attempts while the store is unreachable. With them a fleet
that has just started serves within half a second of the store's return, at the cost of
at most two calls per second and watcher."""
LONELY_PAUSE_MS = 1_200.0
"""Delay between attempts of a node that is not a watcher: watchers retry more often and
broadcast the result."""
IDLE_CHECK_MS = 100.0
"""Interval at which a node that is not a watcher checks whether it must read the store
itself."""
HEARTBEATS_A_WATCH = 2.0
"""Maximum duration of a watch of the runner entries, in heartbeats. Entries expire
after three. In an outage long enough for that, each watcher sees a call of its own fail
before a watch that waited through the outage can report the entries as removed."""


class FollowedKind(NamedTuple):
    """An object kind of the store, and the part of the view that it updates."""

    kind: str
    part: ViewPart
    longest_wait_ms: float
    apply_within_ms: float
    """The operator's bound on how soon a change takes effect."""


class StoreWatcher:
    """Run one task per object kind that lists, then watches, and lists after a gap.

    Only watchers watch the store continuously. Any other node reads it once if it has
    no view yet, if its view has not been confirmed for too long, and while its latest
    call failed: whether the store is in an outage decides how the node treats entries
    that expire.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        view: FleetView,
        broadcaster: UpdateBroadcaster,
        region: str,
        rng: Random,
        is_watcher: Callable[[], bool],
        count_watchers: Callable[[], int],
        registered: asyncio.Event,
        heartbeat_ms: float,
        apply_within_ms: float,
        evacuate_within_ms: float | None,
    ) -> None:
        """Initialize the watcher; ``registered`` is set once the watchers are known."""
        self._store = store
        self._view = view
        self._news = broadcaster
        self._region = region
        self._rng = rng
        self._has_duty = is_watcher
        self._count_watchers = count_watchers
        self._entered = registered
        self._followed = [
            FollowedKind(
                names.STATE_KIND,
                ViewPart.STATE,
                LONGEST_WATCH_WAIT_MS,
                apply_within_ms,
            ),
            FollowedKind(
                names.RUNNERS_KIND,
                ViewPart.RUNNERS,
                HEARTBEATS_A_WATCH * heartbeat_ms,
                apply_within_ms,
            ),
        ]
        if evacuate_within_ms is not None:
            self._followed.append(
                FollowedKind(
                    names.EVACUATIONS_KIND,
                    ViewPart.EVACUATIONS,
                    LONGEST_WATCH_WAIT_MS,
                    evacuate_within_ms,
                )
            )
        self._nudges = {entry.kind: asyncio.Event() for entry in self._followed}
        self._tasks = BackgroundTasks()
        self._unreachable_kinds: set[str] = set()
        self._positions: dict[str, int] = {}
        self._duties: dict[str, bool] = {}
        self._stale: set[str] = set()
        self._asks_from_s = 0.0

    async def __aenter__(self) -> Self:
        """Start the tasks."""
        await self._tasks.__aenter__()
        self._asks_from_s = (
            asyncio.get_running_loop().time() + PEERS_FIRST_MS / MS_PER_S
        )
        for followed in self._followed:
            self._tasks.spawn(self._follow(followed), name=f"follow_{followed.kind}")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the tasks."""
        await self._tasks.__aexit__(*exc_info)

    async def _follow(self, followed: FollowedKind) -> None:
        kind = followed.kind
        pause_ms = FIRST_PAUSE_MS
        await self._wait_for_roster()
        while True:
            self._note_duty(followed)
            if not self._must_ask(followed):
                await asyncio.sleep(IDLE_CHECK_MS / MS_PER_S)
                continue
            try:
                await self._step(followed)
            except HistoryGoneError as error:
                log_event(Event.PLATFORM_HISTORY_GONE, kind=kind, step=error.step)
                self._positions.pop(kind, None)
                self._nudge_others(kind)
                continue
            except StoreError as error:
                self._note_away(kind, error)
                self._nudge_others(kind)
                await self._pause(pause_ms)
                pause_ms = min(LONGEST_PAUSE_MS, pause_ms * PAUSE_GROWTH)
                continue
            except Exception as error:
                # An unexpected error must not end the task: the node would miss all
                # later changes and go on accepting withdrawn keys.
                log_failure(Event.TASK_FAILED, error, task=f"follow_{kind}")
                self._positions.pop(kind, None)
                await self._pause(LONGEST_PAUSE_MS)
                continue
            pause_ms = FIRST_PAUSE_MS

    async def _wait_for_roster(self) -> None:
        try:
            async with asyncio.timeout(PEERS_FIRST_MS / MS_PER_S):
                await self._entered.wait()
        except TimeoutError:
            return  # the store is slow or unreachable, and is read as it is

    def _must_ask(self, followed: FollowedKind) -> bool:
        if followed.kind in self._unreachable_kinds or self._has_duty():
            return True
        if self._view.knows(followed.part):
            return self._view.is_stale(followed.part)
        return asyncio.get_running_loop().time() >= self._asks_from_s

    async def _pause(self, pause_ms: float) -> None:
        if self._view.ready.is_set() and not self._has_duty():
            pause_ms = LONELY_PAUSE_MS
        await asyncio.sleep(self._rng.uniform(0.7, 1.0) * pause_ms / MS_PER_S)

    async def _step(self, followed: FollowedKind) -> None:
        kind = followed.kind
        if self._positions.get(kind) is None:
            listed = await self._store.list_all(kind)
            self._note_back(kind)
            self._confirm(followed, listed.revision)
            self._take_list(kind, listed.entries, listed.revision)
            return
        # Continues from the last revision that this node read itself. Peers may know a
        # newer one, but a peer that was cut off reports a removal as an expired entry,
        # and only the store's own answer corrects that.
        position = self._positions[kind]
        seen = await self._watch(kind, position, self._wait_ms(followed))
        if seen is None:
            return
        self._note_back(kind)
        self._confirm(followed, seen.revision)
        if seen.changes:
            self._take_changes(kind, seen, position)
            await asyncio.sleep(AFTER_NEWS_MS / MS_PER_S)
        elif self._has_duty():
            self._news.broadcast()

    def _confirm(self, followed: FollowedKind, revision: int) -> None:
        self._positions[followed.kind] = revision
        self._view.confirm(followed.part)

    async def _watch(
        self, kind: str, position: int, wait_ms: int
    ) -> EntryChanges | None:
        """Watch a kind; return None if an error on another kind ends the watch.

        An error on one watch is the only sign that the others have missed changes.
        """
        nudge = self._nudges[kind]
        nudge.clear()
        watch = asyncio.ensure_future(
            self._store.watch(kind, revision=position, wait_ms=wait_ms)
        )
        nudged = asyncio.ensure_future(nudge.wait())
        try:
            await asyncio.wait({watch, nudged}, return_when=asyncio.FIRST_COMPLETED)
            return watch.result() if watch.done() else None
        finally:
            watch.cancel()
            nudged.cancel()

    def _nudge_others(self, kind: str) -> None:
        for other, nudge in self._nudges.items():
            if other != kind and other not in self._unreachable_kinds:
                nudge.set()

    def _wait_ms(self, followed: FollowedKind) -> int:
        """Return how long the store may hold a watch open; 0 for an answer at once.

        After an outage the first answer shows that the store is back, which decides how
        to treat entries that expired meanwhile. A node that is not a watcher reads the
        changes once.
        """
        if followed.kind in self._unreachable_kinds or not self._has_duty():
            return 0
        even_ms = followed.apply_within_ms / WATCHES_A_BOUND * self._count_watchers()
        wait_ms = min(followed.longest_wait_ms, max(LEAST_WATCH_WAIT_MS, even_ms))
        return int(wait_ms * self._rng.uniform(0.7, 1.0))

    def _take_list(self, kind: str, entries: list[StoredEntry], revision: int) -> None:
        if kind == names.STATE_KIND:
            for entry in entries:
                self._take_state(entry)
            return
        if kind == names.EVACUATIONS_KIND:
            orders = tuple(sorted(_decode_order(entry) for entry in entries))
            view = EvacuationView(revision, orders)
            self._view.apply_evacuations(view, source="list")
            return
        records: list[RunnerRecord] = []
        refused: list[RunnerRemoval] = []
        for entry in entries:
            found = self._decode_runner(entry)
            if isinstance(found, RunnerRecord):
                records.append(found)
            else:
                refused.append(found)
        self._view.apply_runners(DirectoryView(revision, tuple(records)), source="list")
        if refused:
            changes = DirectoryChanges(revision, revision, (), tuple(refused))
            self._view.apply_runner_changes(changes, source="list")

    def _take_changes(self, kind: str, seen: EntryChanges, position: int) -> None:
        if kind == names.STATE_KIND:
            for change in seen.changes:
                if not change.is_deleted:
                    self._take_state(change.entry)
            return
        if kind == names.EVACUATIONS_KIND:
            orders = _decode_order_changes(seen)
            self._view.apply_evacuation_changes(orders, source="watch")
            return
        self._view.apply_runner_changes(
            self._decode_changes(seen, position), source="watch"
        )

    def _decode_changes(self, seen: EntryChanges, position: int) -> DirectoryChanges:
        records: dict[str, RunnerRecord] = {}
        removals: dict[str, RunnerRemoval] = {}
        for change in seen.changes:
            name, revision = change.entry.name, change.entry.revision
            found: RunnerRecord | RunnerRemoval
            if change.is_deleted:
                born_ms = lifetime_of(change.entry)
                found = RunnerRemoval(name, revision, born_ms=born_ms)
            else:
                found = self._decode_runner(change.entry)
            records.pop(name, None)
            removals.pop(name, None)
            if isinstance(found, RunnerRecord):
                records[name] = found
            else:
                removals[name] = found
        return DirectoryChanges(
            position, seen.revision, tuple(records.values()), tuple(removals.values())
        )

    def _take_state(self, entry: StoredEntry) -> None:
        if entry.name != names.STATE_NAME:
            return
        try:
            state = decode_state(entry.spec, revision=entry.revision)
        except FormatError as error:
            log_event(Event.SETTINGS_REFUSED, step=error.step, reason=error.reason)
            return
        self._view.apply_state(state, source="store")

    def _decode_runner(self, entry: StoredEntry) -> RunnerRecord | RunnerRemoval:
        """Return an entry's runner, or a removal if the entry is invalid."""
        try:
            return decode_runner(entry, region=self._region)
        except FormatError as error:
            log_event(Event.HOST_REFUSED, host=error.peer, reason=error.reason)
            return RunnerRemoval(entry.name, entry.revision, is_refused=True)

    def _note_duty(self, followed: FollowedKind) -> None:
        """Log changes of this node's watcher role, and when its view becomes stale."""
        kind = followed.kind
        has_duty = self._has_duty()
        if self._duties.get(kind) is not has_duty:
            self._duties[kind] = has_duty
            event = Event.STORE_WATCHED if has_duty else Event.STORE_UNWATCHED
            log_event(event, kind=kind, watchers=self._count_watchers())
        is_stale = self._view.ready.is_set() and self._view.is_stale(followed.part)
        if is_stale and kind not in self._stale and not has_duty:
            ages = self._view.ages()
            log_event(Event.VIEW_STALE, kind=kind, **ages._asdict())
        (self._stale.add if is_stale else self._stale.discard)(kind)

    def _note_away(self, kind: str, error: StoreError) -> None:
        if kind not in self._unreachable_kinds:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
        self._unreachable_kinds.add(kind)
        self._view.record_store_away()

    def _note_back(self, kind: str) -> None:
        if kind not in self._unreachable_kinds:
            return
        self._unreachable_kinds.discard(kind)
        log_event(Event.PLATFORM_BACK, kind=kind)
        self._view.record_store_back()


def _decode_order(entry: StoredEntry) -> EvacuatedZone:
    return EvacuatedZone(entry.name, entry.revision)


def _decode_order_changes(seen: EntryChanges) -> EvacuationChanges:
    """Return the last change of each zone: a watch may report several of them."""
    last = {change.entry.name: change for change in seen.changes}
    given = tuple(
        _decode_order(change.entry) for change in last.values() if not change.is_deleted
    )
    taken_back = tuple(name for name, change in last.items() if change.is_deleted)
    return EvacuationChanges(seen.revision, given, taken_back)
