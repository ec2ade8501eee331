"""One caller's request, decoded once; the same whichever door it came through."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.edge.prompt_key import PromptPart  # noqa: TC001 - msgspec reads it


class EdgeCall(NamedTuple):
    """What a caller asks for."""

    call_id: str
    """Names this one try of the caller; the runner echoes it."""
    method: str
    target: str
    """Path and query as the caller sent them."""
    path: str
    hostname: str
    passed_headers: tuple[tuple[str, str], ...]
    """What the runner gets to see of the caller's headers."""
    head_bytes: int
    """Size of the request's line and headers as they came."""
    body: bytes
    key: str | None
    """The caller's key, or None without one."""
    budget_ms: float | None
    """How long the caller will wait, from the arrival on."""
    model: str
    prompt_parts: tuple[PromptPart, ...]
    last_event: int | None
    """The last event that the caller has, when it takes up a broken stream."""
