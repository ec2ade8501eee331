"""Who calls: the team behind an API key, and its limits."""

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
_KEY = re.compile(
    r"Bearer ([a-z0-9._-]{1,64})/([a-z0-9._-]{1,64})/([\x21-\x7e]{8,256})"
)
_NUMBER = re.compile(r"[0-9]{1,7}")


def hash_key(key: str) -> str:
    """Return what settings hold of a key: its SHA-256 in hex."""
    return sha256(key.encode()).hexdigest()


def fits_any(key: str, hashes: list[str]) -> bool:
    """Tell whether a key's hash is listed, in time that does not depend on it."""
    wanted = hash_key(key)
    fits = [hmac.compare_digest(wanted, known) for known in hashes]
    return any(fits)


class Authenticator:
    """Turn headers into a caller's request; keys look like ``group/team/secret``."""

    def __init__(self, *, keeper: SettingsReplica) -> None:
        self._keeper = keeper

    def identify(
        self, request: web.Request, *, request_id: str, now_ms: float
    ) -> CallerRequest:
        """Return the caller's request; raises ``RequestError`` if it has no leave."""
        team_path = self._find_team(request.headers.get("Authorization", ""))
        return self._bound(
            request,
            CallerRequest(request_id, team_path, now_ms, deadline_ms=now_ms),
            settings_path=team_path,
        )

    def admit_to_pool(
        self, request: web.Request, caller: CallerRequest, *, field: str, pool: str
    ) -> CallerRequest:
        """Return the request with the bounds that the team has at a model or service.

        Raises ``RequestError`` unless the team may call it.
        """
        team_path = caller.team_path
        if pool not in self._keeper.log.tree.value(team_path, field):
            raise RequestError(
                status=403,
                outcome=Outcome.NOT_RUN,
                step="authorize",
                reason=f"the team may not call {pool!r}; its {field} do not hold it",
            )
        return self._bound(request, caller, settings_path=f"{team_path}/{pool}")

    def _bound(
        self, request: web.Request, caller: CallerRequest, *, settings_path: str
    ) -> CallerRequest:
        tree = self._keeper.log.tree
        longest_ms = tree.value(settings_path, "deadline_ms")
        wanted_ms = _read_number(request, headers.DEADLINE_MS, longest_ms)
        best = tree.value(settings_path, "priority")
        priority = _read_number(request, headers.PRIORITY, best)
        return caller._replace(
            deadline_ms=caller.began_ms + min(wanted_ms, longest_ms),
            priority=max(priority, best),
            queue_ms=tree.value(settings_path, "queue_ms"),
        )

    def _find_team(self, authorization: str) -> str:
        match = _KEY.fullmatch(authorization)
        if match is None:
            raise _no_leave("send Authorization: Bearer group/team/secret")
        group, team, secret = match.groups()
        team_path = f"/{group}/{team}"
        tree: SettingsTree = self._keeper.log.tree
        if tree.own_values(team_path) is None:
            raise _no_leave("unknown team or wrong key")
        if not fits_any(secret, tree.value(team_path, "key_hashes")):
            raise _no_leave("unknown team or wrong key")
        return team_path


def _no_leave(reason: str) -> RequestError:
    return RequestError(status=401, outcome=Outcome.NOT_RUN, step=STEP, reason=reason)


def _read_number(request: web.Request, name: str, default: int) -> int:
    text = request.headers.get(name)
    if text is None:
        return default
    if not _NUMBER.fullmatch(text):
        raise RequestError(
            status=400,
            outcome=Outcome.NOT_RUN,
            step="read_headers",
            reason=f"{name} must be a whole number of at most 7 digits",
        )
    return int(text)
