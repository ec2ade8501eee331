"""A token by which a caller takes up a stream that broke."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.token_signer import TokenSigner


class StreamLocation(NamedTuple):
    """Which runner holds a stream, and under which request id."""

    runner_id: str
    request_id: str


class ResumeTokenCodec:
    """Issue and read tokens; they count only for the team that began the stream.

    An unsigned one would let a team read another's answer by guessing its request id.
    """

    def __init__(self, *, signer: TokenSigner) -> None:
        self._signer = signer

    def issue(self, team_path: str, place: StreamLocation) -> str:
        """Return the token for a stream that begins."""
        return self._signer.sign(
            f"resume\0{team_path}", f"{place.request_id}/{place.runner_id}"
        )

    def read(self, team_path: str, token: str) -> StreamLocation | None:
        """Return where the stream is, or None if the token is not the team's."""
        value = self._signer.read(f"resume\0{team_path}", token)
        if value is None:
            return None
        request_id, _, runner_id = value.partition("/")
        return StreamLocation(runner_id, request_id)
