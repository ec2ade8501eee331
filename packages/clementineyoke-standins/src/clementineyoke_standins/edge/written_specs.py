"""What the operator and the runners write into the store, in the platform's words."""

from __future__ import annotations

from typing import Any

SLOTS = 8
TIMEOUT_MS = 3_000
OBJECTIVE_MS = 500
PAUSE_OBJECTIVE_MS = 400


def state_spec(
    *,
    version: int,
    routes: list[dict[str, Any]],
    team: str,
    keys: list[str],
    cold_s: float = 0.0,
    cold_calls_per_s: float = 0.0,
) -> dict[str, Any]:
    """Return a desired state with one team; runners are cold after their start."""
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
            }
            for pool in pools
        ],
        "limits": {},
        "tenants": [{"name": team, "apiKeys": keys}],
    }


def route_spec(
    *, hostname: str, kind: str, pool: str, most_runners: int, is_resumable: bool
) -> dict[str, Any]:
    """Return a route that is named after its kind and lies below that name."""
    return {
        "name": kind,
        "hostname": hostname,
        "pathPrefix": f"/{kind}/",
        "kind": kind,
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": OBJECTIVE_MS,
        "priority": 1,
        "service": pool,
        "maxAttempts": most_runners,
        "public": False,
        "sticky": False,
        "resumable": is_resumable,
        "gapAimMs": PAUSE_OBJECTIVE_MS,
    }


def runner_spec(
    *,
    pool: str,
    address: str,
    zone: str,
    state: str,
    born_ms: int | None = None,
    cold_ms: int = 0,
) -> dict[str, Any]:
    """Return a runner's entry; most runners do not say when they were born."""
    born = {} if born_ms is None else {"born": born_ms}
    return {
        **born,
        "service": pool,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": SLOTS,
        "state": state,
        "coldRemainingMs": cold_ms,
        "seq": 1,
    }
