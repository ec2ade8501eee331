"""Current settings of a node: a tree that follows its log of changes in order."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from clementineyoke_core.settings.snapshot import SettingsSnapshot
from clementineyoke_core.settings.tree import SettingsTree

if TYPE_CHECKING:
    from clementineyoke_core.settings.change import SettingsChange

MAX_RECENT_CHANGES = 512


class ApplyOutcome(Enum):
    """Result of applying a change to the log."""

    APPLIED = "applied"
    ALREADY_IN_FORCE = "already_in_force"
    GAP = "gap"


class SettingsLog:
    """Apply changes strictly in order of version.

    A slow peer, or a watch with a gap, may deliver an old change after a new one; if it
    were applied, a team would get an outdated limit again. Only the next version is
    ever applied, so a node's version never decreases and nodes at the same version have
    the same tree.
    """

    def __init__(self) -> None:
        self.tree = SettingsTree()
        self._version = 0
        self._recent: OrderedDict[int, SettingsChange] = OrderedDict()

    @property
    def version(self) -> int:
        """The current version; 0 before the first change or snapshot."""
        return self._version

    def apply(self, change: SettingsChange) -> ApplyOutcome:
        """Apply the change if it is the next one, and return the outcome."""
        if change.version <= self._version:
            return ApplyOutcome.ALREADY_IN_FORCE
        if change.version != self._version + 1:
            return ApplyOutcome.GAP
        self.tree.apply(change.edits)
        self._version = change.version
        self._recent[change.version] = change
        if len(self._recent) > MAX_RECENT_CHANGES:
            self._recent.popitem(last=False)
        return ApplyOutcome.APPLIED

    def snapshot(self) -> SettingsSnapshot:
        """Return a snapshot of the current tree."""
        return SettingsSnapshot(version=self._version, packed=self.tree.packed())

    def restore(self, snapshot: SettingsSnapshot) -> bool:
        """Replace the tree by a newer snapshot; return False if it is not newer."""
        if snapshot.version <= self._version:
            return False
        self.tree.replace(snapshot.packed)
        self._version = snapshot.version
        self._recent.clear()
        return True

    def changes_after(self, version: int) -> list[SettingsChange] | None:
        """Return the changes after a version, or None if some are no longer kept."""
        versions = range(version + 1, self._version + 1)
        if any(number not in self._recent for number in versions):
            return None
        return [self._recent[number] for number in versions]
