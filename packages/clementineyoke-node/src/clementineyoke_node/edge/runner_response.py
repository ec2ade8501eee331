"""Responses of runners: with an unread body, or complete."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_node.timers.timer_service import TimerService

if TYPE_CHECKING:
    import aiohttp

    from clementineyoke_core.edge.held_bytes import Holding
    from clementineyoke_node.edge.runner_liveness import EndCheck
    from clementineyoke_node.edge.runner_protocol import RunnerProtocol
    from clementineyoke_node.platform.runner_codec import ResponseHead


class OpenResponse(NamedTuple):
    """A response whose head has arrived and whose body has not been read."""

    head: ResponseHead
    client_response: aiohttp.ClientResponse
    protocol: RunnerProtocol | None = None
    """Its connection to the runner; None if that had ended with the head."""
    end_check: EndCheck | None = None
    """Whether it is whole; None if its end is not that of its connection."""

    @property
    def connected_ms(self) -> float:
        """Monotonic time at which its connection was opened; infinite if unknown."""
        if self.protocol is None:
            return math.inf
        return TimerService.from_loop_time_ms(self.protocol.connected_s)


class HeldBody:
    """A long body, which is accounted for as long as it is referred to."""

    def __init__(self, parts: list[bytes], holding: Holding) -> None:
        self.parts = parts
        self.holding = holding

    def __del__(self) -> None:
        """Release the body."""
        self.holding.close()


class CompleteResponse(NamedTuple):
    """A response that was read to its end."""

    head: ResponseHead
    body: bytes
    ended_ms: float = 0.0
    """Time at which the body was read to its end; 0 if it was not recorded."""
    held: HeldBody | None = None
    """The body if it is long; ``body`` is empty then."""
    is_relayed: bool = False
    """Whether the caller has got the body as it came."""
