"""Keep the settings in force: learn changes from the platform and from peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol, Self

import msgspec

from clementineyoke_core.settings.change import SettingsChange, decode_change
from clementineyoke_core.settings.log import ApplyOutcome, SettingsLog
from clementineyoke_node.platform.platform_error import PlatformError
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from clementineyoke_core.node import Node
    from clementineyoke_node.platform.object_api import ObjectApi

CHANGES_PREFIX = "settings/changes/"
RETRY_PAUSE_S = 1.0
VERSION_DIGITS = 12


class PeerChanges(Protocol):
    """Fetch changes from another node."""

    async def fetch(self, node: Node, *, after: int) -> list[SettingsChange]:
        """Return the changes after a version; empty if the peer has none."""
        ...


class WatchDuty(Protocol):
    """Whether this node is one of its zone's watchers now."""

    def __call__(self) -> bool:
        """Return the duty as of this moment."""
        ...


def change_name(version: int) -> str:
    """Return the name of the object that holds a version's change."""
    return f"{CHANGES_PREFIX}{version:0{VERSION_DIGITS}d}"


class SettingsKeeper:
    """Own the log and the watch; everything that learns a change goes through here."""

    def __init__(
        self, *, objects: ObjectApi, peers: PeerChanges, has_watch_duty: WatchDuty
    ) -> None:
        self._objects = objects
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

    def hear_of_newer(self, node: Node, version: int) -> None:
        """Fetch from a peer that named a newer version, one fetch a peer at a time."""
        if version <= self.log.version or node.node_id in self._fetching:
            return
        self._fetching.add(node.node_id)
        self._tasks.spawn(self._fetch_from(node), name="settings_fetch")

    async def refresh(self) -> None:
        """Read what the platform holds beyond the version in force."""
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
            self.take(changes, source=node.node_id)
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
        finally:
            self._fetching.discard(node.node_id)

    def _take_bodies(self, bodies: list[bytes]) -> None:
        try:
            changes = [decode_change(body) for body in bodies]
        except msgspec.DecodeError as error:
            log_event(Event.SETTINGS_REFUSED, step="decode", reason=str(error))
            return
        self.take(changes, source="platform")
