"""A token by which a caller brings back where its chat's context lies."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.token_signer import TokenSigner


class ChatScope(NamedTuple):
    """Whose chat a token is for."""

    team_path: str
    pool: str
    key: int
    """The chat's 64-bit key."""


class PlacementTokenCodec:
    """Issue and read tokens; the fleet itself remembers no chat.

    15 million chats do not fit a node. A token is only a preference under the bound:
    a stale one costs nothing. It is authenticated, since a forged one would let one
    team aim its chats at a runner of its choice and fill that up.
    """

    def __init__(self, *, signer: TokenSigner) -> None:
        self._signer = signer

    def issue(self, place: ChatScope, runner_id: str) -> str:
        """Return the token that names a runner for a chat."""
        return self._signer.sign(_scope(place), runner_id)

    def read(self, place: ChatScope, token: str) -> str | None:
        """Return the runner that a token names, or None if it is not ours."""
        return self._signer.read(_scope(place), token)


def _scope(place: ChatScope) -> str:
    return f"place\0{place.team_path}\0{place.pool}\0{place.key}"
