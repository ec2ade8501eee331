"""Every field that the settings tree may hold, with its bounds and default."""

from __future__ import annotations

from typing import NamedTuple

TYPE_NAMES = {int: "a whole number", float: "a number", list: "a list of texts"}


class Field(NamedTuple):
    """A field's type, bounds (inclusive), default and meaning."""

    kind: type
    default: object
    lowest: float
    highest: float
    meaning: str
    team_only: bool = False


FIELDS: dict[str, Field] = {
    "rate_per_s": Field(
        float, 50.0, 0.0, 1e6, "Requests a second the team may send to the fleet."
    ),
    "burst_requests": Field(
        float, 100.0, 1.0, 1e6, "Requests the team may send at once after a pause."
    ),
    "priority": Field(int, 5, 0, 9, "Who waits first when slots are short; 0 is best."),
    "deadline_ms": Field(
        int, 60_000, 10, 3_600_000, "Longest time for a whole answer."
    ),
    "queue_ms": Field(int, 1_000, 0, 60_000, "Longest wait for a slot."),
    "models": Field(list, [], 0, 100, "Models the team may call."),
    "services": Field(list, [], 0, 100, "Plain services the team may call."),
    "key_hashes": Field(
        list, [], 0, 16, "SHA-256 of each API key of the team, in hex.", True
    ),
}
