"""A slot that a request holds on a runner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner


class PassedOver(NamedTuple):
    """A runner that was held back, and why."""

    runner_id: str
    why: str


class SlotLease(NamedTuple):
    """The runner, and why it was chosen."""

    runner: Runner
    ask_id: int
    reason: str
    rank: int
    """How many runners stood before it in the chat's order."""
    passed_over: tuple[PassedOver, ...] = ()
    """Runners that stood before it and were held back, whatever their load."""
