"""The runner lifetime that is at an address, and since when."""

from __future__ import annotations


class AddressLifetimes:
    """Distinguish connections to a runner from those to its predecessor.

    A runner may restart under its id, and another one may get the address of a runner
    that is gone. A connection kept from before is reset at its next call, or the call
    runs at the wrong runner: a call that must not run twice is lost with it.
    """

    def __init__(self) -> None:
        self._lifetimes: dict[tuple[str, int], tuple[str, float]] = {}

    def record(self, address: str, port: int, *, lifetime: str, now_s: float) -> None:
        """Record the runner lifetime that calls to an address are meant for."""
        known = self._lifetimes.get((address, port))
        if known is None or known[0] != lifetime:
            since_s = 0.0 if known is None else now_s
            self._lifetimes[(address, port)] = (lifetime, since_s)

    def lifetime_at(self, address: str, port: int) -> str:
        """Return the lifetime that calls to an address are meant for, or ``""``."""
        known = self._lifetimes.get((address, port))
        return "" if known is None else known[0]

    def is_current(self, address: str, port: int, *, connected_s: float) -> bool:
        """Whether a connection made at ``connected_s`` reaches the current lifetime."""
        known = self._lifetimes.get((address, port))
        return known is None or connected_s >= known[1]
