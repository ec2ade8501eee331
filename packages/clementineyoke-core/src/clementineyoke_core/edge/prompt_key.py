"""Routing key that sends calls with the same prompt prefix to the same runner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Sequence


class PromptPart(NamedTuple):
    """Part of a prompt; runners cache prompts by part id."""

    part_id: str
    tokens: int


def prompt_key(parts: Sequence[PromptPart], *, model: str) -> int | None:
    """Return the key of the longest shared prefix; None for a prompt without parts.

    The last part belongs to this request alone. The part before it identifies the whole
    prefix that the request shares with others.
    """
    if not parts:
        return None
    key_part = parts[-2] if len(parts) > 1 else parts[-1]
    return hash_text(f"{model}\0{key_part.part_id}")
