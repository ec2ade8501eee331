"""Key that routes all requests of a chat to the same runner."""

from __future__ import annotations

from clementineyoke_core.hashing import hash_text

MAX_PREFIX_CHARACTERS = 1024


def chat_key(*, team: str, model: str, chat_id: str | None, prompt: str) -> int:
    """Return a 64-bit key from the chat id or, without one, from the prompt's prefix.

    The team is part of the key, so teams that choose the same chat id get different
    keys.
    """
    if chat_id:
        return hash_text(f"chat\0{team}\0{model}\0{chat_id}")
    prefix = prompt[:MAX_PREFIX_CHARACTERS]
    return hash_text(f"prefix\0{team}\0{model}\0{prefix}")
