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
from clementineyoke_node.platform.entry_codec import decode_born_ms, decode_runner
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.state_decoder import decode_state
from clementineyoke_node.platform.store_error import (
    HistoryGoneError,
    ResponseTooLongError,
    StoreError,
    WatchCutError,
)
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_event, log_failure

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_node.edge.update_broadcaster import UpdateBroadcaster
    from clementineyoke_node.platform.store_client import StoreClient
    from clementineyoke_node.platform.store_page import (
        EntryChange,
        EntryChanges,
        StoredEntry,
    )

MS_PER_S = 1000.0
WATCHES_PER_BOUND = 8
MIN_WATCH_WAIT_MS = 1_000
MAX_WATCH_WAIT_MS = 30_000
"""A store that drops its history may leave a waiting watch without any answer. All
watchers together therefore start a new watch eight times within the operator's bound on
applying a new state, whatever the size of the fleet, and broadcast each answer."""
PEER_HANDOVER_TIMEOUT_MS = 250.0
"""Time that a starting node leaves its peers to hand over the state and the runners. It
saves two store calls for each start of a node that is not a watcher. Live peers hand
them over within 25 ms."""
COALESCE_DELAY_MS = 80.0
"""Delay after a change before the next watch. Changes come in bursts, for example when
runners are replaced one by one; each answer with a change costs a store call and a
broadcast."""
MIN_RETRY_DELAY_MS = 60.0
MAX_RETRY_DELAY_MS = 500.0
RETRY_BACKOFF_FACTOR = 1.6
"""Delays between a watcher's attempts while the store is unreachable. With them a fleet
that has just started serves within half a second of the store's return, at the cost of
at most two calls per second and watcher."""
NON_WATCHER_RETRY_DELAY_MS = 1_200.0
"""Delay between attempts of a node that is not a watcher, from the second one on:
watchers retry more often and broadcast the result. A single refused call must not look
like an outage for that long."""
IDLE_POLL_INTERVAL_MS = 100.0
"""Interval at which a node that is not a watcher checks whether it must read the store
itself."""
MAX_HEARTBEATS_PER_WATCH = 2.0
"""Maximum duration of a watch of the runner entries, in heartbeats. Entries lapse
after three. In an outage long enough for that, each watcher sees a call of its own fail
before a watch that waited through the outage can report the entries as removed."""


class FollowedKind(NamedTuple):
    """An object kind of the store, and the part of the view that it updates."""

    kind: str
    part: ViewPart
    max_wait_ms: float
    apply_within_ms: float
    """The operator's bound on how soon a change takes effect."""


