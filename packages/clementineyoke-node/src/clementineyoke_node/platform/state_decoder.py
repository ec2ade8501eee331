"""Decodes the operator's object to the desired state."""

from __future__ import annotations

from typing import Any

import msgspec

from clementineyoke_core.edge.call_kind import CallKind
from clementineyoke_core.edge.desired_state import (
    CallerLimits,
    DesiredState,
    PoolLimits,
    Team,
)
from clementineyoke_core.edge.route import Route, WeightedPool
from clementineyoke_node.platform.format_error import FormatError

MS_PER_S = 1000.0
_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}


def decode_state(content: bytes, *, revision: int) -> DesiredState:
    """Decode the operator's object; raises ``FormatError``."""
    try:
        spec = msgspec.json.decode(content)
        return DesiredState(
            revision=revision,
            version=int(spec["version"]),
            routes=tuple(_decode_route(route) for route in spec.get("routes", [])),
            teams=tuple(_decode_team(team) for team in spec.get("tenants", [])),
            # With an empty list no key is valid; without a list none is asked for.
            needs_key=spec.get("tenants") is not None,
            limits=_decode_limits(spec.get("limits") or {}),
            pools=tuple(_decode_pool(entry) for entry in spec.get("services", [])),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise FormatError(
            step="decode_state", peer="store", reason=repr(error)
        ) from error


def _decode_route(route: dict[str, Any]) -> Route:
    return Route(
        name=_require_text(route["name"]),
        hostname=_require_text(route["hostname"]),
        path_prefix=_require_text(route["pathPrefix"]),
        kind=_KINDS.get(route["kind"], CallKind.NON_IDEMPOTENT),
        pools=_decode_pools(route),
        timeout_ms=float(route["timeoutMs"]),
        objective_ms=float(route.get("targetLatencyMs") or route["timeoutMs"]),
        pause_objective_ms=float(route.get("gapAimMs") or 0),
        priority=int(route.get("priority") or 0),
        max_runners=max(1, int(route.get("maxAttempts") or 1)),
        is_public=bool(route.get("public")),
        is_resumable=bool(route.get("resumable")),
        # "sticky" means only that calls carry a prompt; the router chooses the runner.
        has_prompt=bool(route.get("sticky")),
    )


def _decode_pool(service: dict[str, Any]) -> PoolLimits:
    return PoolLimits(
        pool=_require_text(service["name"]),
        cold_ms=MS_PER_S * float(service.get("coldStartS") or 0),
        cold_calls_per_s=float(service.get("coldPerS") or 0),
        memory_tokens=int((service.get("engine") or {}).get("kvCapacityTokens") or 0),
    )


def _decode_pools(route: dict[str, Any]) -> tuple[WeightedPool, ...]:
    if route.get("weightedServices"):
        return tuple(
            WeightedPool(_require_text(entry["service"]), float(entry["weight"]))
            for entry in route["weightedServices"]
        )
    return (WeightedPool(_require_text(route["service"]), 1.0),)


def _decode_team(team: dict[str, Any]) -> Team:
    priority = team.get("priority")
    return Team(
        name=_require_text(team["name"]),
        keys=tuple(map(_require_text, team.get("apiKeys", []))),
        priority=None if priority is None else int(priority),
    )


def _require_text(value: Any) -> str:
    if not isinstance(value, str):
        message = f"{value!r} is no text"
        raise TypeError(message)
    return value


def _decode_limits(limits: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(limits.get("maxHeaderBytes") or defaults.max_header_bytes),
        max_body_bytes=int(limits.get("maxBodyBytes") or defaults.max_body_bytes),
        header_timeout_ms=float(
            limits.get("headerTimeoutMs") or defaults.header_timeout_ms
        ),
        idle_timeout_ms=float(limits.get("idleTimeoutMs") or defaults.idle_timeout_ms),
    )
