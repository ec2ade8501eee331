"""Converts crash records to the notes that nodes send to each other, and back."""

from __future__ import annotations

from clementineyoke_core.edge.crash_records import Crash, CrashRecord
from clementineyoke_wire.messages import CrashNote


def to_note(digest: bytes, record: CrashRecord, *, now_ms: float) -> CrashNote:
    """Return the note of a record; each companion is named once."""
    runners_by_companion: dict[bytes, int] = {}
    for index, crash in enumerate(record.history):
        for companion in crash.companions:
            known = runners_by_companion.get(companion, 0)
            runners_by_companion[companion] = known | 1 << index
    return CrashNote(
        digest,
        record.clears,
        record.crashes,
        list(record.runners),
        _age_ms(record.last_ms, now_ms),
        list(runners_by_companion),
        list(runners_by_companion.values()),
        list(record.teams),
        [_age_ms(crash.crashed_ms, now_ms) for crash in record.history],
        record.was_answered,
    )


def to_record(note: CrashNote, *, now_ms: float) -> CrashRecord:
    """Return the record of a note; an earlier release tells only the latest age."""
    ages_ms = note.runner_ages_ms or [note.age_ms] * len(note.runners)
    companions = list(zip(note.companions, note.companion_runners, strict=False))
    history = tuple(
        Crash(
            runner,
            now_ms - age_ms,
            tuple(name for name, runners in companions if runners >> index & 1),
        )
        for index, (runner, age_ms) in enumerate(
            zip(note.runners, ages_ms, strict=False)
        )
    )
    return CrashRecord(
        note.clears,
        note.crashes,
        history,
        now_ms - note.age_ms,
        tuple(note.teams),
        note.was_answered,
    )


def _age_ms(time_ms: float, now_ms: float) -> int:
    return max(0, round(now_ms - time_ms))
