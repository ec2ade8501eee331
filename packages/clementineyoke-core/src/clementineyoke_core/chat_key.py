"""The key by which a chat finds its runner again."""

from __future__ import annotations

from clementineyoke_core.hashing import hash_text

PREFIX_BLOCK_CHARACTERS = 1024


def chat_key(*, team: str, model: str, chat_id: str | None, prompt: str) -> int:
    """Return a 64-bit key from the chat id, or else from the prompt's first block.

    The key holds the team, so two teams that pick the same chat id never share one.
    """
    if chat_id:
        return hash_text(f"chat\0{team}\0{model}\0{chat_id}")
    head = prompt[:PREFIX_BLOCK_CHARACTERS]
    return hash_text(f"prefix\0{team}\0{model}\0{head}")
