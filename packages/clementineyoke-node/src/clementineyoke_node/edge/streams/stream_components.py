"""Creates the parts that tell which version began a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.route_pools import RoutePools
from clementineyoke_core.edge.store_freshness import ViewPart
from clementineyoke_core.edge.streams.pool_versions import PoolVersions
from clementineyoke_core.edge.streams.stream_records import StreamRecords
from clementineyoke_core.hashing import hash_text
from clementineyoke_node.edge.lifetime_exchange import LifetimeExchange
from clementineyoke_node.edge.streams.stream_archive import StreamArchive
from clementineyoke_node.edge.streams.stream_finder import StreamFinder
from clementineyoke_node.edge.streams.stream_holders import StreamHolders
from clementineyoke_node.edge.streams.stream_registry import StreamRegistry
from clementineyoke_node.edge.streams.version_archive import VersionArchive
from clementineyoke_node.edge.streams.version_confirmation import VersionConfirmation

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
    from clementineyoke_node.node_state import NodeState
    from clementineyoke_node.peers.peer_socket import PeerSocket
    from clementineyoke_node.platform.store_client import StoreClient
    from clementineyoke_node.timers.timer_service import TimerService

ARCHIVE_WRITERS = 2
"""One of them may be cut off from the store while its peers still reach it."""
VERSION_WRITERS_KEY = hash_text("writers of pool versions")
STREAM_WRITERS_KEY = hash_text("writers of streams")
ROUND_INTERVAL_MS = 50.0


class StreamComponents:
    """The registry of streams and what it knows of versions, of one node."""

    def __init__(
        self,
        *,
        state: NodeState,
        store: StoreClient,
        socket: PeerSocket,
        timers: TimerService,
        view: FleetView,
        connection_pool: RunnerConnectionPool,
        knows_nodes: Callable[[], bool],
    ) -> None:
        """Create the parts.

        ``knows_nodes`` tells whether this node has read which nodes there are; before
        that it would take itself for a writer.
        """
        self._state = state
        self._knows_nodes = knows_nodes
        self._timers = timers
        records = StreamRecords()
        self.versions = PoolVersions()
        self._route_pools = RoutePools()
        self._confirmation = VersionConfirmation(
            store=store,
            timers=timers,
            region=state.config.region,
            listed_revision=lambda: view.runners_revision,
            on_gap=self._record_gap,
            on_versions=lambda versions: self.registry.add_versions(versions),
        )
        self._version_archive = VersionArchive(
            store=store,
            versions=self.versions,
            route_pools=self._route_pools,
            doubts=state.table.doubts,
            timers=timers,
            is_writer=self._is_version_writer,
            on_shared=lambda pool: self.registry.share_all(pool),
        )
        view.on_gap = self._record_list_gap
        self._stream_archive = StreamArchive(
            store=store,
            node_id=state.config.node_id,
            records=records,
            timers=timers,
            mixed_pools=self._mixed_pools,
            writers=self._stream_writers,
        )
        self._lifetimes = LifetimeExchange(
            state=state,
            view=view,
            socket=socket,
            timers=timers,
            try_connection=connection_pool.try_connection,
            on_doubt=lambda pool: self.registry.share_all(pool),
        )
        holders = StreamHolders(homes=state.stream_homes, membership=state.membership)
        finder = StreamFinder(
            records=records,
            versions=self.versions,
            route_pools=self._route_pools,
            version_archive=self._version_archive,
            stream_archive=self._stream_archive,
            confirmation=self._confirmation,
            holders=holders,
            table=state.table,
            socket=socket,
            timers=timers,
            decisions=state.decisions,
            metrics=state.metrics,
            is_view_current=lambda: not view.is_stale(ViewPart.RUNNERS),
        )
        self.registry = StreamRegistry(
            records=records,
            versions=self.versions,
            route_pools=self._route_pools,
            stream_archive=self._stream_archive,
            finder=finder,
            holders=holders,
            table=state.table,
            socket=socket,
            timers=timers,
            metrics=state.metrics,
            is_view_current=lambda: not view.is_stale(ViewPart.RUNNERS),
            runners_age_ms=lambda: view.ages().runners_ms,
            runners_revision=lambda: view.runners_revision,
            lifetimes=self._lifetimes,
        )
        view.on_routes = self.registry.update_routes

    def _record_list_gap(self, revision: int) -> None:
        # The versions up to a later revision may have been read from the store.
        if revision > self._confirmation.revision:
            self._record_gap(revision)

    def _record_gap(self, revision: int) -> None:
        self.versions.record_gap(now_ms=self._timers.now_ms(), revision=revision)
        self._version_archive.forget()

    def start_timers(self) -> None:
        """Start to write to the store what has changed, and to end doubts."""
        for name, callback in (
            ("pool_versions", self._version_archive.run_round),
            ("stream_archive", self._stream_archive.run_round),
            ("lifetimes", self._lifetimes.run_round),
            ("doubtful_runners", self._lifetimes.try_runners),
            ("unconfirmed_streams", self.registry.share_unconfirmed),
        ):
            self._timers.subscribe(
                name, interval_ms=ROUND_INTERVAL_MS, callback=callback
            )

    def _is_version_writer(self) -> bool:
        writers = self._state.fleet_homes.homes_of(
            VERSION_WRITERS_KEY, max_nodes=ARCHIVE_WRITERS
        )
        return self._knows_nodes() and self._state.config.node_id in writers

    def _stream_writers(self) -> list[str]:
        """Return the nodes of the region that write its streams to the store."""
        homes = self._state.stream_homes
        if not self._knows_nodes():
            return []
        return homes.homes_of(STREAM_WRITERS_KEY, max_nodes=ARCHIVE_WRITERS)

    def _mixed_pools(self) -> set[int]:
        now_ms = self._timers.now_ms()
        mixed = self.versions.mixed_pools(now_ms=now_ms)
        shared = self._route_pools.shared(now_ms=now_ms)
        doubtful = {runner.pool for runner in self._state.table.doubtful_runners()}
        return {hash_text(pool) for pool in shared.union(mixed, doubtful)}
