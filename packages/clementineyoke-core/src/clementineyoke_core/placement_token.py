"""A token by which a caller brings back where its chat's context lies."""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import NamedTuple

TAG_BYTES = 8
LONGEST_TOKEN = 200


class ChatPlace(NamedTuple):
    """Whose chat a token is for."""

    team_path: str
    pool: str
    key: int
    """The chat's 64-bit key."""


class PlacementToken:
    """Issue and read tokens; the fleet itself remembers no chat.

    15 million chats do not fit a node. A token is only a preference under the bound:
    a stale one costs nothing. It is authenticated, since a forged one would let one
    team aim its chats at a runner of its choice and fill that up.
    """

    def __init__(self, *, keys: list[str]) -> None:
        self._keys = [blake2b(key.encode(), digest_size=32).digest() for key in keys]

    def issue(self, place: ChatPlace, runner_id: str) -> str:
        """Return the token that names a runner for a chat."""
        return f"{runner_id}:{self._tag(self._keys[0], place, runner_id)}"

    def read(self, place: ChatPlace, token: str) -> str | None:
        """Return the runner that a token names, or None if it is not ours."""
        runner_id, _, tag = token.rpartition(":")
        if not runner_id or len(token) > LONGEST_TOKEN or not token.isascii():
            return None
        for key in self._keys:
            if hmac.compare_digest(tag, self._tag(key, place, runner_id)):
                return runner_id
        return None

    def _tag(self, key: bytes, place: ChatPlace, runner_id: str) -> str:
        text = f"{place.team_path}\0{place.pool}\0{place.key}\0{runner_id}"
        return blake2b(text.encode(), key=key, digest_size=TAG_BYTES).hexdigest()
