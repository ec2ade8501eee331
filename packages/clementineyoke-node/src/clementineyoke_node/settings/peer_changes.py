"""Fetch settings changes from another node over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec

from clementineyoke_core.settings.change import SettingsChange
from clementineyoke_node.platform.platform_error import PlatformError
from clementineyoke_wire.wire_error import WireError

if TYPE_CHECKING:
    from clementineyoke_core.node import Node
    from clementineyoke_wire.seal import Seal

FETCH_TIMEOUT_S = 5.0
CHANGES_PATH = "/peer/settings/changes"
STATUS_OK = 200
_decoder = msgspec.json.Decoder(list[SettingsChange])


def encode_changes(changes: list[SettingsChange], *, seal: Seal) -> bytes:
    """Return what a node answers to a peer's fetch."""
    return seal.sign(msgspec.json.encode(changes))


class HttpPeerChanges:
    """Ask a peer's operator port; the answer is sealed like a datagram."""

    def __init__(self, *, seal: Seal) -> None:
        self._seal = seal

    async def fetch(self, node: Node, *, after: int) -> list[SettingsChange]:
        """Return the peer's changes after a version; raises ``PlatformError``."""
        url = f"http://{node.address}:{node.peer_port}{CHANGES_PATH}?after={after}"
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                body = await response.read()
                if response.status != STATUS_OK:
                    return []
                return _decoder.decode(self._seal.open(body, peer=node.node_id))
        except (
            aiohttp.ClientError,
            TimeoutError,
            WireError,
            msgspec.DecodeError,
        ) as error:
            raise PlatformError(
                step="fetch_changes", peer=node.node_id, reason=repr(error)
            ) from error
