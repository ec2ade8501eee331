"""Which availability zones the operator has emptied of new work."""

from __future__ import annotations

from typing import NamedTuple


class EvacuatedZone(NamedTuple):
    """One order of the operator's: no new work for the runners of a zone."""

    availability_zone: str
    revision: int
    """The store's revision of the order."""


class EvacuationView(NamedTuple):
    """All orders in force as of a revision of the store."""

    revision: int
    zones: tuple[EvacuatedZone, ...] = ()


class EvacuationChanges(NamedTuple):
    """What a watch saw of the orders between two revisions of the store."""

    revision: int
    evacuated: tuple[EvacuatedZone, ...]
    returned: tuple[str, ...]


class ZoneChange(NamedTuple):
    """How the zones in force have changed on this node."""

    evacuated: tuple[EvacuatedZone, ...]
    returned: tuple[str, ...]


NO_ORDERS = EvacuationView(0)


class Evacuations:
    """Hold the operator's orders; never go back to an older view of the store.

    Each view is the truth of one revision, whoever tells it, so the newest wins. A node
    that took an older one would send calls to runners that are about to be switched
    off, or keep a zone empty that serves again: seen as work in an emptied zone minutes
    after the order, from one node only.
    """

    def __init__(self) -> None:
        self._view = NO_ORDERS
        self.version = 0
        """As of which revision the orders became what they are: what peers compare."""

    @property
    def is_known(self) -> bool:
        """Whether anybody has told the orders yet; an empty list is an answer."""
        return self._view.revision > 0

    @property
    def view(self) -> EvacuationView:
        """The orders in force, as they are handed to a peer."""
        return self._view

    def replace(self, view: EvacuationView) -> ZoneChange | None:
        """Take all orders as of a revision; return what changed, None for old news."""
        if view.revision <= self._view.revision:
            return None
        is_same = self.is_known and view.zones == self._view.zones
        before = self._view.zones
        # Also the same orders seen later count: what was in force between is past.
        self._view = view
        if is_same:
            return None
        self.version = view.revision
        return _compare(before, view.zones)

    def apply(self, changes: EvacuationChanges) -> ZoneChange | None:
        """Take what a watch saw since a revision that was known here.

        The view may be newer than where the watch began, as a quicker peer has told;
        events up to its revision are in it then, and taking them again changes nothing.
        """
        if changes.revision <= self._view.revision:
            return None
        zones = {zone.availability_zone: zone for zone in self._view.zones}
        for name in changes.returned:
            zones.pop(name, None)
        zones.update({zone.availability_zone: zone for zone in changes.evacuated})
        view = EvacuationView(changes.revision, tuple(sorted(zones.values())))
        return self.replace(view)


def _compare(
    before: tuple[EvacuatedZone, ...], after: tuple[EvacuatedZone, ...]
) -> ZoneChange:
    known = {zone.availability_zone for zone in before}
    kept = {zone.availability_zone for zone in after}
    evacuated = tuple(zone for zone in after if zone.availability_zone not in known)
    return ZoneChange(evacuated, tuple(sorted(known - kept)))
