"""Processor time of streaming: a node's core for each event and each request."""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp

from clementineyoke_cli.settings_file import read_settings_file
from clementineyoke_standins.capacity.slope import Slope, fit
from clementineyoke_standins.demo.deployment import LEAGUE
from clementineyoke_standins.demo.evening import operator_client, whole_change
from clementineyoke_standins.demo.fleet_processes import FleetProcesses
from clementineyoke_standins.demo.layout import admin_url, caller_url
from clementineyoke_wire import headers

TOKENS = (10, 40, 80, 160)
STREAMS = 60
TEAM = LEAGUE.teams[0]


def measure_streams() -> list[Slope]:
    """Return the processor time of a request by its number of events."""
    points = asyncio.run(_measure())
    return [fit("work: streamed request", unit="us", per="event", points=points)]


async def _measure() -> list[tuple[float, float]]:
    folder = Path("build") / "capacity-fleet"
    async with FleetProcesses(deployment=LEAGUE, folder=folder) as fleet:
        node = fleet.nodes[0]
        await fleet.start_node(node)
        await fleet.wait_answering(f"{admin_url(node)}/health")
        change = whole_change(read_settings_file(LEAGUE.settings_file))
        await operator_client(admin_url(node)).change_settings(change)
        await fleet.wait_answering(f"{admin_url(node)}/ready")
        points = []
        async with aiohttp.ClientSession() as session:
            await _stream_all(session, caller_url(node), TOKENS[0])
            for tokens in TOKENS:
                before_s = fleet.cpu_s(node["host"])
                await _stream_all(session, caller_url(node), tokens)
                used_s = fleet.cpu_s(node["host"]) - before_s
                points.append((float(tokens), used_s / STREAMS * 1e6))
        return points


async def _stream_all(session: aiohttp.ClientSession, url: str, tokens: int) -> None:
    await asyncio.gather(
        *(_stream(session, url, tokens, number) for number in range(STREAMS))
    )


async def _stream(
    session: aiohttp.ClientSession, url: str, tokens: int, number: int
) -> None:
    body = {
        "model": LEAGUE.model,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "rules"}],
    }
    sent = {
        "Authorization": f"Bearer {LEAGUE.group}/{TEAM}/demo-key-{TEAM}",
        headers.CHAT_ID: f"chat-{number}",
    }
    path = f"{url}/v1/chat/completions"
    async with session.post(path, json=body, headers=sent) as answer:
        text = await answer.read()
    if b"[DONE]" not in text:
        message = f"a stream of the capacity run was not whole: {text[-200:]!r}"
        raise RuntimeError(message)
