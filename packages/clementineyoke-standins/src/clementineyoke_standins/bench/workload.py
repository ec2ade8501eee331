"""Seeded workloads: arrival times, chats and durations of requests."""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

from clementineyoke_core.chat_key import chat_key

MODEL = "model"
SHARED_PROMPT = "rules " * 300
HOT_TEAM_SHARE = 0.8
"""Share of a surge's extra requests that come from the two hot teams."""
HOT_PROMPT_SHARE = 0.2
"""Share of hot-team requests without a chat id, which all have one long prompt."""
RETURN_SHARE = 0.8
"""Share of requests that continue an existing chat; the others start a new one."""


class Request(NamedTuple):
    """One simulated request."""

    at_ms: float
    team: int
    chat: str
    key: int
    duration_ms: float
    is_return: bool


class Shape(NamedTuple):
    """Request rate over time, durations and teams of a workload."""

    name: str
    rate_per_s: float
    seconds: float
    mean_duration_ms: float
    teams: int
    surge_factor: float = 1.0
    surge_at_s: float = 0.0
    surge_ramp_s: float = 2.0
    surge_seconds: float = 0.0
    hot_teams: int = 0


def rate_at(shape: Shape, at_s: float) -> float:
    """Return the arrival rate per second at a point in time."""
    since_s = at_s - shape.surge_at_s
    if not 0.0 <= since_s < shape.surge_seconds:
        return shape.rate_per_s
    ramp = min(1.0, since_s / shape.surge_ramp_s)
    return shape.rate_per_s * (1.0 + (shape.surge_factor - 1.0) * ramp)


def generate(shape: Shape, *, seed: int) -> list[Request]:
    """Return the requests of a workload, ordered by arrival time."""
    rng = Random(seed)
    open_chats: list[tuple[int, str]] = []
    requests: list[Request] = []
    at_s = 0.0
    while True:
        rate_per_s = rate_at(shape, at_s)
        at_s += rng.expovariate(rate_per_s)
        if at_s >= shape.seconds:
            return requests
        is_hot = _is_hot(shape, at_s, rate_per_s, rng)
        requests.append(_make_request(shape, at_s, is_hot, open_chats, rng))


def _is_hot(shape: Shape, at_s: float, rate_per_s: float, rng: Random) -> bool:
    if not shape.hot_teams:
        return False
    surge_share = 1.0 - shape.rate_per_s / rate_per_s
    return rng.random() < surge_share * HOT_TEAM_SHARE


def _make_request(
    shape: Shape,
    at_s: float,
    is_hot: bool,
    open_chats: list[tuple[int, str]],
    rng: Random,
) -> Request:
    duration_ms = _duration_ms(shape, rng)
    if is_hot and rng.random() < HOT_PROMPT_SHARE:
        team = rng.randrange(shape.hot_teams)
        key = chat_key(team=str(team), model=MODEL, chat_id=None, prompt=SHARED_PROMPT)
        return Request(at_s * 1000, team, f"prompt-{team}", key, duration_ms, True)
    is_return = bool(open_chats) and rng.random() < RETURN_SHARE
    if is_return:
        # Recent chats are drawn more often, because most chats continue soon.
        index = int(len(open_chats) * (1.0 - rng.random() ** 2))
        team, chat = open_chats[min(index, len(open_chats) - 1)]
    else:
        team = rng.randrange(shape.hot_teams if is_hot else shape.teams)
        chat = f"chat-{len(open_chats)}"
        open_chats.append((team, chat))
    key = chat_key(team=str(team), model=MODEL, chat_id=chat, prompt="")
    return Request(at_s * 1000, team, chat, key, duration_ms, is_return)


def _duration_ms(shape: Shape, rng: Random) -> float:
    # Log-normal with sigma 1 has a heavy tail; mu is chosen to give the shape's mean.
    sigma = 1.0
    mu = math.log(shape.mean_duration_ms) - sigma * sigma / 2
    return rng.lognormvariate(mu, sigma)
