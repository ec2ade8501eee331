from __future__ import annotations

import asyncio
import json

from aiohttp import web
from behave import given, then, when
from edge_steps import wait_until
from refused_bytes_steps import make_limits

from clementineyoke_node.fleet.host_watcher import HostWatcher
from clementineyoke_node.objects.http_platform import HttpPlatform

TIMEOUT_MS = 1_000
FOLLOW_LIMIT_S = 4
HOST = {
    "host": "host",
    "role": "service",
    "address": "127.0.0.1",
    "port": 80,
    "peer_port": 0,
    "availability_zone": "zone",
    "region": "region",
    "state": "live",
    "pool": "pool",
    "slots": 1,
}
INVALID_HOSTS = {
    "no address": {k: v for k, v in HOST.items() if k != "address"},
    "a text as its port": {**HOST, "port": "80"},
    "a port out of range": {**HOST, "port": 70_000},
    "an unknown role": {**HOST, "role": "store"},
    "a number as its name": {**HOST, "host": 7},
    "no fields but a list": [],
    "100000 levels in a note": {**HOST, "note": "DEEP"},
}
DEEP = "[" * 100_000 + "]" * 100_000


class HostTable:
    """Record the hosts that a watcher applies."""

    def __init__(self):
        self.names = None

    def apply_host_list(self, *, live, leaving, **_):
        self.names = [getattr(host, "runner_id", "") for host in live]


class Clock:
    def now_ms(self):
        return 0.0


@given("a node that follows a list of hosts")
def given_watcher(context):
    context.answers = asyncio.Queue()
    context.host_table = HostTable()

    async def answer(_):
        return web.Response(text=await context.answers.get())

    async def start():
        app = web.Application()
        app.router.add_get("/hosts", answer)
        context.server = web.AppRunner(app, shutdown_timeout=0.1)
        await context.server.setup()
        site = web.TCPSite(context.server, "127.0.0.1", 0)
        await site.start()
        port = context.server.addresses[0][1]
        platform = HttpPlatform(
            url=f"http://127.0.0.1:{port}",
            timeout_ms=TIMEOUT_MS,
            byte_limits=make_limits(),
        )
        await platform.__aenter__()
        watcher = HostWatcher(
            host_list=platform,
            membership=HostTable(),
            table=context.host_table,
            timers=Clock(),
            on_change=lambda: None,
        )
        await watcher.__aenter__()
        return platform, watcher

    platform, watcher = context.run(start())

    async def stop():
        await watcher.__aexit__(None, None, None)
        await platform.__aexit__(None, None, None)
        await context.server.cleanup()

    context.add_cleanup(lambda: context.run(stop()))


def changes(revision, *hosts):
    body = {"revision": revision, "is_whole": True, "hosts": hosts, "gone": []}
    return json.dumps(body).replace('"DEEP"', DEEP)


@when("the list has a host with {fault}, and later a sound one")
def answer_both(context, fault):
    bad, sound = INVALID_HOSTS[fault], {**HOST, "host": "sound"}
    context.answers.put_nowait(changes(1, bad, sound))
    context.answers.put_nowait(changes(2, bad, sound, {**sound, "host": "later"}))
    context.answers.put_nowait(changes(3, sound, {**sound, "host": "later"}))


@then("the node knows the sound hosts alone")
def check_hosts(context):
    def is_known():
        return context.host_table.names == ["sound", "later"]

    context.run(wait_until(is_known, FOLLOW_LIMIT_S))
