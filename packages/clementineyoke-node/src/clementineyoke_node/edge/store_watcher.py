"""Follow the operator's state and the runners' entries in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from clementineyoke_core.edge.runner_directory import DirectoryView
from clementineyoke_node.platform import names
from clementineyoke_node.platform.entry_codec import decode_runner
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.state_decoder import decode_state
from clementineyoke_node.platform.store_error import HistoryGoneError, StoreError
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from clementineyoke_core.edge.runner_record import RunnerRecord
    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_node.platform.store_client import (
        EntryChange,
        EntryChanges,
        StoreClient,
        StoredEntry,
    )

MS_PER_S = 1000.0
WATCH_WAIT_MS_A_NODE = 330
LEAST_WATCH_WAIT_MS = 1_500
LONGEST_WATCH_WAIT_MS = 30_000
"""Bounds of a watch, and its share for each node alive. A store that drops its history
may leave a waiting watch deaf, without a word. The fleet therefore asks anew about
three times a second, whatever its size, and the first node that hears of something
tells the others. A node that knows of no other waits the least."""
FIRST_PAUSE_MS = 60.0
LONGEST_PAUSE_MS = 500.0
PAUSE_GROWTH = 1.6
"""Pauses between tries while the store is away: a cold fleet serves again within half
a second of its return, for at most two calls a second and node."""
HEARTBEATS_A_WATCH = 2.0
"""Longest watch of the runners' entries, in heartbeats. Entries lapse after three: an
outage that lets them lapse is then noticed by each node's own calls, before the watch
that waited through it could show them as ended."""

FOLLOWED_KINDS = (names.STATE_KIND, names.RUNNERS_KIND)


class StoreWatcher:
    """Own a task a kind; each lists, then watches, and lists again after a gap."""

    def __init__(
        self,
        *,
        store: StoreClient,
        view: FleetView,
        region: str,
        rng: Random,
        count_nodes: Callable[[], int],
        heartbeat_ms: float,
    ) -> None:
        self._store = store
        self._view = view
        self._region = region
        self._rng = rng
        self._count_nodes = count_nodes
        self._longest_wait_ms = {
            names.STATE_KIND: LONGEST_WATCH_WAIT_MS,
            names.RUNNERS_KIND: HEARTBEATS_A_WATCH * heartbeat_ms,
        }
        self._nudges = {kind: asyncio.Event() for kind in FOLLOWED_KINDS}
        self._tasks = BackgroundTasks()
        self._away: set[str] = set()
        self._positions: dict[str, int] = {}

    async def __aenter__(self) -> Self:
        """Begin to follow."""
        await self._tasks.__aenter__()
        for kind in FOLLOWED_KINDS:
            self._tasks.spawn(self._follow(kind), name=f"follow_{kind}")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End the tasks."""
        await self._tasks.__aexit__(*exc_info)

    async def _follow(self, kind: str) -> None:
        pause_ms = FIRST_PAUSE_MS
        while True:
            try:
                await self._step(kind)
            except HistoryGoneError as error:
                log_event(Event.PLATFORM_HISTORY_GONE, kind=kind, step=error.step)
                self._positions.pop(kind, None)
                self._nudge_others(kind)
                continue
            except StoreError as error:
                self._note_away(kind, error)
                self._nudge_others(kind)
                await asyncio.sleep(self._rng.uniform(0.7, 1.0) * pause_ms / MS_PER_S)
                pause_ms = min(LONGEST_PAUSE_MS, pause_ms * PAUSE_GROWTH)
                continue
            pause_ms = FIRST_PAUSE_MS
            self._note_back(kind)

    async def _step(self, kind: str) -> None:
        position = self._positions.get(kind)
        if position is None:
            listed = await self._store.list_all(kind)
            self._note_back(kind)
            self._take_list(kind, listed.entries, listed.revision)
            self._positions[kind] = listed.revision
            return
        # After an outage the first call must come back soon: it tells that the store
        # is there again, which decides about entries that lapsed meanwhile.
        wait_ms = 0 if kind in self._away else self._watch_wait_ms(kind)
        seen = await self._watch(kind, position, wait_ms)
        if seen is None:
            return
        self._note_back(kind)
        for change in seen.changes:
            self._take_change(kind, change)
        self._positions[kind] = seen.revision

    async def _watch(
        self, kind: str, position: int, wait_ms: int
    ) -> EntryChanges | None:
        """Watch a kind; return None when another kind's trouble ends the watch.

        Trouble with one watch is the only sign of what the others have missed.
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
            if other != kind and other not in self._away:
                nudge.set()

    def _watch_wait_ms(self, kind: str) -> int:
        even_ms = max(LEAST_WATCH_WAIT_MS, WATCH_WAIT_MS_A_NODE * self._count_nodes())
        wait_ms = min(self._longest_wait_ms[kind], even_ms)
        return int(wait_ms * self._rng.uniform(0.7, 1.0))

    def _take_list(self, kind: str, entries: list[StoredEntry], revision: int) -> None:
        if kind == names.STATE_KIND:
            for entry in entries:
                self._take_state(entry)
            return
        records = [self._decode_runner(entry) for entry in entries]
        known = tuple(record for record in records if record is not None)
        self._view.take_runners(DirectoryView(revision, known), source="list")

    def _take_change(self, kind: str, change: EntryChange) -> None:
        entry = change.entry
        if kind == names.STATE_KIND:
            if not change.is_deleted:
                self._take_state(entry)
            return
        if change.is_deleted:
            self._view.remove_runner(entry.name, revision=entry.revision)
            return
        record = self._decode_runner(entry)
        if record is not None:
            self._view.take_runner(record, revision=entry.revision)

    def _take_state(self, entry: StoredEntry) -> None:
        if entry.name != names.STATE_NAME:
            return
        try:
            state = decode_state(entry.spec, revision=entry.revision)
        except FormatError as error:
            log_event(Event.SETTINGS_REFUSED, step=error.step, reason=error.reason)
            return
        self._view.take_state(state, source="store")

    def _decode_runner(self, entry: StoredEntry) -> RunnerRecord | None:
        try:
            return decode_runner(entry, region=self._region)
        except FormatError as error:
            log_event(Event.HOST_REFUSED, host=error.peer, reason=error.reason)
            return None

    def _note_away(self, kind: str, error: StoreError) -> None:
        if kind not in self._away:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
        self._away.add(kind)
        self._view.record_store_away()

    def _note_back(self, kind: str) -> None:
        if kind not in self._away:
            return
        self._away.discard(kind)
        log_event(Event.PLATFORM_BACK, kind=kind)
        self._view.record_store_back()
