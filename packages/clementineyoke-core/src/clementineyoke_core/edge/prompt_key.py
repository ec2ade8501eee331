"""By which key a call with a prompt finds its runner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Sequence


class PromptPart(NamedTuple):
    """A part of a prompt that runners cache under its id."""

    part_id: str
    tokens: int


def prompt_key(parts: Sequence[PromptPart], *, model: str) -> int | None:
    """Return the key of the longest shared beginning, or None without parts.

    The last part is the request's own, so the one before it decides: it stands for
    the whole beginning that other requests share.
    """
    if not parts:
        return None
    deciding = parts[-2] if len(parts) > 1 else parts[-1]
    return hash_text(f"{model}\0{deciding.part_id}")
