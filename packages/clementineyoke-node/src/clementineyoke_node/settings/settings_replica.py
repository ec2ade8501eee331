"""Replicate the settings from the platform and from peers."""

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
RETRY_DELAY_S = 1.0
VERSION_DIGITS = 12
MIN_SNAPSHOT_CHANGES = 200
"""Minimum number of changes since the last snapshot before a new one is written."""


class PeerSettings(Protocol):
    """Source of settings held by other nodes."""

    async def fetch(self, node: Node, *, after: int) -> list[SettingsChange] | None:
        """Return the changes after a version, or None if some are no longer kept."""
        ...

    async def fetch_snapshot(self, node: Node) -> SettingsSnapshot:
        """Return the peer's full settings tree."""
        ...


class RoleCheck(Protocol):
    """Returns whether this node is currently responsible for a task.

    It is safe if two nodes both believe so.
    """

    def __call__(self) -> bool:
        """Return whether this node is responsible now."""
        ...


def change_name(version: int) -> str:
    """Return the name of the object that stores the change of a version."""
    return f"{CHANGES_PREFIX}{version:0{VERSION_DIGITS}d}"


class SettingsReplica:
    """Local replica of the settings; changes from all sources are applied here."""

    def __init__(
        self,
        *,
        objects: ObjectApi,
        peers: PeerSettings,
        is_watcher: RoleCheck,
        is_snapshot_writer: RoleCheck,
    ) -> None:
        self._objects = objects
        self._snapshots = SnapshotStore(objects=objects)
        self._is_snapshot_writer = is_snapshot_writer
        self._snapshot_version = 0
        self._peers = peers
        self._is_watcher = is_watcher
        self._active_fetches: set[str] = set()
        self._tasks = BackgroundTasks()
        self.log = SettingsLog()
        self.ready = asyncio.Event()
        """Set once a version is in force; no requests are served before."""

    async def __aenter__(self) -> Self:
        """Start watching."""
        self._tasks.spawn(self._watch(), name="settings_watch")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop watching."""
        await self._tasks.__aexit__(*exc_info)

    def apply(self, changes: list[SettingsChange], *, source: str) -> None:
        """Apply changes in order; already applied ones and gaps are ignored."""
        for change in changes:
            outcome = self.log.apply(change)
            if outcome is ApplyOutcome.APPLIED:
                log_event(
                    Event.SETTINGS_IN_FORCE, version=change.version, source=source
                )
                self.ready.set()

    def fetch_newer(self, node: Node, version: int) -> None:
        """Fetch from a peer with a newer version, with one fetch per peer at a time."""
        if version <= self.log.version or node.node_id in self._active_fetches:
            return
        self._active_fetches.add(node.node_id)
        self._tasks.spawn(self._fetch_from(node), name="settings_fetch")

    async def refresh(self) -> None:
        """Read and apply the platform's changes after the version in force."""
        if self.log.version == 0:
            # Reading each change from the first would take too long for a new node:
            # there may be 12,000 changes a day.
            await self._restore_latest()
        while True:
            page = await self._objects.list_after(
                CHANGES_PREFIX, change_name(self.log.version)
            )
            if not page:
                return
            before = self.log.version
            self._apply_encoded([stored.body for stored in page])
            if self.log.version == before:
                return

    async def write_snapshot(self) -> None:
        """Write a snapshot if this node is responsible and enough has changed."""
        if self.log.version - self._snapshot_version < MIN_SNAPSHOT_CHANGES:
            return
        if not self._is_snapshot_writer():
            return
        snapshot = self.log.snapshot()
        try:
            await self._snapshots.write(snapshot)
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
            return
        self._snapshot_version = snapshot.version

    async def poll(self) -> None:
        """Refresh once from the platform, as a fallback for a node without gossip."""
        try:
            await self.refresh()
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)

    async def _watch(self) -> None:
        revision = 0
        while True:
            if self.log.version and not self._is_watcher():
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            try:
                await self.refresh()
                result = await self._objects.watch(
                    CHANGES_PREFIX, after_revision=revision
                )
            except PlatformError as error:
                log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            revision = result.revision

    async def _fetch_from(self, node: Node) -> None:
        try:
            changes = await self._peers.fetch(node, after=self.log.version)
            if changes is None:
                snapshot = await self._peers.fetch_snapshot(node)
                self._restore(snapshot, source=node.node_id)
            else:
                self.apply(changes, source=node.node_id)
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
        finally:
            self._active_fetches.discard(node.node_id)

    async def _restore_latest(self) -> None:
        try:
            snapshot = await self._snapshots.read_newer(0)
        except msgspec.DecodeError as error:
            # All changes can still be read one by one; only start-up takes longer.
            log_event(Event.SETTINGS_REFUSED, step="snapshot", reason=str(error))
            return
        self._restore(snapshot, source="platform")

    def _restore(self, snapshot: SettingsSnapshot | None, *, source: str) -> None:
        if snapshot is None or not self.log.restore(snapshot):
            return
        self._snapshot_version = snapshot.version
        log_event(Event.SETTINGS_RESTORED, version=snapshot.version, source=source)
        self.ready.set()

    def _apply_encoded(self, bodies: list[bytes]) -> None:
        try:
            changes = [decode_change(body) for body in bodies]
        except msgspec.DecodeError as error:
            log_event(Event.SETTINGS_REFUSED, step="decode", reason=str(error))
            return
        self.apply(changes, source="platform")
