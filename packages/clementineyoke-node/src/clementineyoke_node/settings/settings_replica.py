"""Keep the settings in force: learn changes from the platform and from peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol, Self

import msgspec

from clementineyoke_core.settings.change import SettingsChange, decode_change
from clementineyoke_core.settings.log import ApplyOutcome, SettingsLog
from clementineyoke_node.objects.platform_error import PlatformError
from clementineyoke_node.settings.snapshot_store import SnapshotStore
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from clementineyoke_core.node import Node
    from clementineyoke_core.settings.snapshot import SettingsSnapshot
    from clementineyoke_node.objects.object_api import ObjectApi

CHANGES_PREFIX = "settings/changes/"
RETRY_PAUSE_S = 1.0
VERSION_DIGITS = 12
SNAPSHOT_CHANGES = 200
"""Changes since the last snapshot that are worth a new one."""


class PeerChanges(Protocol):
    """Fetch changes from another node."""

    async def fetch(self, node: Node, *, after: int) -> list[SettingsChange] | None:
        """Return the changes after a version; None if some are no longer kept."""
        ...

    async def fetch_snapshot(self, node: Node) -> SettingsSnapshot:
        """Return the peer's whole tree."""
        ...


class Duty(Protocol):
    """Whether a share of work is this node's now; two that think so do no harm."""

    def __call__(self) -> bool:
        """Return the duty as of this moment."""
        ...


def change_name(version: int) -> str:
    """Return the name of the object that holds a version's change."""
    return f"{CHANGES_PREFIX}{version:0{VERSION_DIGITS}d}"


class SettingsReplica:
    """Own the log and the watch; everything that learns a change goes through here."""

    def __init__(
        self,
        *,
        objects: ObjectApi,
        peers: PeerChanges,
        has_watch_duty: Duty,
        has_snapshot_duty: Duty,
    ) -> None:
        self._objects = objects
        self._snapshots = SnapshotStore(objects=objects)
        self._has_snapshot_duty = has_snapshot_duty
        self._snapshot_version = 0
        self._peers = peers
        self._has_watch_duty = has_watch_duty
        self._fetching: set[str] = set()
        self._tasks = BackgroundTasks()
        self.log = SettingsLog()
        self.ready = asyncio.Event()
        """Set once some version is in force: nothing is served before."""

    async def __aenter__(self) -> Self:
        """Begin to watch."""
        self._tasks.spawn(self._follow(), name="settings_watch")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop watching."""
        await self._tasks.__aexit__(*exc_info)

    def take(self, changes: list[SettingsChange], *, source: str) -> None:
        """Apply changes in order; older ones and gaps leave the log as it is."""
        for change in changes:
            outcome = self.log.apply(change)
            if outcome is ApplyOutcome.APPLIED:
                log_event(
                    Event.SETTINGS_IN_FORCE, version=change.version, source=source
                )
                self.ready.set()

    def fetch_newer(self, node: Node, version: int) -> None:
        """Fetch from a peer that named a newer version, one fetch a peer at a time."""
        if version <= self.log.version or node.node_id in self._fetching:
            return
        self._fetching.add(node.node_id)
        self._tasks.spawn(self._fetch_from(node), name="settings_fetch")

    async def refresh(self) -> None:
        """Read what the platform holds beyond the version in force."""
        if self.log.version == 0:
            # 12,000 changes a day: a new node must not read each from the first.
            await self._restore_newest()
        while True:
            page = await self._objects.list_after(
                CHANGES_PREFIX, change_name(self.log.version)
            )
            if not page:
                return
            before = self.log.version
            self._take_bodies([stored.body for stored in page])
            if self.log.version == before:
                return

    async def write_snapshot(self) -> None:
        """Write a snapshot if this node is to and enough has changed since the last."""
        if self.log.version - self._snapshot_version < SNAPSHOT_CHANGES:
            return
        if not self._has_snapshot_duty():
            return
        snapshot = self.log.snapshot()
        try:
            await self._snapshots.write(snapshot)
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
            return
        self._snapshot_version = snapshot.version

    async def poll(self) -> None:
        """Look at the platform once, as a backstop for a node that hears no gossip."""
        try:
            await self.refresh()
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)

    async def _follow(self) -> None:
        revision = 0
        while True:
            if self.log.version and not self._has_watch_duty():
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            try:
                await self.refresh()
                result = await self._objects.watch(
                    CHANGES_PREFIX, after_revision=revision
                )
            except PlatformError as error:
                log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            revision = result.revision

    async def _fetch_from(self, node: Node) -> None:
        try:
            changes = await self._peers.fetch(node, after=self.log.version)
            if changes is None:
                snapshot = await self._peers.fetch_snapshot(node)
                self._restore(snapshot, source=node.node_id)
            else:
                self.take(changes, source=node.node_id)
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
        finally:
            self._fetching.discard(node.node_id)

    async def _restore_newest(self) -> None:
        try:
            snapshot = await self._snapshots.read_newer(0)
        except msgspec.DecodeError as error:
            # The log still holds everything; only the start takes longer.
            log_event(Event.SETTINGS_REFUSED, step="snapshot", reason=str(error))
            return
        self._restore(snapshot, source="platform")

    def _restore(self, snapshot: SettingsSnapshot | None, *, source: str) -> None:
        if snapshot is None or not self.log.restore(snapshot):
            return
        self._snapshot_version = snapshot.version
        log_event(Event.SETTINGS_RESTORED, version=snapshot.version, source=source)
        self.ready.set()

    def _take_bodies(self, bodies: list[bytes]) -> None:
        try:
            changes = [decode_change(body) for body in bodies]
        except msgspec.DecodeError as error:
            log_event(Event.SETTINGS_REFUSED, step="decode", reason=str(error))
            return
        self.take(changes, source="platform")
