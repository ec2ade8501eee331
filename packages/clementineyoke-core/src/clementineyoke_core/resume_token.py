"""Token with which a caller resumes a broken stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.token_signer import TokenSigner


class StreamLocation(NamedTuple):
    """The runner that holds a stream, and the stream's request id."""

    runner_id: str
    request_id: str


class ResumeTokenCodec:
    """Issue and read tokens, each valid only for the team that started the stream.

    With unsigned tokens a team could read another team's answer by guessing its request
    id.
    """

    def __init__(self, *, signer: TokenSigner) -> None:
        self._signer = signer

    def issue(self, team_path: str, location: StreamLocation) -> str:
        """Return a token for a new stream."""
        return self._signer.sign(
            f"resume\0{team_path}", f"{location.request_id}/{location.runner_id}"
        )

    def read(self, team_path: str, token: str) -> StreamLocation | None:
        """Return the stream's location, or None if the team's token is not valid."""
        value = self._signer.read(f"resume\0{team_path}", token)
        if value is None:
            return None
        request_id, _, runner_id = value.partition("/")
        return StreamLocation(runner_id, request_id)
