"""Validation of packed Cap'n Proto messages before they are decoded."""

from __future__ import annotations

ZERO_WORDS_TAG = 0x00
LITERAL_WORDS_TAG = 0xFF
WORD_BYTES = 8
SEGMENT_COUNT_MASK = 0x0F
"""Tag bits for the lower half of the header word, which holds the number of segments
minus one; all clear for a message of one segment."""
SEGMENT_SIZE_BYTES = 4
MAX_WORDS = 8_192
"""64 kB. Without a limit, a datagram of 1.5 kB could unpack to over a megabyte of
zeros."""
_PACKED_BYTES = [tag.bit_count() for tag in range(256)]


def check_packed(packed: bytes) -> None:
    """Raise ``ValueError`` unless a message has all words that its header declares.

    On a truncated message, pycapnp's ``from_bytes_packed`` throws a C++ exception that
    terminates the whole process, so a single datagram could end a node.
    """
    if not packed or packed[0] & SEGMENT_COUNT_MASK:
        message = "not a message of one segment"
        raise ValueError(message)
    declared = _declared_words(packed)
    present = _count_words(packed) - 1
    if not declared <= present <= MAX_WORDS:
        message = f"has {present} words, declares {declared}, limit is {MAX_WORDS}"
        raise ValueError(message)


def _declared_words(packed: bytes) -> int:
    tag = packed[0]
    size = bytearray(SEGMENT_SIZE_BYTES)
    offset = 1
    for index in range(SEGMENT_SIZE_BYTES):
        if tag >> (SEGMENT_SIZE_BYTES + index) & 1:
            size[index] = packed[offset] if offset < len(packed) else 0
            offset += 1
    return int.from_bytes(size, "little")


def _count_words(packed: bytes) -> int:
    """Count words by their tags; raises ``ValueError`` if the last one is truncated."""
    words = 0
    offset = 0
    end = len(packed)
    while offset < end:
        tag = packed[offset]
        offset += 1 + _PACKED_BYTES[tag]
        words += 1
        if tag in (ZERO_WORDS_TAG, LITERAL_WORDS_TAG):
            run = packed[offset] if offset < end else 0
            offset += 1 + (run * WORD_BYTES if tag == LITERAL_WORDS_TAG else 0)
            words += run
    if offset != end:
        message = "message ends within a word"
        raise ValueError(message)
    return words
