"""Commit changes of settings by a conditional create on the platform."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.settings.change import (
    SettingsChange,
    decode_change,
    encode_change,
)
from clementineyoke_core.settings.validation import find_violations
from clementineyoke_node.objects.object_api import VERSION_ABSENT
from clementineyoke_node.objects.platform_error import (
    PlatformError,
    VersionConflictError,
)
from clementineyoke_node.settings.settings_error import SettingsError
from clementineyoke_node.settings.settings_replica import change_name

if TYPE_CHECKING:
    from clementineyoke_core.settings.validation import Values
    from clementineyoke_node.objects.object_api import ObjectApi
    from clementineyoke_node.settings.settings_replica import SettingsReplica
    from clementineyoke_wire.bodies import SettingsChangeBody

MAX_CHANGE_BYTES = 900_000
READ_BACK_ATTEMPTS = 5
READ_BACK_DELAY_S = 0.5


class PathDiff(NamedTuple):
    """The values of one path before and after a change."""

    path: str
    before: Values | None
    after: Values | None


class SettingsWriter:
    """Validates, compares and commits an operator's changes."""

    def __init__(
        self, *, objects: ObjectApi, settings: SettingsReplica, author_node: str
    ) -> None:
        self._objects = objects
        self._settings = settings
        self._author_node = author_node

    def diff(self, body: SettingsChangeBody) -> list[PathDiff]:
        """Return the differences; raises ``SettingsError`` if the change is invalid."""
        violations = find_violations(body["edits"])
        if violations:
            raise SettingsError(
                step="validate",
                peer="",
                reason="the settings are refused as a whole",
                details=[str(violation) for violation in violations],
            )
        tree = self._settings.log.tree
        diffs = [
            PathDiff(path, tree.own_values(path), after)
            for path, after in body["edits"].items()
        ]
        return [diff for diff in diffs if diff.before != diff.after]

    async def commit(self, body: SettingsChangeBody, *, wall_ms: int) -> SettingsChange:
        """Commit a change as the next version.

        Raises ``SettingsError`` if it is invalid, conflicts or cannot be stored.
        """
        self.diff(body)
        await self._check_base(body)
        change = SettingsChange(
            version=body["based_on"] + 1,
            nonce=f"{self._author_node}-{secrets.token_hex(8)}",
            author=body["author"],
            note=body["note"],
            at_ms=wall_ms,
            edits=body["edits"],
        )
        await self._create(change)
        self._settings.apply([change], source="writer")
        return change

    async def _check_base(self, body: SettingsChangeBody) -> None:
        try:
            await self._settings.refresh()
        except PlatformError as error:
            raise SettingsError(
                step="read",
                peer=error.peer,
                reason=f"nothing changed: {error.reason}",
            ) from error
        current = self._settings.log.version
        if body["based_on"] != current:
            raise self._make_conflict_error(body["based_on"] + 1, body)

    async def _create(self, change: SettingsChange) -> None:
        name = change_name(change.version)
        encoded = encode_change(change)
        if len(encoded) > MAX_CHANGE_BYTES:
            raise SettingsError(
                step="write",
                peer="platform",
                reason=f"change has {len(encoded)} bytes, limit is {MAX_CHANGE_BYTES}",
            )
        try:
            await self._objects.write(name, encoded, expected_version=VERSION_ABSENT)
        except PlatformError as error:
            await self._resolve_outcome(change, error)

    async def _resolve_outcome(
        self, change: SettingsChange, error: PlatformError
    ) -> None:
        """Determine which change was stored, after a conflict or a lost reply.

        After a lost reply it is unknown whether the create took effect. Reporting a
        failure for a change that did would let it come into force unexpectedly, so the
        stored change is read back and identified by its nonce.
        """
        is_outcome_unknown = not isinstance(error, VersionConflictError)
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                stored = await self._objects.read(change_name(change.version))
            except PlatformError:
                await asyncio.sleep(READ_BACK_DELAY_S)
                continue
            if stored is None:
                break
            winner = decode_change(stored.body)
            if winner.nonce == change.nonce:
                return
            await self._settings.poll()
            raise SettingsError(
                step="write",
                peer=winner.author,
                reason=f"version {winner.version} was taken first: {winner.note}",
                details=sorted(winner.edits),
            ) from error
        state = (
            "may yet come into force" if is_outcome_unknown else "did not take effect"
        )
        raise SettingsError(
            step="write", peer=error.peer, reason=f"{error.reason}; the change {state}"
        ) from error

    def _make_conflict_error(
        self, version: int, body: SettingsChangeBody
    ) -> SettingsError:
        log = self._settings.log
        later = log.changes_after(version - 1) or []
        details = [
            f"version {change.version} by {change.author} changed "
            + ", ".join(sorted(change.edits))
            for change in later
        ]
        own_paths = ", ".join(sorted(body["edits"]))
        details.append(f"yours would change {own_paths}")
        return SettingsError(
            step="compare",
            peer="",
            reason=f"based on {body['based_on']}, in force is {log.version}",
            details=details,
        )
