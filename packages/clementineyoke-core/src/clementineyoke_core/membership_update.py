"""State of a node as spread by gossip."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class MemberState(IntEnum):
    """A node's state in a view; at the same incarnation the larger value wins."""

    ALIVE = 0
    DOWN = 1
    LEAVING = 2


class MembershipUpdate(NamedTuple):
    """A node's state at one of its incarnations."""

    node_id: str
    incarnation: int
    state: MemberState

    def supersedes(self, other: MembershipUpdate) -> bool:
        """Return whether this is newer than another update on the same node."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)
