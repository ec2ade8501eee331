"""A caller's request, decoded once, independent of the server that received it."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.edge.prompt_key import PromptPart  # noqa: TC001 - msgspec reads it


class EdgeCall(NamedTuple):
    """A decoded request of a caller."""

    call_id: str
    """Id of this attempt of the caller; the runner echoes it."""
    method: str
    target: str
    """Path and query string as the caller sent them."""
    path: str
    hostname: str
    forwarded_headers: tuple[tuple[str, str], ...]
    """Caller's headers that are forwarded to the runner."""
    head_bytes: int
    """Size of the request line and headers."""
    body: bytes
    key: str | None
    """The caller's API key; None if it sent none."""
    budget_ms: float | None
    """How long the caller waits, counted from the call's arrival; None if unknown."""
    model: str
    prompt_parts: tuple[PromptPart, ...]
    last_event: int | None
    """Id of the last event the caller received, if it resumes a broken stream."""
    max_output_tokens: int = 0
    """Maximum length of the output; 0 if the caller does not state it."""
    resumes: str | None = None
    """Id of the caller's attempt that began the stream, as the caller names it."""
