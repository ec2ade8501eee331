"""Result of one day, read from the report of the users' benchmark program."""

from __future__ import annotations

import json
from typing import Any, NamedTuple


class DayReport(NamedTuple):
    """Score of a day and its parts; shares are relative to what callers were owed."""

    worth: float
    parts: dict[str, float]
    """Share earned in each part, such as the whole day or the worst windows."""
    prices: dict[str, float]
    """Deduction from the score for each kind of cost."""
    amounts: dict[str, float]
    """Amount behind each deduction, in a unit of its own."""
    unserved: dict[str, int]
    """Number of requests that were not served, by the outcome of the last attempt."""
    broken_rules: tuple[str, ...]
    """Names of the rules that were broken."""

    def metrics(self) -> dict[str, float]:
        """Return all metrics by unique name, for comparison."""
        values = {"worth": self.worth, "broken rules": float(len(self.broken_rules))}
        values["prices"] = sum(self.prices.values())
        values |= {f"part: {name}": value for name, value in self.parts.items()}
        values |= {f"price: {name}": value for name, value in self.prices.items()}
        values |= {f"amount: {name}": value for name, value in self.amounts.items()}
        values["unserved"] = float(sum(self.unserved.values()))
        values |= {
            f"unserved: {outcome}": float(n) for outcome, n in self.unserved.items()
        }
        return values


def read_report(text: str) -> DayReport:
    """Parse a report; raises ``ValueError`` naming what is missing or malformed."""
    try:
        return _parse(json.loads(text))
    except (KeyError, TypeError) as error:
        message = f"invalid day report: {error!r}"
        raise ValueError(message) from error


def _parse(document: dict[str, Any]) -> DayReport:
    return DayReport(
        worth=float(document["G"]),
        parts={name: float(share) for name, _, share in document["parts"]},
        prices={name: float(price) for name, _, price in document["prices"]},
        amounts={name: float(amount) for name, amount, _ in document["prices"]},
        unserved={
            outcome: int(count) for outcome, count, *_ in document["unserved_by"]
        },
        broken_rules=tuple(document["breaks"]),
    )
