"""Availability zones that the operator has evacuated: they get no new work."""

from __future__ import annotations

from typing import NamedTuple


class EvacuatedZone(NamedTuple):
    """An evacuation order: the runners of the zone get no new work."""

    availability_zone: str
    revision: int
    """Store revision of the order."""


class EvacuationView(NamedTuple):
    """All evacuation orders in force at a store revision."""

    revision: int
    zones: tuple[EvacuatedZone, ...] = ()


class EvacuationChanges(NamedTuple):
    """Orders given or withdrawn up to a store revision, as seen by a watch."""

    revision: int
    evacuated: tuple[EvacuatedZone, ...]
    returned: tuple[str, ...]


class ZoneChange(NamedTuple):
    """Zones that were newly evacuated or returned to service on this node."""

    evacuated: tuple[EvacuatedZone, ...]
    returned: tuple[str, ...]


NO_EVACUATIONS = EvacuationView(0)


class Evacuations:
    """Hold the operator's evacuation orders; never revert to an older view.

    Each view is the complete state at one revision, whichever peer sent it, so the
    newest wins. A node that accepted an older one would send calls to runners that are
    about to be switched off, or send none to a zone that is back in service. This
    would show as one node that uses an evacuated zone minutes after the order.
    """

    def __init__(self) -> None:
        self._view = NO_EVACUATIONS
        self.version = 0
        """Store revision at which the orders last changed; peers compare it."""

    @property
    def is_known(self) -> bool:
        """Return whether a view has been received yet; an empty one counts."""
        return self._view.revision > 0

    @property
    def view(self) -> EvacuationView:
        """Return the orders in force, as sent to peers."""
        return self._view

    def replace(self, view: EvacuationView) -> ZoneChange | None:
        """Replace the view by a newer one.

        Return what changed; None if the view is not newer or its orders are the same.
        """
        if view.revision <= self._view.revision:
            return None
        is_same = self.is_known and view.zones == self._view.zones
        before = self._view.zones
        # An unchanged view at a later revision supersedes the revisions in between.
        self._view = view
        if is_same:
            return None
        self.version = view.revision
        return _compare(before, view.zones)

    def apply(self, changes: EvacuationChanges) -> ZoneChange | None:
        """Apply the changes that a watch saw since a revision known to this node.

        The view may be newer than the start of the watch if a peer was faster. It then
        includes the events up to its revision, and applying them again changes nothing.
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
