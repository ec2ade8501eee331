"""Authentication of callers by API key, and the limits of their teams."""

from __future__ import annotations

import hmac
import re
from hashlib import sha256
from typing import TYPE_CHECKING

from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.callers.caller_request import CallerRequest
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from aiohttp import web

    from clementineyoke_core.settings.tree import SettingsTree
    from clementineyoke_node.settings.settings_replica import SettingsReplica

STEP = "authenticate"
_KEY_PATTERN = re.compile(
    r"Bearer ([a-z0-9._-]{1,64})/([a-z0-9._-]{1,64})/([\x21-\x7e]{8,256})"
)
_NUMBER_PATTERN = re.compile(r"[0-9]{1,7}")


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hex, as stored in the settings."""
    return sha256(key.encode()).hexdigest()


def matches_any_hash(key: str, hashes: list[str]) -> bool:
    """Return whether a key's hash is listed; the comparison takes constant time."""
    key_hash = hash_key(key)
    matches = [hmac.compare_digest(key_hash, known_hash) for known_hash in hashes]
    return any(matches)


class Authenticator:
    """Build a caller's request from its headers; keys are ``group/team/secret``."""

    def __init__(self, *, settings: SettingsReplica) -> None:
        self._settings = settings

    def identify(
        self, request: web.Request, *, request_id: str, now_ms: float
    ) -> CallerRequest:
        """Return the caller's request; raises ``RequestError`` for an invalid key."""
        team_path = self._find_team(request.headers.get("Authorization", ""))
        return self._apply_limits(
            request,
            CallerRequest(request_id, team_path, now_ms, deadline_ms=now_ms),
            settings_path=team_path,
        )

    def authorize_pool(
        self, request: web.Request, caller: CallerRequest, *, field: str, pool: str
    ) -> CallerRequest:
        """Return the request with the team's limits for a model or service.

        Raises ``RequestError`` unless the team may call the model or service.
        """
        team_path = caller.team_path
        if pool not in self._settings.log.tree.value(team_path, field):
            raise RequestError(
                status=403,
                outcome=Outcome.NOT_RUN,
                step="authorize",
                reason=f"the team may not call {pool!r}; its {field} do not hold it",
            )
        return self._apply_limits(request, caller, settings_path=f"{team_path}/{pool}")

    def _apply_limits(
        self, request: web.Request, caller: CallerRequest, *, settings_path: str
    ) -> CallerRequest:
        tree = self._settings.log.tree
        max_deadline_ms = tree.value(settings_path, "deadline_ms")
        requested_ms = _parse_number(request, headers.DEADLINE_MS, max_deadline_ms)
        default_priority = tree.value(settings_path, "priority")
        priority = _parse_number(request, headers.PRIORITY, default_priority)
        return caller._replace(
            deadline_ms=caller.received_ms + min(requested_ms, max_deadline_ms),
            priority=max(priority, default_priority),
            queue_ms=tree.value(settings_path, "queue_ms"),
        )

    def _find_team(self, authorization: str) -> str:
        match = _KEY_PATTERN.fullmatch(authorization)
        if match is None:
            raise _unauthorized("send Authorization: Bearer group/team/secret")
        group, team, secret = match.groups()
        team_path = f"/{group}/{team}"
        tree: SettingsTree = self._settings.log.tree
        if tree.own_values(team_path) is None:
            raise _unauthorized("unknown team or wrong key")
        if not matches_any_hash(secret, tree.value(team_path, "key_hashes")):
            raise _unauthorized("unknown team or wrong key")
        return team_path


def _unauthorized(reason: str) -> RequestError:
    return RequestError(status=401, outcome=Outcome.NOT_RUN, step=STEP, reason=reason)


def _parse_number(request: web.Request, name: str, default: int) -> int:
    text = request.headers.get(name)
    if text is None:
        return default
    if not _NUMBER_PATTERN.fullmatch(text):
        raise RequestError(
            status=400,
            outcome=Outcome.NOT_RUN,
            step="read_headers",
            reason=f"{name} must be a whole number of at most 7 digits",
        )
    return int(text)
