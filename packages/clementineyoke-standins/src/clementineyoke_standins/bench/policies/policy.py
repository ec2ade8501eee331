"""What every policy of the bench offers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from clementineyoke_standins.bench.workload import Request


class Choice(NamedTuple):
    """A runner, or None when the request is refused, and what finding it cost."""

    runner_id: str | None
    hold: int = 0
    """The policy's own number for the request."""


class Policy(Protocol):
    """Choose a runner for each request."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the runner for a request."""
        ...

    def finish(self, runner_id: str, hold: int, *, now_ms: float) -> None:
        """Take note that a request has ended."""
        ...

    def tick(self, *, now_ms: float) -> None:
        """Do periodic work, four times a second."""
        ...

    def replace_runners(self, runner_ids: list[str]) -> None:
        """Take a new set of runners."""
        ...
