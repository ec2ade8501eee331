"""Parameters of a search for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection


class SlotRequest(NamedTuple):
    """A request for a slot on one of a pool's runners, ordered by a key."""

    pool: str
    key: int
    team: int
    """Hash of the team's path; queues are served round-robin over teams."""
    priority: int
    wait_ms: int
    tried: Collection[str] = ()
    """Ids of runners that must not be tried again."""
    load_factor: float = 0.0
    """Maximum multiple of the mean load for this call; 0 for the home's default. A
    last-resort request uses the default if that is higher; a queued one always does."""
    preferred: str | None = None
    """Id of the runner that the placement token names."""
