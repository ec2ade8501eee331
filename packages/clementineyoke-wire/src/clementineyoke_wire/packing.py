"""Undo Cap'n Proto's packing of zero bytes, refusing what is not well formed."""

from __future__ import annotations

WORD_BYTES = 8
ALL_ZERO = 0x00
ALL_SET = 0xFF
LARGEST_BYTES = 65_536
"""A datagram of 1.5 kB could unpack to over a megabyte of zeros."""


def unpack(packed: bytes) -> bytes:
    """Return the unpacked words; raises ``ValueError`` on anything else.

    pycapnp's own ``from_bytes_packed`` ends the whole process with a C++ exception on
    a message that stops too early; found by fuzzing, seen as a node that is gone.
    """
    out = bytearray()
    place = 0
    while place < len(packed):
        tag = packed[place]
        place += 1
        word_end = place + tag.bit_count()
        _append_word(out, tag, packed[place:word_end])
        place = word_end
        if tag in (ALL_ZERO, ALL_SET):
            place = _append_run(out, tag, packed, place)
        if len(out) > LARGEST_BYTES:
            message = f"unpacks to more than {LARGEST_BYTES} bytes"
            raise ValueError(message)
    return bytes(out)


def _append_word(out: bytearray, tag: int, present: bytes) -> None:
    if len(present) != tag.bit_count():
        message = "ends within a word"
        raise ValueError(message)
    values = iter(present)
    for bit in range(WORD_BYTES):
        out.append(next(values) if tag >> bit & 1 else 0)


def _append_run(out: bytearray, tag: int, packed: bytes, place: int) -> int:
    if place >= len(packed):
        message = "ends before a run's length"
        raise ValueError(message)
    run_bytes = packed[place] * WORD_BYTES
    place += 1
    if tag == ALL_ZERO:
        out.extend(bytes(run_bytes))
        return place
    run = packed[place : place + run_bytes]
    if len(run) != run_bytes:
        message = "ends within a run"
        raise ValueError(message)
    out.extend(run)
    return place + run_bytes
