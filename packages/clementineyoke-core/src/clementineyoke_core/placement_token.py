"""Token that names the runner which holds a chat's context; kept by the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.token_signer import TokenSigner


class ChatScope(NamedTuple):
    """The chat that a token is valid for."""

    team_path: str
    pool: str
    key: int
    """The chat's 64-bit key."""


class PlacementTokenCodec:
    """Issue and read tokens, so that the fleet keeps no state per chat.

    15 million chats do not fit into a node's memory. A token is only a preference
    within the load bound, so a stale one does no harm. It is authenticated, as a team
    could otherwise forge tokens to overload a runner of its choice.
    """

    def __init__(self, *, signer: TokenSigner) -> None:
        self._signer = signer

    def issue(self, chat: ChatScope, runner_id: str) -> str:
        """Return a token that names a runner for a chat."""
        return self._signer.sign(_scope(chat), runner_id)

    def read(self, chat: ChatScope, token: str) -> str | None:
        """Return the runner in a token, or None if it is not valid for the chat."""
        return self._signer.read(_scope(chat), token)


def _scope(chat: ChatScope) -> str:
    return f"place\0{chat.team_path}\0{chat.pool}\0{chat.key}"
