"""What one play of a day earned, read from the report that the users' bench writes."""

from __future__ import annotations

import json
from typing import Any, NamedTuple


class DayReport(NamedTuple):
    """A day's worth and where it went; all shares are of what callers were owed."""

    worth: float
    parts: dict[str, float]
    """Share earned by part, as the whole day or the worst windows."""
    prices: dict[str, float]
    """What each price took off."""
    amounts: dict[str, float]
    """What was paid for, each in its own unit."""
    unserved: dict[str, int]
    """Requests that were not served, by how their last try ended."""
    broken_rules: tuple[str, ...]
    """Rules that were broken."""

    def metrics(self) -> dict[str, float]:
        """Return every figure by a name of its own, for comparing."""
        figures = {"worth": self.worth, "broken rules": float(len(self.broken_rules))}
        figures["prices"] = sum(self.prices.values())
        figures |= {f"part: {name}": value for name, value in self.parts.items()}
        figures |= {f"price: {name}": value for name, value in self.prices.items()}
        figures |= {f"amount: {name}": value for name, value in self.amounts.items()}
        figures["unserved"] = float(sum(self.unserved.values()))
        figures |= {f"unserved: {end}": float(n) for end, n in self.unserved.items()}
        return figures


def read_report(text: str) -> DayReport:
    """Read a report; raises ``ValueError`` that says what is missing."""
    try:
        return _parse(json.loads(text))
    except (KeyError, TypeError) as error:
        message = f"no report of a day: {error!r}"
        raise ValueError(message) from error


def _parse(document: dict[str, Any]) -> DayReport:
    return DayReport(
        worth=float(document["G"]),
        parts={name: float(share) for name, _, share in document["parts"]},
        prices={name: float(price) for name, _, price in document["prices"]},
        amounts={name: float(amount) for name, amount, _ in document["prices"]},
        unserved={end: int(count) for end, count, *_ in document["unserved_by"]},
        broken_rules=tuple(document["breaks"]),
    )
