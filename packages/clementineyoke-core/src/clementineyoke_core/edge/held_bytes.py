"""Accounts for the bytes of others that a node holds, and bounds them."""

from __future__ import annotations

from typing import Self

FREE_BYTES = 65_536
"""What each holder may hold whatever the others hold: a few bad runners that fill the
total must not have the short answers of all others refused."""


class HoldLimitError(Exception):
    """Raised when a holder would exceed its own bound or that of all holders."""

    def __init__(self, *, is_total: bool, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes exceed the bound of {max_bytes}")
        self.is_total = is_total
        """Whether it is the bound of all holders."""
        self.size_bytes = size_bytes


class HeldBytes:
    """The bytes that all holders of a node hold."""

    def __init__(self, *, max_each_bytes: int, max_total_bytes: int) -> None:
        self.max_each_bytes = max_each_bytes
        self._max_total_bytes = max_total_bytes
        self.total_bytes = 0
        self.peak_bytes = 0
        """Most that was held at once."""

    def open(self) -> Holding:
        """Return a holder, which holds nothing yet."""
        return Holding(self)

    def check(self, *, held_bytes: int, size_bytes: int) -> None:
        """Raise ``HoldLimitError`` if a holder may not go from one size to another."""
        if size_bytes > self.max_each_bytes:
            raise HoldLimitError(
                is_total=False, size_bytes=size_bytes, max_bytes=self.max_each_bytes
            )
        total_bytes = self.total_bytes - held_bytes + size_bytes
        if size_bytes > FREE_BYTES and total_bytes > self._max_total_bytes:
            raise HoldLimitError(
                is_total=True, size_bytes=total_bytes, max_bytes=self._max_total_bytes
            )

    def change(self, difference_bytes: int) -> None:
        """Record that a holder holds more, or less."""
        self.total_bytes += difference_bytes
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)


class Holding:
    """What one holder holds; released when it is left, or closed."""

    def __init__(self, held: HeldBytes) -> None:
        self._held = held
        self.size_bytes = 0

    def __enter__(self) -> Self:
        """Return the holder."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Release what it holds."""
        self.close()

    def check(self, size_bytes: int) -> None:
        """Raise ``HoldLimitError`` if this many bytes would be too much to hold."""
        self._held.check(held_bytes=self.size_bytes, size_bytes=size_bytes)

    def resize(self, size_bytes: int) -> None:
        """Hold this many bytes; raises ``HoldLimitError`` if that is too much."""
        if size_bytes > self.size_bytes:
            self.check(size_bytes)
        self._held.change(size_bytes - self.size_bytes)
        self.size_bytes = size_bytes

    def close(self) -> None:
        """Release what it holds."""
        self.resize(0)
