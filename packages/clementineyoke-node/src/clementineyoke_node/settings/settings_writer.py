"""Commit a change of settings: one conditional create on the platform."""

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
from clementineyoke_node.objects.object_api import NO_OBJECT
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

LARGEST_CHANGE_BYTES = 900_000
READ_BACK_TRIES = 5
READ_BACK_PAUSE_S = 0.5


class PathDiff(NamedTuple):
    """What a change does to one path."""

    path: str
    before: Values | None
    after: Values | None


class SettingsWriter:
    """Check, compare and commit what an operator wants."""

    def __init__(
        self, *, objects: ObjectApi, settings: SettingsReplica, author_node: str
    ) -> None:
        self._objects = objects
        self._keeper = settings
        self._author_node = author_node

    def diff(self, body: SettingsChangeBody) -> list[PathDiff]:
        """Return what would change; raises ``SettingsError`` if it is not valid."""
        faults = find_violations(body["edits"])
        if faults:
            raise SettingsError(
                step="validate",
                peer="",
                reason="the settings are refused as a whole",
                details=[str(fault) for fault in faults],
            )
        tree = self._keeper.log.tree
        diffs = [
            PathDiff(path, tree.own_values(path), after)
            for path, after in body["edits"].items()
        ]
        return [diff for diff in diffs if diff.before != diff.after]

    async def commit(self, body: SettingsChangeBody, *, wall_ms: int) -> SettingsChange:
        """Make a change the next version; raises ``SettingsError`` on a conflict."""
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
        self._keeper.take([change], source="writer")
        return change

    async def _check_base(self, body: SettingsChangeBody) -> None:
        try:
            await self._keeper.refresh()
        except PlatformError as error:
            raise SettingsError(
                step="read", peer=error.peer, reason=f"nothing changed: {error.reason}"
            ) from error
        current = self._keeper.log.version
        if body["based_on"] != current:
            raise self._conflict(body["based_on"] + 1, body)

    async def _create(self, change: SettingsChange) -> None:
        name = change_name(change.version)
        encoded = encode_change(change)
        if len(encoded) > LARGEST_CHANGE_BYTES:
            raise SettingsError(
                step="write",
                peer="platform",
                reason=f"a change holds at most {LARGEST_CHANGE_BYTES} bytes",
            )
        try:
            await self._objects.write(name, encoded, expected_version=NO_OBJECT)
        except PlatformError as error:
            await self._settle(change, error)

    async def _settle(self, change: SettingsChange, error: PlatformError) -> None:
        """Find out whose change stands, after a conflict or a lost reply.

        A lost reply leaves open whether the create took effect. Reporting failure for
        a change that did would be seen as a change "out of nowhere": the nonce tells.
        """
        lost = not isinstance(error, VersionConflictError)
        for _ in range(READ_BACK_TRIES):
            try:
                stored = await self._objects.read(change_name(change.version))
            except PlatformError:
                await asyncio.sleep(READ_BACK_PAUSE_S)
                continue
            if stored is None:
                break
            winner = decode_change(stored.body)
            if winner.nonce == change.nonce:
                return
            await self._keeper.poll()
            raise SettingsError(
                step="write",
                peer=winner.author,
                reason=f"version {winner.version} was taken first: {winner.note}",
                details=sorted(winner.edits),
            ) from error
        state = "may yet come into force" if lost else "did not take effect"
        raise SettingsError(
            step="write", peer=error.peer, reason=f"{error.reason}; the change {state}"
        ) from error

    def _conflict(self, version: int, body: SettingsChangeBody) -> SettingsError:
        log = self._keeper.log
        later = log.changes_after(version - 1) or []
        details = [
            f"version {change.version} by {change.author} changed "
            + ", ".join(sorted(change.edits))
            for change in later
        ]
        yours = ", ".join(sorted(body["edits"]))
        details.append(f"yours would change {yours}")
        return SettingsError(
            step="compare",
            peer="",
            reason=f"based on {body['based_on']}, in force is {log.version}",
            details=details,
        )
