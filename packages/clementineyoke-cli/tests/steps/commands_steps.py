from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from aiohttp import web
from behave import given, then, when

from clementineyoke_node.admin.admin_api import AdminApi
from clementineyoke_node.callers.authenticator import hash_key
from clementineyoke_node.callers.decision_ring import DecisionRing
from clementineyoke_node.metrics import Metrics
from clementineyoke_node.settings.settings_replica import SettingsReplica
from clementineyoke_node.settings.settings_writer import SettingsWriter
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_standins.bench.memory_object_api import MemoryObjectApi
from clementineyoke_wire.message_signer import MessageSigner

KEY = "operator-key"
ROOT = Path(__file__).parents[4]


@given("a settings file with 2 violations")
def given_invalid_file(context):
    context.file = context.directory / "bad.json"
    context.file.write_text('{"/": {"priority": 10}, // two\n "/a/b": {"none": 1}}')


@given("the sample settings of the league")
def given_sample_settings(context):
    context.file = ROOT / "samples" / "league-settings.json"


@given("a node's operator API")
def given_operator_api(context):
    context.async_runner.run(serve(context))


async def serve(context):
    objects = MemoryObjectApi()
    settings = SettingsReplica(
        objects=objects,
        peers=None,
        is_watcher=lambda: True,
        is_snapshot_writer=lambda: True,
    )
    api = AdminApi(
        key_hashes=[hash_key(KEY)],
        signer=MessageSigner(keys=["peer"]),
        settings=settings,
        writer=SettingsWriter(objects=objects, settings=settings, author_node="node"),
        decisions=DecisionRing(),
        metrics=Metrics(),
        timers=TimerService(),
        status=dict,
        is_ready=lambda: True,
        begin_drain=lambda: None,
    )
    await serve_app(context, api.application())


async def serve_app(context, app):
    app_runner = web.AppRunner(app)
    await app_runner.setup()
    context.add_cleanup(lambda: context.async_runner.run(app_runner.cleanup()))
    site = web.TCPSite(app_runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    context.env["CLEMENTINEYOKE_NODE"] = f"http://127.0.0.1:{port}"


@given("a node on the platform whose pool has a pressure of {pressure:g}")
def given_platform_node(context, pressure):
    async def status(request):
        pool = {"pressure": pressure, "level": 1.25, "is_shared": True}
        return web.json_response({"node": "n", "pressure": {"engines": pool}})

    app = web.Application()
    app.router.add_get("/status", status)
    context.async_runner.run(serve_app(context, app))


def run(context, command, key):
    arguments = command.replace("FILE", str(getattr(context, "file", ""))).split()
    env = {**os.environ, "CLEMENTINEYOKE_KEY": key, "PAGER": "cat", **context.env}

    async def call():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "clementineyoke_cli.console.main",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=env,
        )
        output, _ = await process.communicate()
        context.exit_code, context.output = process.returncode, output.decode()

    context.async_runner.run(call())


@when('the operator runs "{command}" with a wrong key')
def run_with_wrong_key(context, command):
    run(context, command, "wrong")


@when('the operator runs "{command}"')
def run_with_key(context, command):
    run(context, command, KEY)


@then("it exits {code:d}")
def check_exit(context, code):
    assert context.exit_code == code, context.output


@then('it exits {code:d} and prints "{text}"')
def check_exit_and_output(context, code, text):
    assert context.exit_code == code, context.output
    assert text in context.output, context.output


@then('it prints "{text}"')
def check_output(context, text):
    assert text in context.output, context.output


@then("it exits {code:d} and prints both violations")
def check_violations(context, code):
    assert context.exit_code == code, context.output
    assert "/ priority: is 10" in context.output
    assert "/a/b none: is no known field" in context.output


@then("it exits {code:d} and prints a count of {count:d} paths")
def check_path_count(context, code, count):
    assert context.exit_code == code, context.output
    assert f'"paths": {count}' in context.output


@then("it exits {code:d} and prints the step {step}")
def check_step(context, code, step):
    assert context.exit_code == code, context.output
    assert context.output.startswith(f"error: {step}"), context.output
