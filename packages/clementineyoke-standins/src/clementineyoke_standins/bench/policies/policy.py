"""Interface of the benchmarked policies."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from clementineyoke_standins.bench.workload import Request


class Choice(NamedTuple):
    """The chosen runner, or None if the request is refused."""

    runner_id: str | None
    request_number: int = 0
    """Number by which the policy identifies the request."""


class Policy(Protocol):
    """Chooses a runner for each request."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the runner for a request."""
        ...

    def finish(self, runner_id: str, request_number: int, *, now_ms: float) -> None:
        """Record the end of a request."""
        ...

    def tick(self, *, now_ms: float) -> None:
        """Run periodic work; called every ``TICK_MS`` of virtual time."""
        ...

    def replace_runners(self, runner_ids: list[str]) -> None:
        """Replace the set of runners."""
        ...
