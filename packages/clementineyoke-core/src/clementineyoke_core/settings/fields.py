"""Fields of the settings tree, with their bounds and defaults."""

from __future__ import annotations

from typing import NamedTuple

TYPE_NAMES = {int: "a whole number", float: "a number", list: "a list of texts"}


class Field(NamedTuple):
    """A field's type, bounds (inclusive), default and description."""

    kind: type
    default: object
    min_value: float
    max_value: float
    """For a list, the maximum number of entries."""
    description: str
    team_only: bool = False


FIELDS: dict[str, Field] = {
    "rate_per_s": Field(
        float, 50.0, 0.0, 1e6, "Requests a second the team may send to the fleet."
    ),
    "burst_requests": Field(
        float, 100.0, 1.0, 1e6, "Requests the team may send at once after a pause."
    ),
    "priority": Field(
        int, 5, 0, 9, "Order of service when slots are scarce; 0 is first."
    ),
    "deadline_ms": Field(
        int, 60_000, 10, 3_600_000, "Maximum time for a whole answer."
    ),
    "queue_ms": Field(int, 1_000, 0, 60_000, "Maximum wait for a slot."),
    "models": Field(list, [], 0, 100, "Models the team may call."),
    "services": Field(list, [], 0, 100, "Plain services the team may call."),
    "key_hashes": Field(
        list, [], 0, 16, "SHA-256 of each API key of the team, in hex.", True
    ),
}
