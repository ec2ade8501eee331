"""Since when the runner that is now at an address has been there."""

from __future__ import annotations


class AddressLifetimes:
    """Tell connections to a runner from those to whatever was there before it.

    A runner may start anew under its id, and another one may get the address of one
    that is gone. A connection that was kept meanwhile is reset at its next call, or the
    call runs where nobody meant it to: a call that must not run twice is lost with it.
    """

    def __init__(self) -> None:
        self._tenants: dict[tuple[str, int], tuple[str, float]] = {}

    def record(self, address: str, port: int, *, lifetime: str, now_s: float) -> None:
        """Note which runner's lifetime a call at an address is meant for."""
        known = self._tenants.get((address, port))
        if known is None or known[0] != lifetime:
            since_s = 0.0 if known is None else now_s
            self._tenants[(address, port)] = (lifetime, since_s)

    def is_current(self, address: str, port: int, *, connected_s: float) -> bool:
        """Whether a connection made then leads to the runner that is there now."""
        known = self._tenants.get((address, port))
        return known is None or connected_s >= known[1]
