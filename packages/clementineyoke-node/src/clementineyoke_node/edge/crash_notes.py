"""Converts crash records to the notes that nodes send to each other, and back."""

from __future__ import annotations

from clementineyoke_core.edge.crash_records import CrashRecord
from clementineyoke_wire.messages import CrashNote


def to_note(digest: bytes, record: CrashRecord, *, now_ms: float) -> CrashNote:
    """Return the note of a record; each companion is named once."""
    runners_by_companion: dict[bytes, int] = {}
    for index, companions in enumerate(record.companions):
        for companion in companions:
            known = runners_by_companion.get(companion, 0)
            runners_by_companion[companion] = known | 1 << index
    return CrashNote(
        digest,
        record.clears,
        record.crashes,
        list(record.runners),
        max(0, round(now_ms - record.last_ms)),
        list(runners_by_companion),
        list(runners_by_companion.values()),
        list(record.teams),
        [max(0, round(now_ms - time_ms)) for time_ms in record.times_ms],
        record.was_answered,
    )


def to_record(note: CrashNote, *, now_ms: float) -> CrashRecord:
    """Return the record of a note."""
    companions = list(zip(note.companions, note.companion_runners, strict=False))
    return CrashRecord(
        note.clears,
        note.crashes,
        tuple(note.runners),
        now_ms - note.age_ms,
        tuple(
            tuple(
                companion for companion, runners in companions if runners >> index & 1
            )
            for index in range(len(note.runners))
        ),
        tuple(note.teams),
        tuple(now_ms - age_ms for age_ms in note.runner_ages_ms),
        note.was_answered,
    )
