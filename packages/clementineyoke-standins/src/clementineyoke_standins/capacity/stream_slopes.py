"""Measures a node's CPU time by streamed events, and its memory by response size."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from clementineyoke_cli.settings_file import read_settings_file
from clementineyoke_standins.capacity.slope import Slope, fit
from clementineyoke_standins.demo.demo_scenario import (
    make_admin_client,
    make_settings_change,
)
from clementineyoke_standins.demo.deployment import LEAGUE
from clementineyoke_standins.demo.fleet_processes import FleetProcesses
from clementineyoke_standins.demo.layout import admin_url, caller_url
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import HostBody

TOKEN_COUNTS = (10, 40, 80, 160)
STREAMS = 60
TEAM = LEAGUE.teams[0]
MEGABYTE = 1_000_000
RESPONSE_MEGABYTES = (8, 16, 32, 64)
READ_PAUSE_S = 0.02
Points = list[tuple[float, float]]


def measure_streams() -> list[Slope]:
    """Return CPU time by events per request, and peak memory by response size."""
    cpu_us, memory_bytes = asyncio.run(_measure())
    return [
        fit("work: streamed request", unit="us", per="event", points=cpu_us),
        fit(
            "memory: relay to a slow reader",
            unit="bytes",
            per="MB",
            points=memory_bytes,
        ),
    ]


async def _measure() -> tuple[Points, Points]:
    folder = Path("build") / "capacity-fleet"
    async with FleetProcesses(deployment=LEAGUE, folder=folder) as fleet:
        node = fleet.nodes[0]
        await fleet.start_node(node)
        await fleet.wait_until_ok(f"{admin_url(node)}/health")
        change = make_settings_change(read_settings_file(LEAGUE.settings_file))
        await make_admin_client(admin_url(node)).change_settings(change)
        await fleet.wait_until_ok(f"{admin_url(node)}/ready")
        async with aiohttp.ClientSession() as session:
            cpu_us = await _measure_cpu(fleet, node, session)
            memory_bytes = await _measure_memory(fleet, node, session)
        return cpu_us, memory_bytes


async def _measure_cpu(
    fleet: FleetProcesses, node: HostBody, session: aiohttp.ClientSession
) -> Points:
    points = []
    await _stream_all(session, caller_url(node), TOKEN_COUNTS[0])
    for tokens in TOKEN_COUNTS:
        before_s = fleet.cpu_s(node["host"])
        await _stream_all(session, caller_url(node), tokens)
        used_s = fleet.cpu_s(node["host"]) - before_s
        points.append((float(tokens), used_s / STREAMS * 1e6))
    return points


async def _measure_memory(
    fleet: FleetProcesses, node: HostBody, session: aiohttp.ClientSession
) -> Points:
    """Return the growth of the node's peak memory, from small responses to large."""
    baseline_bytes = fleet.peak_memory_bytes(node["host"])
    points = []
    for megabytes in RESPONSE_MEGABYTES:
        await _read_slowly(session, caller_url(node), megabytes)
        peak_bytes = fleet.peak_memory_bytes(node["host"])
        points.append((float(megabytes), float(peak_bytes - baseline_bytes)))
    return points


async def _read_slowly(
    session: aiohttp.ClientSession, url: str, megabytes: int
) -> None:
    body = _chat_body(megabytes) | {"pad_characters": MEGABYTE}
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=_headers(0)
    ) as response:
        received = 0
        async for chunk in response.content.iter_chunked(MEGABYTE):
            received += len(chunk)
            await asyncio.sleep(READ_PAUSE_S)
    if received < megabytes * MEGABYTE:
        message = f"response truncated: got {received} bytes of {megabytes} MB"
        raise RuntimeError(message)


def _chat_body(tokens: int) -> dict[str, Any]:
    return {
        "model": LEAGUE.model,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "rules"}],
    }


def _headers(number: int) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {LEAGUE.group}/{TEAM}/demo-key-{TEAM}",
        headers.CHAT_ID: f"chat-{number}",
    }


async def _stream_all(session: aiohttp.ClientSession, url: str, tokens: int) -> None:
    await asyncio.gather(
        *(_stream(session, url, tokens, number) for number in range(STREAMS))
    )


async def _stream(
    session: aiohttp.ClientSession, url: str, tokens: int, number: int
) -> None:
    path = f"{url}/v1/chat/completions"
    async with session.post(
        path, json=_chat_body(tokens), headers=_headers(number)
    ) as response:
        text = await response.read()
    if b"[DONE]" not in text:
        message = f"stream ended without [DONE]; last bytes: {text[-200:]!r}"
        raise RuntimeError(message)
