"""The settings in force on a node: a tree that only moves forward through its log."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from clementineyoke_core.settings.snapshot import SettingsSnapshot
from clementineyoke_core.settings.tree import SettingsTree

if TYPE_CHECKING:
    from clementineyoke_core.settings.change import SettingsChange

RECENT_CHANGES = 512


class ApplyOutcome(Enum):
    """What came of a change that was offered to the log."""

    APPLIED = "applied"
    ALREADY_IN_FORCE = "already_in_force"
    GAP = "gap"


class SettingsLog:
    """Apply changes strictly in order of version.

    What goes wrong otherwise: a slow peer or a watch with a gap offers an old change
    after a new one, and a team sees yesterday's limit come back. Only the next version
    is ever applied, so a node's version never falls and equal versions mean equal
    trees.
    """

    def __init__(self) -> None:
        self.tree = SettingsTree()
        self._version = 0
        self._recent: OrderedDict[int, SettingsChange] = OrderedDict()

    @property
    def version(self) -> int:
        """The version in force; 0 means that nothing has been learnt yet."""
        return self._version

    def apply(self, change: SettingsChange) -> ApplyOutcome:
        """Put the next change in force, or say why not."""
        if change.version <= self._version:
            return ApplyOutcome.ALREADY_IN_FORCE
        if change.version != self._version + 1:
            return ApplyOutcome.GAP
        self.tree.apply(change.edits)
        self._version = change.version
        self._recent[change.version] = change
        if len(self._recent) > RECENT_CHANGES:
            self._recent.popitem(last=False)
        return ApplyOutcome.APPLIED

    def snapshot(self) -> SettingsSnapshot:
        """Return the whole tree in force."""
        return SettingsSnapshot(version=self._version, packed=self.tree.packed())

    def restore(self, snapshot: SettingsSnapshot) -> bool:
        """Jump to a newer version; an older one is never taken."""
        if snapshot.version <= self._version:
            return False
        self.tree.replace(snapshot.packed)
        self._version = snapshot.version
        self._recent.clear()
        return True

    def changes_after(self, version: int) -> list[SettingsChange] | None:
        """Return the changes a peer lacks, or None if some are no longer kept."""
        wanted = range(version + 1, self._version + 1)
        if any(number not in self._recent for number in wanted):
            return None
        return [self._recent[number] for number in wanted]
