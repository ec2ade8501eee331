"""The last routing decisions of this node, for ``explain``."""

from __future__ import annotations

from collections import deque
from typing import Any, TypedDict

from clementineyoke_wire.events import Event, log_event

MOST_DECISIONS = 2_000


class Decision(TypedDict):
    """One decision as operators see it."""

    event: str
    request_id: str
    fields: dict[str, Any]


class DecisionRing:
    """Log each decision and keep the last ones."""

    def __init__(self) -> None:
        self._decisions: deque[Decision] = deque(maxlen=MOST_DECISIONS)

    def record(self, event: Event, *, request_id: str, **fields: Any) -> None:
        """Log and keep a decision."""
        log_event(event, request_id=request_id, **fields)
        decision = Decision(
            event=event.name.lower(), request_id=request_id, fields=fields
        )
        self._decisions.append(decision)

    def find(self, text: str) -> list[Decision]:
        """Return the decisions of a request id or a chat id, oldest first."""
        return [
            decision
            for decision in self._decisions
            if text in (decision["request_id"], decision["fields"].get("chat"))
        ]
