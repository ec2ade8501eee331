"""Check that a packed Cap'n Proto message holds what it says, before it is read."""

from __future__ import annotations

ALL_ZERO = 0x00
ALL_SET = 0xFF
WORD_BYTES = 8
SEGMENT_COUNT_BITS = 0x0F
"""Tag bits of the first word's lower half: segments but one, always none here."""
SIZE_BYTES = 4
MOST_WORDS = 8_192
"""64 kB: a datagram of 1.5 kB could otherwise unpack to over a megabyte of zeros."""
_LENGTHS = [tag.bit_count() for tag in range(256)]


def check_packed(packed: bytes) -> None:
    """Raise ``ValueError`` unless all words that the header announces are there.

    pycapnp's ``from_bytes_packed`` ends the whole process with a C++ exception on a
    message that stops too early; found by fuzzing, seen as a node that is gone.
    """
    if not packed or packed[0] & SEGMENT_COUNT_BITS:
        message = "is no message of one segment"
        raise ValueError(message)
    announced = _announced_words(packed)
    present = _count_words(packed) - 1
    if not announced <= present <= MOST_WORDS:
        message = f"announces {announced} words and holds {present}"
        raise ValueError(message)


def _announced_words(packed: bytes) -> int:
    tag = packed[0]
    size = bytearray(SIZE_BYTES)
    place = 1
    for index in range(SIZE_BYTES):
        if tag >> (SIZE_BYTES + index) & 1:
            size[index] = packed[place] if place < len(packed) else 0
            place += 1
    return int.from_bytes(size, "little")


def _count_words(packed: bytes) -> int:
    """Walk the tags; raises ``ValueError`` when the last word is cut."""
    words = 0
    place = 0
    end = len(packed)
    while place < end:
        tag = packed[place]
        place += 1 + _LENGTHS[tag]
        words += 1
        if tag in (ALL_ZERO, ALL_SET):
            run = packed[place] if place < end else 0
            place += 1 + (run * WORD_BYTES if tag == ALL_SET else 0)
            words += run
    if place != end:
        message = "ends within a word"
        raise ValueError(message)
    return words
