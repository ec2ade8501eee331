"""Store objects of the operator and the runners, in the platform's schema."""

from __future__ import annotations

from typing import Any

SLOTS = 8
TIMEOUT_MS = 3_000
TARGET_LATENCY_MS = 500
MAX_EVENT_GAP_MS = 400


def state_spec(
    *,
    version: int,
    routes: list[dict[str, Any]],
    team: str,
    keys: list[str],
    cold_s: float = 0.0,
    cold_calls_per_s: float = 0.0,
    memory_tokens: int = 0,
) -> dict[str, Any]:
    """Return a desired state with one team.

    Runners are cold for ``cold_s`` seconds after their start; 0 means never. They are
    engines if ``memory_tokens`` is above 0.
    """
    engine = {"engine": {"kvCapacityTokens": memory_tokens}} if memory_tokens else {}
    pools = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": pool,
                "healthCheck": "/healthz",
                "coldStartS": cold_s,
                "coldPerS": cold_calls_per_s,
                **engine,
            }
            for pool in pools
        ],
        "limits": {},
        "tenants": [{"name": team, "apiKeys": keys}],
    }


def route_spec(
    *, hostname: str, kind: str, pool: str, max_runners: int, is_resumable: bool
) -> dict[str, Any]:
    """Return a route whose name and path prefix are its kind."""
    return {
        "name": kind,
        "hostname": hostname,
        "pathPrefix": f"/{kind}/",
        "kind": kind,
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": TARGET_LATENCY_MS,
        "priority": 1,
        "service": pool,
        "maxAttempts": max_runners,
        "public": False,
        "sticky": False,
        "resumable": is_resumable,
        "gapAimMs": MAX_EVENT_GAP_MS,
    }


def runner_spec(
    *,
    pool: str,
    address: str,
    zone: str,
    state: str,
    born_ms: int | None = None,
    cold_ms: int = 0,
    version: str = "v1",
    slots: int = SLOTS,
) -> dict[str, Any]:
    """Return a runner's entry, with its start time in ms only if one is given."""
    born = {} if born_ms is None else {"born": born_ms}
    return {
        **born,
        "service": pool,
        "address": address,
        "zone": zone,
        "version": version,
        "slots": slots,
        "state": state,
        "coldRemainingMs": cold_ms,
        "seq": 1,
    }
