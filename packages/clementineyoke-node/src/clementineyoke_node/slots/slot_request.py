"""What a request wants of the slot broker."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection


class SlotRequest(NamedTuple):
    """A pool, a key to order its runners by, and how long to wait for one."""

    pool: str
    key: int
    team: int
    """Hash of the team's path; teams take turns in a queue."""
    priority: int
    wait_ms: int
    tried: Collection[str] = ()
    """Runners that this request must not meet again."""
    load_factor: float = 0.0
    """Multiple of the mean load up to which the call may go; 0 for the home's own."""
    preferred: str | None = None
    """The runner that a placement token names."""
