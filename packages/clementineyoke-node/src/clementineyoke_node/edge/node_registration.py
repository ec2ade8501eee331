"""Registration of a node in the store, and discovery of the other nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_node.platform import names
from clementineyoke_node.platform.entry_codec import decode_node, encode_node
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.store_error import RevisionConflictError, StoreError
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.node import Node
    from clementineyoke_node.fleet.introducer import Introducer
    from clementineyoke_node.platform.store_client import StoreClient

MS_PER_S = 1000.0
RETRY_DELAY_MS = 1_000.0
"""Nodes also find each other through seeds and hellos, so a retry may wait."""


class NodeRegistration:
    """Register this node in the store, and send a hello to all other registered nodes.

    A restarted process finds its former entry. It reads a list that may be stale, at a
    tenth of the price of a call, and writes nothing. Trying to create the entry,
    replacing it and reading a current list would take three calls per start.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        introducer: Introducer,
        local_node: Node,
        apply_nodes: Callable[[], None],
    ) -> None:
        self._store = store
        self._apply_nodes = apply_nodes
        self._introducer = introducer
        self._local_node = local_node
        self.registered = asyncio.Event()
        """Set once this node's entry exists and the other entries have been read."""

    async def register(self) -> None:
        """Write this node's entry and read the others; retry until both are done."""
        while not self.registered.is_set():
            try:
                await self._register_once()
            except StoreError as error:
                log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
                await asyncio.sleep(RETRY_DELAY_MS / MS_PER_S)
                continue
            # Who watches the store is only known with all nodes that were read.
            self._apply_nodes()
            self.registered.set()

    async def _register_once(self) -> None:
        if self._local_node in await self._add_registered_nodes(may_be_old=True):
            return
        await self._write_entry()
        # A stale list lacks nodes that are starting at the same time.
        await self._add_registered_nodes(may_be_old=False)

    async def _write_entry(self) -> None:
        spec = encode_node(self._local_node)
        try:
            await self._store.create(names.NODES_KIND, self._local_node.node_id, spec)
        except RevisionConflictError:
            # An earlier process wrote the entry, possibly with another address.
            await self._store.replace(names.NODES_KIND, self._local_node.node_id, spec)

    async def _add_registered_nodes(self, *, may_be_old: bool) -> list[Node]:
        listed = await self._store.list_all(names.NODES_KIND, allow_stale=may_be_old)
        nodes: list[Node] = []
        for entry in listed.entries:
            try:
                nodes.append(decode_node(entry))
            except FormatError as error:
                log_event(Event.HOST_REFUSED, host=error.peer, reason=error.reason)
        self._introducer.add_nodes(nodes)
        return nodes
