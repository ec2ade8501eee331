"""Measures the latency that a node adds to a call, and requests per CPU core."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from clementineyoke_cli.settings_file import read_settings_file
from clementineyoke_standins.bench.bench_case import BenchCase
from clementineyoke_standins.demo.demo_scenario import (
    make_admin_client,
    make_settings_change,
)
from clementineyoke_standins.demo.deployment import LEAGUE
from clementineyoke_standins.demo.fleet_processes import FleetProcesses
from clementineyoke_standins.demo.layout import admin_url, caller_url, runner_url
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import HostBody

STEADY_RATE_PER_S = 50
STEADY_CALLS = 400
BURST_CALLS = 3_000
BURST_WORKERS = 24
P95 = 0.95
TEAM = LEAGUE.teams[0]


class Endpoint(NamedTuple):
    """URL and headers of calls to the engine, directly or through a node."""

    url: str
    headers: dict[str, str]


def measure_overhead(bounds: dict[str, float], *, seed: int) -> list[BenchCase]:
    """Return the p95 ratio and difference to direct calls, and requests per core."""
    return asyncio.run(_measure(bounds, seed))


async def _measure(bounds: dict[str, float], seed: int) -> list[BenchCase]:
    folder = Path("build") / "overhead"
    async with FleetProcesses(deployment=LEAGUE, folder=folder) as fleet:
        node = fleet.nodes[0]
        await fleet.start_node(node)
        await fleet.wait_until_ok(f"{admin_url(node)}/health")
        edits = read_settings_file(LEAGUE.settings_file)
        unlimited = {"rate_per_s": 100_000, "burst_requests": 100_000}
        for path, values in edits.items():
            if values is not None and path.count("/") == 2:
                edits[path] = {**values, **unlimited}
        await make_admin_client(admin_url(node)).change_settings(
            make_settings_change(edits)
        )
        await fleet.wait_until_ok(f"{admin_url(node)}/ready")
        return await _compare(fleet, node, bounds, seed)


async def _compare(
    fleet: FleetProcesses, node: HostBody, bounds: dict[str, float], seed: int
) -> list[BenchCase]:
    key = f"{LEAGUE.group}/{TEAM}/demo-key-{TEAM}"
    direct = Endpoint(runner_url(fleet.runners[0]), {headers.REQUEST_ID: "direct"})
    routed = Endpoint(caller_url(node), {"Authorization": f"Bearer {key}"})
    async with aiohttp.ClientSession() as session:
        for endpoint in (direct, routed):
            # Warm-up, not measured.
            await _measure_p95_ms(session, endpoint)
        direct_ms = await _measure_p95_ms(session, direct)
        routed_ms = await _measure_p95_ms(session, routed)
        before_s = fleet.cpu_s(node["host"])
        started_s = time.monotonic()
        await _send_burst(session, routed)
        elapsed_s = time.monotonic() - started_s
        cpu_s = fleet.cpu_s(node["host"]) - before_s
    metrics = (
        ("overhead.ratio_p95", "p95 through a node over direct", routed_ms / direct_ms),
        ("overhead.added_ms_p95", "milliseconds", routed_ms - direct_ms),
        ("overhead.cpu_ms_per_request", "ms of a core", cpu_s / BURST_CALLS * 1000),
    )
    scale = f"1 node, {STEADY_RATE_PER_S}/s; burst {BURST_CALLS / elapsed_s:.0f}/s"
    cases = [
        BenchCase(name, metric, value, None, bounds.get(name), False, seed, scale)
        for name, metric, value in metrics
    ]
    name = "overhead.requests_per_core_s"
    per_core = BURST_CALLS / cpu_s
    metric = "short streamed requests a second of a node's core"
    bound = bounds.get(name)
    cases.append(BenchCase(name, metric, per_core, None, bound, True, seed, scale))
    return cases


async def _measure_p95_ms(session: aiohttp.ClientSession, endpoint: Endpoint) -> float:
    """Return the p95 latency of calls at a constant moderate rate, in milliseconds."""
    tasks = []
    for number in range(STEADY_CALLS):
        tasks.append(asyncio.create_task(_call(session, endpoint, number)))
        await asyncio.sleep(1 / STEADY_RATE_PER_S)
    elapsed_ms = sorted(await asyncio.gather(*tasks))
    return elapsed_ms[int(P95 * len(elapsed_ms))]


async def _send_burst(session: aiohttp.ClientSession, endpoint: Endpoint) -> None:
    numbers = iter(range(BURST_CALLS))

    async def send_calls() -> None:
        for number in numbers:
            await _call(session, endpoint, number)

    await asyncio.gather(*(send_calls() for _ in range(BURST_WORKERS)))


async def _call(
    session: aiohttp.ClientSession, endpoint: Endpoint, number: int
) -> float:
    body: dict[str, Any] = {
        "model": LEAGUE.model,
        "stream": True,
        "max_tokens": 2,
        "user": f"chat-{number % 50}",
        "messages": [{"role": "user", "content": "flag"}],
    }
    request_headers = {**endpoint.headers, headers.CHAT_ID: f"chat-{number % 50}"}
    started_s = time.monotonic()
    url = f"{endpoint.url}/v1/chat/completions"
    async with session.post(
        url, data=json.dumps(body), headers=request_headers
    ) as response:
        text = await response.read()
    if b"[DONE]" not in text:
        sys.exit(f"overhead benchmark: stream ended without [DONE]: {text!r}")
    return (time.monotonic() - started_s) * 1000
