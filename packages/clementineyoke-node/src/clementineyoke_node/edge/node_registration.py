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


class NodeRegistration:
    """Enter this node and greet all others that are entered.

    A process that starts again finds its entry as it left it. It reads an old list for
    a tenth of a call's price and writes nothing; to try to create the entry, replace it
    and read a new list were three calls for each start.
    """

    def __init__(
        self, *, store: StoreClient, introducer: Introducer, own: Node
    ) -> None:
        self._store = store
        self._introducer = introducer
        self._own = own
        self.registered = asyncio.Event()
        """Set once the own entry is there and the others have been read."""

    async def register(self) -> None:
        """Write the own entry, read the others'; goes on until both are done."""
        while not self.registered.is_set():
            try:
                await self._enter()
            except StoreError as error:
                log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
                await asyncio.sleep(RETRY_PAUSE_MS / MS_PER_S)
                continue
            self.registered.set()

    async def _enter(self) -> None:
        if self._own in await self._greet_listed(may_be_old=True):
            return
        await self._write()
        # Nodes that start at the same moment are on no old list.
        await self._greet_listed(may_be_old=False)

    async def _write(self) -> None:
        spec = encode_node(self._own)
        try:
            await self._store.create(names.NODES_KIND, self._own.node_id, spec)
        except RevisionConflictError:
            # The entry of the process before this one; the address may be another.
            await self._store.replace(names.NODES_KIND, self._own.node_id, spec)

    async def _greet_listed(self, *, may_be_old: bool) -> list[Node]:
        listed = await self._store.list_all(names.NODES_KIND, may_be_old=may_be_old)
        nodes: list[Node] = []
        for entry in listed.entries:
            try:
                nodes.append(decode_node(entry))
            except FormatError as error:
                log_event(Event.HOST_REFUSED, host=error.peer, reason=error.reason)
        self._introducer.add_nodes(nodes)
        return nodes
