"""Validation of settings documents; reports all violations, not only the first."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from clementineyoke_core.settings.fields import FIELDS, TYPE_NAMES, Field
from clementineyoke_core.settings.violation import SettingsViolation

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = "/"
TEAM_DEPTH = 2
MAX_DEPTH = 3
_PATH = re.compile(r"/|(/[a-z0-9][a-z0-9._-]{0,63}){1,3}")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")

Values = dict[str, Any]
Edits = dict[str, Values | None]
"""New values by path; None removes the path from the tree."""


def path_depth(path: str) -> int:
    """Return 0 for the root, 1 for a group, 2 for a team, 3 for a team's model."""
    return 0 if path == ROOT else path.count("/")


def parent_path(path: str) -> str | None:
    """Return the path that a path inherits from, or None for the root."""
    if path == ROOT:
        return None
    return path.rsplit("/", 1)[0] or ROOT


def find_violations(document: object) -> list[SettingsViolation]:
    """Return all violations of a document that maps paths to values; none if valid."""
    if not isinstance(document, dict):
        return [SettingsViolation("", "", "the document is not an object of paths")]
    violations: list[SettingsViolation] = []
    for path, values in document.items():
        violations.extend(_find_path_violations(path, values))
    return violations


def _find_path_violations(path: object, values: object) -> Iterator[SettingsViolation]:
    if not isinstance(path, str) or not _PATH.fullmatch(path):
        yield SettingsViolation(
            str(path), "", "is no path; paths look like /group/team/model"
        )
        return
    if values is None:
        if path == ROOT:
            yield SettingsViolation(path, "", "the root cannot be removed")
        return
    if not isinstance(values, dict):
        yield SettingsViolation(path, "", "holds no object of fields")
        return
    for name, value in values.items():
        reason = _find_value_violation(path, name, value)
        if reason is not None:
            yield SettingsViolation(path, str(name), reason)


def _find_value_violation(path: str, name: object, value: object) -> str | None:
    field = FIELDS.get(name) if isinstance(name, str) else None
    if field is None:
        known = ", ".join(sorted(FIELDS))
        return f"is no known field; the fields are {known}"
    if field.team_only and path_depth(path) != TEAM_DEPTH:
        return "may stand only at a team (/group/team)"
    if field.kind is list:
        return _find_list_violation(str(name), field, value)
    return _find_number_violation(field, value)


def _find_list_violation(name: str, field: Field, value: object) -> str | None:
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        return f"is not {TYPE_NAMES[list]}"
    if len(value) > field.max_value:
        return f"has {len(value)} entries, more than {field.max_value:g}"
    if name == "key_hashes" and not all(_KEY_HASH.fullmatch(v) for v in value):
        return "holds an entry that is no SHA-256 in lower-case hex"
    return None


def _find_number_violation(field: Field, value: object) -> str | None:
    wanted = (int,) if field.kind is int else (int, float)
    if isinstance(value, bool) or not isinstance(value, wanted):
        return f"is not {TYPE_NAMES[field.kind]}"
    # Written so that NaN, for which every comparison is false, is rejected too.
    if not field.min_value <= value <= field.max_value:
        return f"is {value}, outside {field.min_value:g} to {field.max_value:g}"
    return None
