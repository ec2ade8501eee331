"""The own entry of a node in the store, and the entries of the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_node.platform import names
from clementineyoke_node.platform.entry_codec import decode_node, encode_node
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.store_error import RevisionConflictError, StoreError
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from clementineyoke_core.node import Node
    from clementineyoke_node.fleet.introducer import Introducer
    from clementineyoke_node.platform.store_client import StoreClient

MS_PER_S = 1000.0
RETRY_PAUSE_MS = 1_000.0
"""Nodes also meet by seeds and hellos, so the entry is in no hurry."""


class NodeRoster:
    """Enter this node and greet all others that are entered."""

    def __init__(
        self, *, store: StoreClient, introducer: Introducer, own: Node
    ) -> None:
        self._store = store
        self._introducer = introducer
        self._own = own

    async def enter(self) -> None:
        """Write the own entry, read the others'; goes on until both are done."""
        while True:
            try:
                await self._write()
                await self._greet_listed()
            except StoreError as error:
                log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
                await asyncio.sleep(RETRY_PAUSE_MS / MS_PER_S)
                continue
            return

    async def _write(self) -> None:
        spec = encode_node(self._own)
        try:
            await self._store.create(names.NODES_KIND, self._own.node_id, spec)
        except RevisionConflictError:
            # The entry of the process before this one; the address may be another.
            await self._store.replace(names.NODES_KIND, self._own.node_id, spec)

    async def _greet_listed(self) -> None:
        listed = await self._store.list_all(names.NODES_KIND)
        nodes = []
        for entry in listed.entries:
            try:
                nodes.append(decode_node(entry))
            except FormatError as error:
                log_event(Event.HOST_REFUSED, host=error.peer, reason=error.reason)
        self._introducer.greet(nodes)
