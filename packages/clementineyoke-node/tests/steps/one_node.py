"""A node with simulated runners and platform on loopback, in the test's event loop."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import aiohttp
from aiohttp import web

from clementineyoke_node.callers.authenticator import hash_key
from clementineyoke_node.config.node_config import parse_node_config
from clementineyoke_node.node_service import NodeService
from clementineyoke_standins.platform.platform_server import PlatformServer
from clementineyoke_standins.runners.model_engine import ModelEngine
from clementineyoke_standins.runners.plain_service import PlainService
from clementineyoke_standins.soak.loopback import free_ports

HOST = "127.0.0.1"
MODEL = "model"
SERVICE = "scores"
TEAM_KEY = "Bearer league/finals/secret-of-finals"
OPERATOR_KEY = "operator-secret"
SETTINGS = {
    "/": {"deadline_ms": 5_000},
    "/league": {"models": [MODEL], "services": [SERVICE], "rate_per_s": 1000},
    "/league/other": {"key_hashes": [hash_key("secret-of-other")]},
    f"/league/other/{MODEL}": {"deadline_ms": 300},
    "/league/finals": {"key_hashes": [hash_key("secret-of-finals")]},
}


class OneNode:
    """Own a node, its platform and its runners."""

    def __init__(self, *, engines=2, services=1, **config):
        self.platform = PlatformServer()
        self.engines = [
            ModelEngine(runner_id=f"engine-{n}", slots=16) for n in range(engines)
        ]
        self.services = [PlainService(runner_id=f"s-{n}") for n in range(services)]
        self._config = config
        self._stack = AsyncExitStack()
        self.caller_url = self.admin_url = ""

    async def __aenter__(self):
        platform_port = await self._serve(self.platform.application())
        await self._register_runners(self.engines, "engine", MODEL)
        await self._register_runners(self.services, "service", SERVICE)
        caller_port, peer_port = free_ports(2)
        document = {
            "node_id": "node-1",
            "address": HOST,
            "caller_port": caller_port,
            "peer_port": peer_port,
            "availability_zone": "zone",
            "region": "region",
            "platform_url": f"http://{HOST}:{platform_port}",
            "peer_keys": ["peer"],
            "admin_key_hashes": [hash_key(OPERATOR_KEY)],
            "stop_linger_ms": 100,
            **self._config,
        }
        await self._register_host(
            "node-1", "entry", caller_port, "", peer_port=peer_port
        )
        self.caller_url = f"http://{HOST}:{caller_port}"
        self.admin_url = f"http://{HOST}:{peer_port}"
        self.node = NodeService(config=parse_node_config(document, source="test"))
        await self.node.start()
        connector = aiohttp.TCPConnector(force_close=True)
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        await self._apply_settings()
        return self

    async def __aexit__(self, *exc_info):
        if self.node is not None:
            await self.node.stop()
        await self._stack.aclose()

    async def stop_node(self):
        node, self.node = self.node, None
        await node.stop()

    async def chat(self, *, tokens=4, stream=True, **headers):
        body = {
            "model": MODEL,
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "hello"}],
        }
        return await self.send("POST", "/v1/chat/completions", json=body, **headers)

    async def post(self, content, *, method="POST", key=None, **headers):
        if key is not None:
            headers["Idempotency-Key"] = key
        path = f"/v1/services/{SERVICE}/post"
        return await self.send(method, path, data=content, **headers)

    async def send(self, method, path, *, json=None, data=None, **headers):
        """Return status, headers and body; raises if the body is truncated."""
        request_headers = {"Authorization": TEAM_KEY}
        request_headers.update({k.replace("_", "-"): v for k, v in headers.items()})
        async with self.session.request(
            method,
            self.caller_url + path,
            json=json,
            data=data,
            headers=request_headers,
        ) as response:
            return response.status, response.headers, await response.read()

    async def _serve(self, app):
        runner = web.AppRunner(app, handler_cancellation=True)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        (port,) = free_ports(1)
        await web.TCPSite(runner, HOST, port).start()
        return port

    async def _register_runners(self, runners, role, pool):
        for number, runner in enumerate(runners):
            port = await self._serve(runner.application())
            await self._register_host(f"{role}-{number}", role, port, pool)

    async def _register_host(self, name, role, port, pool, peer_port=0, state="live"):
        host = {
            "host": name,
            "role": role,
            "address": HOST,
            "port": port,
            "peer_port": peer_port,
            "availability_zone": "zone",
            "region": "region",
            "state": state,
            "pool": pool,
            "slots": 16,
        }
        await self.platform.hosts.put(host)

    async def register_dead_engine(self, name):
        """Register a live engine at a port where nothing listens."""
        await self._register_host(name, "engine", *free_ports(1), MODEL)

    async def _apply_settings(self):
        body = {"author": "t", "note": "", "based_on": 0, "dry_run": False}
        body["edits"] = SETTINGS
        url = f"{self.admin_url}/admin/settings"
        auth_headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with self.session.post(url, json=body, headers=auth_headers) as response:
            assert response.status == 200, await response.text()
        await self.wait_until(self._is_ready)

    async def _is_ready(self):
        async with self.session.get(f"{self.admin_url}/ready") as response:
            return response.status == 200

    async def wait_until(self, condition):
        """Wait until a condition holds; raises ``TimeoutError`` after 20 s."""
        async with asyncio.timeout(20):
            while not await condition():
                await asyncio.sleep(0.01)
