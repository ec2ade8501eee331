"""A slot that a request holds on a runner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner


class SlotLease(NamedTuple):
    """The runner, and why it was chosen."""

    runner: Runner
    ask_id: int
    reason: str
    rank: int
    """How many runners stood before it in the chat's order."""