class StoreWatcher:
    """Run one task per object kind: list, then watch, and list again after a gap.

    Only watchers watch the store continuously. Any other node reads it once if it has
    no view yet, if its view has not been confirmed for too long, and while its latest
    call failed: whether the store is in an outage decides how the node treats entries
    that lapse.
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
        self._broadcaster = broadcaster
        self._region = region
        self._rng = rng
        self._is_watcher = is_watcher
        self._count_watchers = count_watchers
        self._registered = registered
        self._followed = [
            FollowedKind(
                names.STATE_KIND,
                ViewPart.STATE,
                MAX_WATCH_WAIT_MS,
                apply_within_ms,
            ),
            FollowedKind(
                names.RUNNERS_KIND,
                ViewPart.RUNNERS,
                MAX_HEARTBEATS_PER_WATCH * heartbeat_ms,
                apply_within_ms,
            ),
        ]
        if evacuate_within_ms is not None:
            self._followed.append(
                FollowedKind(
                    names.EVACUATIONS_KIND,
                    ViewPart.EVACUATIONS,
                    MAX_WATCH_WAIT_MS,
                    evacuate_within_ms,
                )
            )
        self._interrupts = {
            followed.kind: asyncio.Event() for followed in self._followed
        }
        self._tasks = BackgroundTasks()
        self._unreachable_kinds: set[str] = set()
        self._cut_kinds: set[str] = set()
        """Kinds whose latest watch was cut off."""
        self._revisions: dict[str, int] = {}
        self._logged_roles: dict[str, bool] = {}
        self._stale_kinds: set[str] = set()
        self._read_from_s = 0.0
        """Loop time from which a node that is not a watcher reads the store itself for
        what its peers have not handed over."""

    async def __aenter__(self) -> Self:
        """Start the tasks."""
        await self._tasks.__aenter__()
        self._read_from_s = (
            asyncio.get_running_loop().time() + PEER_HANDOVER_TIMEOUT_MS / MS_PER_S
        )
        for followed in self._followed:
            self._tasks.spawn(self._follow(followed), name=f"follow_{followed.kind}")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the tasks."""
        await self._tasks.__aexit__(*exc_info)

    async def _follow(self, followed: FollowedKind) -> None:
        kind = followed.kind
        retry_delay_ms = MIN_RETRY_DELAY_MS
        await self._wait_for_registration()
        while True:
            self._log_role(followed)
            must_read = self._must_read(followed)
            if followed.part is ViewPart.RUNNERS:
                self._view.is_read_here = must_read
            if not must_read:
                await asyncio.sleep(IDLE_POLL_INTERVAL_MS / MS_PER_S)
                continue
            try:
                await self._read_once(followed)
            except HistoryGoneError as error:
                log_event(Event.PLATFORM_HISTORY_GONE, kind=kind, step=error.step)
                self._revisions.pop(kind, None)
                self._interrupt_others(kind)
                continue
            except WatchCutError as error:
                # An ordinary end of a watch; whether the store is well shows the next
                # call, which does not wait.
                log_event(Event.STORE_WATCH_CUT, kind=kind, reason=error.reason)
                self._cut_kinds.add(kind)
                await self._wait_before_retry(MIN_RETRY_DELAY_MS)
                continue
            except StoreError as error:
                self._record_failure(kind, error)
                if isinstance(error, ResponseTooLongError):
                    # Changes that are too long for one watch are listed page by page.
                    self._revisions.pop(kind, None)
                    retry_delay_ms = MAX_RETRY_DELAY_MS
                self._interrupt_others(kind)
                await self._wait_before_retry(retry_delay_ms)
                retry_delay_ms = min(
                    MAX_RETRY_DELAY_MS, retry_delay_ms * RETRY_BACKOFF_FACTOR
                )
                continue
            except Exception as error:
                # An unexpected error must not end the task: the node would miss all
                # later changes and go on accepting withdrawn keys.
                log_failure(Event.TASK_FAILED, error, task=f"follow_{kind}")
                self._revisions.pop(kind, None)
                await self._wait_before_retry(MAX_RETRY_DELAY_MS)
                continue
            retry_delay_ms = MIN_RETRY_DELAY_MS

    async def _wait_for_registration(self) -> None:
        try:
            async with asyncio.timeout(PEER_HANDOVER_TIMEOUT_MS / MS_PER_S):
                await self._registered.wait()
        except TimeoutError:
            return  # the store is slow or unreachable: go on as if not a watcher

    def _must_read(self, followed: FollowedKind) -> bool:
        if followed.kind in self._unreachable_kinds or self._is_watcher():
            return True
        if self._view.knows(followed.part):
            return self._view.is_stale(followed.part)
        return asyncio.get_running_loop().time() >= self._read_from_s

    async def _wait_before_retry(self, delay_ms: float) -> None:
        is_first = delay_ms <= MIN_RETRY_DELAY_MS
        if self._view.ready.is_set() and not self._is_watcher() and not is_first:
            delay_ms = NON_WATCHER_RETRY_DELAY_MS
        await asyncio.sleep(self._rng.uniform(0.7, 1.0) * delay_ms / MS_PER_S)

    async def _read_once(self, followed: FollowedKind) -> None:
        kind = followed.kind
        if self._revisions.get(kind) is None:
            listed = await self._store.list_all(kind)
            self._record_recovery(kind)
            self._confirm(followed, listed.revision)
            self._apply_list(kind, listed.entries, listed.revision)
            return
        # Continues from the last revision that this node read itself. Peers may know a
        # newer one, but a peer that was cut off reports a removal as a lapsed entry,
        # and only the store's own answer corrects that.
        revision = self._revisions[kind]
        update = await self._watch(kind, revision, self._wait_ms(followed))
        if update is None:
            return
        self._record_recovery(kind)
        self._confirm(followed, update.revision)
        if update.changes:
            self._apply_changes(kind, update, revision)
            await asyncio.sleep(COALESCE_DELAY_MS / MS_PER_S)
        elif self._is_watcher():
            self._broadcaster.broadcast()

    def _confirm(self, followed: FollowedKind, revision: int) -> None:
        self._cut_kinds.discard(followed.kind)
        self._revisions[followed.kind] = revision
        self._view.confirm(followed.part)

    async def _watch(
        self, kind: str, revision: int, wait_ms: int
    ) -> EntryChanges | None:
        """Watch a kind; return None if an error on another kind ends the watch.

        An error on one watch is the only sign that the others have missed changes.
        """
        interrupt = self._interrupts[kind]
        interrupt.clear()
        watch = asyncio.ensure_future(
            self._store.watch(kind, revision=revision, wait_ms=wait_ms)
        )
        interrupted = asyncio.ensure_future(interrupt.wait())
        try:
            await asyncio.wait(
                {watch, interrupted}, return_when=asyncio.FIRST_COMPLETED
            )
            return watch.result() if watch.done() else None
        finally:
            watch.cancel()
            interrupted.cancel()

    def _interrupt_others(self, kind: str) -> None:
        for other, interrupt in self._interrupts.items():
            if other != kind and other not in self._unreachable_kinds:
                interrupt.set()

    def _wait_ms(self, followed: FollowedKind) -> int:
        """Return how long the store may hold a watch open; 0 for an answer at once.

        After an outage the first answer shows that the store is back, which decides how
        to treat entries that lapsed meanwhile. A node that is not a watcher reads the
        changes once.
        """
        kind = followed.kind
        has_failed = kind in self._unreachable_kinds or kind in self._cut_kinds
        if has_failed or not self._is_watcher():
            return 0
        even_share_ms = (
            followed.apply_within_ms / WATCHES_PER_BOUND * self._count_watchers()
        )
        wait_ms = min(followed.max_wait_ms, max(MIN_WATCH_WAIT_MS, even_share_ms))
        wait_ms *= self._rng.uniform(0.7, 1.0)
        if followed.part is ViewPart.RUNNERS:
            # Their entries are read once more before runners are dropped.
            wait_ms = min(wait_ms, self._view.time_to_drop_ms() + 1)
        return int(wait_ms)

    def _apply_list(self, kind: str, entries: list[StoredEntry], revision: int) -> None:
        if kind == names.STATE_KIND:
            for entry in entries:
                self._apply_state(entry)
            return
        if kind == names.EVACUATIONS_KIND:
            evacuations = tuple(sorted(_decode_evacuation(entry) for entry in entries))
            view = EvacuationView(revision, evacuations)
            self._view.apply_evacuations(view, source="list")
            return
        records: list[RunnerRecord] = []
        refused: list[RunnerRemoval] = []
        for entry in entries:
            decoded = self._decode_runner(entry)
            if isinstance(decoded, RunnerRecord):
                records.append(decoded)
            else:
                refused.append(decoded)
        self._view.apply_runners(DirectoryView(revision, tuple(records)), source="list")
        if refused:
            changes = DirectoryChanges(revision, revision, (), tuple(refused))
            self._view.apply_runner_changes(changes, source="list")

    def _apply_changes(
        self, kind: str, update: EntryChanges, base_revision: int
    ) -> None:
        if kind == names.STATE_KIND:
            for change in update.changes:
                if not change.is_deleted:
                    self._apply_state(change.entry)
            return
        if kind == names.EVACUATIONS_KIND:
            changes = _decode_evacuation_changes(update)
            self._view.apply_evacuation_changes(changes, source="watch")
            return
        for step in self._decode_changes(update, base_revision):
            self._view.apply_runner_changes(step, source="watch")

    def _decode_changes(
        self, update: EntryChanges, base_revision: int
    ) -> list[DirectoryChanges]:
        """Return all changes, in more than one step if a version came and went.

        Other nodes may have begun streams of that version. A peer that misses a step
        sees that the next one does not follow what it knows.
        """
        decoded = [self._decode_change(change) for change in update.changes]
        last = {_id_of(change): change for change in decoded}
        lasting = {_version_of(c) for c in last.values() if isinstance(c, RunnerRecord)}
        steps: list[DirectoryChanges] = []
        pending: dict[str, RunnerRecord | RunnerRemoval] = {}
        step_base = revision = base_revision
        for change in decoded:
            replaced = pending.pop(_id_of(change), None)
            if (
                isinstance(replaced, RunnerRecord)
                and _version_of(replaced) not in lasting
                and not self._view.lists_version(replaced.runner)
            ):
                lasting.add(_version_of(replaced))
                # No call goes to a runner whose end is known.
                is_leaving = isinstance(last[_id_of(change)], RunnerRemoval)
                pending[_id_of(change)] = replaced._replace(is_leaving=is_leaving)
                steps.append(_make_step(step_base, revision, pending))
                pending, step_base = {}, revision
            pending[_id_of(change)] = change
            revision = max(revision, change.revision)
        return [*steps, _make_step(step_base, update.revision, pending)]

    def _decode_change(self, change: EntryChange) -> RunnerRecord | RunnerRemoval:
        if not change.is_deleted:
            return self._decode_runner(change.entry)
        name, revision = change.entry.name, change.entry.revision
        return RunnerRemoval(name, revision, born_ms=decode_born_ms(change.entry))

    def _apply_state(self, entry: StoredEntry) -> None:
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

    def _log_role(self, followed: FollowedKind) -> None:
        """Log changes of this node's watcher role, and when its view becomes stale."""
        kind = followed.kind
        is_watcher = self._is_watcher()
        if self._logged_roles.get(kind) is not is_watcher:
            self._logged_roles[kind] = is_watcher
            event = Event.STORE_WATCHED if is_watcher else Event.STORE_UNWATCHED
            log_event(event, kind=kind, watchers=self._count_watchers())
        is_stale = self._view.ready.is_set() and self._view.is_stale(followed.part)
        if is_stale and kind not in self._stale_kinds and not is_watcher:
            ages = self._view.ages()
            log_event(Event.VIEW_STALE, kind=kind, **ages._asdict())
        (self._stale_kinds.add if is_stale else self._stale_kinds.discard)(kind)

    def _record_failure(self, kind: str, error: StoreError) -> None:
        if kind not in self._unreachable_kinds:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
        self._unreachable_kinds.add(kind)
        self._view.record_store_failure(unanswered_ms=error.unanswered_ms)

    def _record_recovery(self, kind: str) -> None:
        if kind not in self._unreachable_kinds:
            return
        self._unreachable_kinds.discard(kind)
        log_event(Event.PLATFORM_BACK, kind=kind)
        self._view.record_store_recovery()


def _id_of(change: RunnerRecord | RunnerRemoval) -> str:
    if isinstance(change, RunnerRemoval):
        return change.runner_id
    return change.runner.runner_id


def _version_of(record: RunnerRecord) -> tuple[str, str]:
    return record.runner.pool, record.runner.version


def _make_step(
    base_revision: int,
    revision: int,
    pending: dict[str, RunnerRecord | RunnerRemoval],
) -> DirectoryChanges:
    changes = pending.values()
    records = tuple(c for c in changes if isinstance(c, RunnerRecord))
    removals = tuple(c for c in changes if isinstance(c, RunnerRemoval))
    return DirectoryChanges(base_revision, revision, records, removals)


def _decode_evacuation(entry: StoredEntry) -> EvacuatedZone:
    return EvacuatedZone(entry.name, entry.revision)


def _decode_evacuation_changes(update: EntryChanges) -> EvacuationChanges:
    """Return the last change of each zone: a watch may report several of them."""
    last = {change.entry.name: change for change in update.changes}
    evacuated = tuple(
        _decode_evacuation(change.entry)
        for change in last.values()
        if not change.is_deleted
    )
    returned = tuple(name for name, change in last.items() if change.is_deleted)
    return EvacuationChanges(update.revision, evacuated, returned)
