"""The HTTP interface of a node for operators and peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web
from msgspec import DecodeError, json

from clementineyoke_node.callers.authenticator import matches_any_hash
from clementineyoke_node.metrics_page import metrics_response
from clementineyoke_node.settings.peer_settings import (
    CHANGES_PATH,
    SNAPSHOT_PATH,
    encode_changes,
    encode_snapshot,
)
from clementineyoke_node.settings.settings_error import SettingsError
from clementineyoke_wire.bodies import SettingsChangeBody

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.settings.settings_replica import SettingsReplica
    from clementineyoke_node.settings.settings_writer import SettingsWriter
    from clementineyoke_node.timers.timer_service import TimerService
    from clementineyoke_wire.message_signer import MessageSigner

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

BEARER = "Bearer "
MAX_CHANGES = 256


class AdminApi:
    """Serve status, explanations, settings and drain to operators with a key.

    Health, readiness and metrics need no key; settings for peers are signed.
    """

    def __init__(
        self,
        *,
        key_hashes: list[str],
        signer: MessageSigner,
        settings: SettingsReplica,
        writer: SettingsWriter,
        decisions: DecisionRing,
        metrics: Metrics,
        timers: TimerService,
        status: Callable[[], dict[str, Any]],
        is_ready: Callable[[], bool],
        begin_drain: Callable[[], None],
    ) -> None:
        self._key_hashes = key_hashes
        self._signer = signer
        self._settings = settings
        self._writer = writer
        self._decisions = decisions
        self._metrics = metrics
        self._timers = timers
        self._status = status
        self._is_ready = is_ready
        self._begin_drain = begin_drain

    def application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get("/health", self._health)
        app.router.add_get("/ready", self._ready)
        app.router.add_get("/metrics", self._render_metrics)
        app.router.add_get(CHANGES_PATH, self._peer_changes)
        app.router.add_get(SNAPSHOT_PATH, self._peer_snapshot)
        app.router.add_get("/admin/status", self._require_key(self._get_status))
        app.router.add_get("/admin/explain", self._require_key(self._explain))
        app.router.add_get("/admin/settings", self._require_key(self._get_settings))
        app.router.add_get("/admin/settings/history", self._require_key(self._history))
        app.router.add_post("/admin/settings", self._require_key(self._change_settings))
        app.router.add_post("/admin/drain", self._require_key(self._drain))
        return app

    def _require_key(self, handler: Handler) -> Handler:
        async def authorized(request: web.Request) -> web.StreamResponse:
            header = request.headers.get("Authorization", "")
            key = header.removeprefix(BEARER)
            if not header.startswith(BEARER) or not matches_any_hash(
                key, self._key_hashes
            ):
                return _error_response(401, "authenticate", "the operator key is wrong")
            return await handler(request)

        return authorized

    async def _health(self, request: web.Request) -> web.StreamResponse:
        return web.json_response({"alive": True})

    async def _ready(self, request: web.Request) -> web.StreamResponse:
        ready = self._is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _render_metrics(self, request: web.Request) -> web.StreamResponse:
        return metrics_response(request, self._metrics)

    async def _peer_changes(self, request: web.Request) -> web.StreamResponse:
        after = request.query.get("after", "")
        if not after.isdecimal():
            return _error_response(400, "read_query", "after must be a whole number")
        changes = self._settings.log.changes_after(int(after))
        if changes is None:
            return _error_response(
                410, "find_changes", "these changes are no longer kept"
            )
        encoded = encode_changes(changes[:MAX_CHANGES], signer=self._signer)
        return web.Response(body=encoded)

    async def _peer_snapshot(self, request: web.Request) -> web.StreamResponse:
        log = self._settings.log
        if log.version == 0:
            return _error_response(
                410, "find_snapshot", "no settings are in force here yet"
            )
        return web.Response(body=encode_snapshot(log.snapshot(), signer=self._signer))

    async def _get_status(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(self._status())

    async def _explain(self, request: web.Request) -> web.StreamResponse:
        decisions = self._decisions.find(request.query.get("id", ""))
        return web.json_response({"decisions": decisions})

    async def _get_settings(self, request: web.Request) -> web.StreamResponse:
        path = request.query.get("path", "/")
        log = self._settings.log
        fields = {
            name: {"value": resolved.value, "source": resolved.source}
            for name, resolved in log.tree.resolve(path).items()
        }
        body = {
            "version": log.version,
            "path": path,
            "own": log.tree.own_values(path),
            "fields": fields,
            "paths": log.tree.paths() if "paths" in request.query else [],
        }
        return web.json_response(body)

    async def _history(self, request: web.Request) -> web.StreamResponse:
        log = self._settings.log
        versions = range(max(0, log.version - MAX_CHANGES), log.version)
        changes = log.changes_after(versions.start) or []
        return web.Response(body=json.encode(changes), content_type="application/json")

    async def _change_settings(self, request: web.Request) -> web.StreamResponse:
        try:
            body = json.decode(await request.read(), type=SettingsChangeBody)
        except DecodeError as error:
            return _error_response(400, "parse", str(error))
        try:
            diffs = [diff._asdict() for diff in self._writer.diff(body)]
            if body["dry_run"]:
                return web.json_response({"version": None, "diffs": diffs})
            change = await asyncio.shield(
                self._writer.commit(body, wall_ms=self._timers.wall_ms())
            )
        except SettingsError as error:
            return _error_response(409, error.step, error.reason, error.details)
        return web.json_response({"version": change.version, "diffs": diffs})

    async def _drain(self, request: web.Request) -> web.StreamResponse:
        self._begin_drain()
        return web.json_response({"draining": True})


def _error_response(
    status: int, step: str, reason: str, details: list[str] | None = None
) -> web.Response:
    body = {"step": step, "reason": reason, "details": details or []}
    return web.json_response(body, status=status)
