"""``make profile``: break down a node's CPU time per request by module."""

from __future__ import annotations

import asyncio
import cProfile
import pstats
from collections import defaultdict
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
import fire
import msgspec
from aiohttp import web

from clementineyoke_node.config.edge_config import EdgeConfig
from clementineyoke_node.edge.edge_service import EdgeService
from clementineyoke_node.platform import names
from clementineyoke_standins.edge.edge_runner import EdgeRunner, ScriptedResponse
from clementineyoke_standins.edge.edge_store import EdgeStore
from clementineyoke_standins.edge.written_specs import (
    route_spec,
    runner_spec,
    state_spec,
)
from clementineyoke_standins.soak.loopback import free_ports

LOCAL = "127.0.0.1"
NODE = "127.0.0.2"
HOSTNAME = "shop.example"
POOL = "pool"
KEY = "key-one"
TEAM = "team-one"
RUNNERS = 4
STREAM_PATH = "/streaming/"
PLAIN_PATH = "/non_idempotent/"
PROMPT = "5c1e07a2:512,91bd3f06:10000,e4402b7d:1300"
PACKAGE_PREFIX = "clementineyoke_"
MAX_ROWS = 14


class ProfiledNode:
    """Runs one node with fake runners and a fake store, all in this process."""

    def __init__(self) -> None:
        self._stack = AsyncExitStack()
        *self._node_ports, self._store_port = free_ports(6)

    async def __aenter__(self) -> ProfiledNode:
        """Start the store, the runners and the node."""
        store = EdgeStore()
        server = web.AppRunner(store.application(), shutdown_timeout=0.1)
        await server.setup()
        self._stack.push_async_callback(server.cleanup)
        await web.TCPSite(server, LOCAL, self._store_port).start()
        await self._fill_store(store)
        node = EdgeService(config=self._config())
        await self._stack.enter_async_context(node)
        await node.io.view.ready.wait()
        self._session = await self._stack.enter_async_context(aiohttp.ClientSession())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the node, the runners and the store."""
        await self._stack.aclose()

    async def call(self, path: str, number: int) -> None:
        """Make one call and read the complete response."""
        headers = {
            "Host": HOSTNAME,
            names.CALL_ID: f"call-{number}",
            names.REMAINING_TIME_MS: "5000",
            names.AUTHORIZATION: f"{names.KEY_SCHEME}{KEY}",
        }
        if path == STREAM_PATH:
            headers[names.PROMPT_PARTS] = PROMPT
        url = f"http://{NODE}:{self._node_ports[0]}{path}x"
        async with self._session.post(url, headers=headers) as response:
            await response.read()

    async def _fill_store(self, store: EdgeStore) -> None:
        routes = [
            route_spec(
                hostname=HOSTNAME,
                kind=path.strip("/"),
                pool=POOL,
                max_runners=1,
                is_resumable=False,
            )
            for path in (STREAM_PATH, PLAIN_PATH)
        ]
        state = state_spec(version=1, routes=routes, team=TEAM, keys=[KEY])
        await store.put(names.STATE_KIND, names.STATE_NAME, state)
        for number in range(RUNNERS):
            runner = EdgeRunner(runner_id=f"runner-{number}")
            runner.responses_by_prefix = {STREAM_PATH: ScriptedResponse.STREAM}
            await self._stack.enter_async_context(runner)
            spec = runner_spec(
                pool=POOL, address=f"{LOCAL}:{runner.port}", zone="zone", state="ready"
            )
            await store.put(names.RUNNERS_KIND, runner.runner_id, spec)

    def _config(self) -> EdgeConfig:
        front, ready, directory, control, peer = self._node_ports
        document: dict[str, Any] = {
            "node_id": "node-0",
            "address": NODE,
            "front": f"{NODE}:{front}",
            "ready": f"{NODE}:{ready}",
            "directory": f"{NODE}:{directory}",
            "control": f"{NODE}:{control}",
            "peer_port": peer,
            "availability_zone": "zone",
            "region": "region",
            "store": f"{LOCAL}:{self._store_port}",
            "seeds": [],
            "peer_keys": ["profile"],
            "heartbeat_ms": 1_200,
            "retry_ratio": 0.2,
            "retry_allowance": 50,
            "retry_window_s": 10,
            "cap_factor": 2,
            "apply_within_ms": 2_000,
            "drain_within_ms": 2_000,
            "evacuate_within_ms": 5_000,
            "stop_deadline_s": 8,
            "longest_keep_s": 5,
        }
        return msgspec.convert(document, EdgeConfig)


def run(calls: int = 500, *, path: str = STREAM_PATH) -> None:
    """Make calls one after the other and print the CPU time of each module.

    The caller and the fakes run in the same process and are listed separately. Only
    the shares are meaningful, since the profiler makes every call slower.
    """
    profiler = cProfile.Profile()
    asyncio.run(_measure(profiler, calls, path))
    _report(pstats.Stats(profiler), calls)


async def _measure(profiler: cProfile.Profile, calls: int, path: str) -> None:
    async with ProfiledNode() as node:
        await node.call(path, 0)
        profiler.enable()
        for number in range(1, calls + 1):
            await node.call(path, number)
        profiler.disable()


def _report(stats: pstats.Stats, calls: int) -> None:
    cpu_by_component_s: dict[str, float] = defaultdict(float)
    for (file, _, _), (_, _, cpu_s, _, _) in stats.stats.items():  # type: ignore[attr-defined]
        cpu_by_component_s[_component_of(file)] += cpu_s
    total_s = sum(cpu_by_component_s.values())
    for component, cpu_s in sorted(
        cpu_by_component_s.items(), key=lambda item: -item[1]
    )[:MAX_ROWS]:
        print(f"{component:50} {cpu_s / total_s:6.1%} {1e6 * cpu_s / calls:8.0f} us")


def _component_of(file: str) -> str:
    """Return the project module or the library that a file belongs to."""
    normalized = file.replace("\\", "/")
    if PACKAGE_PREFIX in normalized:
        return normalized[normalized.rindex(PACKAGE_PREFIX) :]
    if "site-packages/" in normalized:
        return normalized.split("site-packages/")[1].split("/")[0]
    return "interpreter and standard library"


if __name__ == "__main__":
    fire.Fire(run)
