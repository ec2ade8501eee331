"""What nodes tell each other about a third."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class NodeState(IntEnum):
    """A node's state in the views of others; the larger one wins a tie."""

    ALIVE = 0
    DOWN = 1
    LEAVING = 2


class MembershipUpdate(NamedTuple):
    """A node's state, as of one of its incarnations."""

    node_id: str
    incarnation: int
    state: NodeState

    def beats(self, other: MembershipUpdate) -> bool:
        """Return whether this is newer than another rumour of the same node."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)
