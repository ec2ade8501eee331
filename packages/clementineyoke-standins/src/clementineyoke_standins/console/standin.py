"""Runs the fake platform, or all fake runners of a deployment."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import fire
from aiohttp import web

from clementineyoke_standins.demo.deployment import (
    DEPLOYMENTS,
    PLATFORM_ADDRESS,
    PLATFORM_PORT,
)
from clementineyoke_standins.demo.layout import runner_hosts
from clementineyoke_standins.platform.platform_server import PlatformServer
from clementineyoke_standins.runners.model_engine import ModelEngine
from clementineyoke_standins.runners.plain_service import PlainService

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import HostBody


class Standins:
    """Fakes of external systems."""

    def platform(self, host_lag_ms: float = 500.0) -> None:
        """Serve the object API and the host list."""
        app = PlatformServer(host_lag_ms=host_lag_ms).application()
        asyncio.run(_serve([(app, PLATFORM_ADDRESS, PLATFORM_PORT)]))

    def runners(self, deployment: str) -> None:
        """Serve every runner of a deployment."""
        hosts = runner_hosts(DEPLOYMENTS[deployment])
        served = [
            (_make_application(host), host["address"], host["port"]) for host in hosts
        ]
        asyncio.run(_serve(served))


def _make_application(host: HostBody) -> web.Application:
    if host["role"] == "engine":
        engine = ModelEngine(runner_id=host["host"], slots=host["slots"])
        return engine.application()
    return PlainService(runner_id=host["host"]).application()


async def _serve(served: list[tuple[web.Application, str, int]]) -> None:
    for app, address, port in served:
        runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, address, port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    fire.Fire(Standins)
