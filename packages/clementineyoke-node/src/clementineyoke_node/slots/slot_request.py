"""Parameters of a search for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from clementineyoke_core.grants.call_profile import CallProfile
    from clementineyoke_core.grants.refusal_reason import RefusalReason


class SlotRequest(NamedTuple):
    """A request for a slot on one of a pool's runners, ordered by a key."""

    pool: str
    key: int
    profile: CallProfile
    wait_ms: int
    """How long the call may queue for a slot; 0 for not at all."""
    tried: Collection[str] = ()
    """Ids of runners that must not be tried again."""
    load_factor: float = 0.0
    """Maximum multiple of the mean load for this call; 0 for the home's default. A
    last-resort request uses the default if that is higher; a queued one always does."""
    version: str | None = None
    """Software version of the runners that may be chosen; None for any."""
    preferred: str | None = None
    """Id of the runner that the placement token names."""
    refusals: dict[str, RefusalReason] | None = None
    """Receives the last reason for which each runner was refused; None if unused."""
