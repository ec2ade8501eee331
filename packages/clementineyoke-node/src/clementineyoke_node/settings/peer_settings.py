"""Fetch settings from another node over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

import aiohttp
import msgspec

from clementineyoke_core.settings.change import SettingsChange
from clementineyoke_core.settings.snapshot import SettingsSnapshot
from clementineyoke_node.bounds.byte_limits import read_at_most
from clementineyoke_node.objects.platform_error import PlatformError
from clementineyoke_wire.wire_error import WireError

if TYPE_CHECKING:
    from clementineyoke_core.node import Node
    from clementineyoke_wire.message_signer import MessageSigner

FETCH_TIMEOUT_S = 5.0
CHANGES_PATH = "/peer/settings/changes"
SNAPSHOT_PATH = "/peer/settings/snapshot"
MAX_SETTINGS_BYTES = 33_554_432
"""The whole tree of 35,000 teams takes some 7 MB."""
STATUS_OK = 200
STATUS_GONE = 410
T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)
_decoder = msgspec.json.Decoder(list[SettingsChange])
_snapshot_decoder = msgspec.msgpack.Decoder(SettingsSnapshot)


class Decoder(Protocol[T_co]):
    """A msgspec decoder for JSON or MessagePack."""

    def decode(self, body: bytes, /) -> T_co:
        """Decode a value; raises ``msgspec.DecodeError``."""
        ...


def encode_changes(changes: list[SettingsChange], *, signer: MessageSigner) -> bytes:
    """Return the signed response to a peer's request for changes."""
    return signer.sign(msgspec.json.encode(changes))


def encode_snapshot(snapshot: SettingsSnapshot, *, signer: MessageSigner) -> bytes:
    """Return the signed response to a peer's request for the full settings."""
    return signer.sign(msgspec.msgpack.encode(snapshot))


class HttpPeerSettings:
    """Fetches settings from a peer's operator port.

    Responses are signed with the same keys as datagrams.
    """

    def __init__(self, *, signer: MessageSigner) -> None:
        self._signer = signer

    async def fetch(self, node: Node, *, after: int) -> list[SettingsChange] | None:
        """Return the peer's changes after a version, or None if it no longer has them.

        Raises ``PlatformError``.
        """
        body = await self._get(node, f"{CHANGES_PATH}?after={after}")
        if body is None:
            return None
        return _decode(node, body, _decoder)

    async def fetch_snapshot(self, node: Node) -> SettingsSnapshot:
        """Return the peer's full settings tree; raises ``PlatformError``."""
        body = await self._get(node, SNAPSHOT_PATH)
        if body is None:
            raise _failure(node, "the peer has no settings")
        return _decode(node, body, _snapshot_decoder)

    async def _get(self, node: Node, path: str) -> bytes | None:
        url = f"http://{node.address}:{node.peer_port}{path}"
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                body = await read_at_most(response.content, MAX_SETTINGS_BYTES)
                if response.status == STATUS_GONE:
                    return None
                if response.status != STATUS_OK:
                    raise _failure(node, f"status {response.status}")
                return self._signer.verify(body, peer=node.node_id)
        except (aiohttp.ClientError, TimeoutError, WireError) as error:
            raise _failure(node, repr(error)) from error


def _decode(node: Node, body: bytes, decoder: Decoder[T]) -> T:
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise _failure(node, str(error)) from error


def _failure(node: Node, reason: str) -> PlatformError:
    return PlatformError(step="fetch_settings", peer=node.node_id, reason=reason)
