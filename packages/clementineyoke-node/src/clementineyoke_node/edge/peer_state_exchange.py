"""Serve the desired state and the runners to peers, and fetch them from peers."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, NamedTuple, Self

import aiohttp
import msgspec
from aiohttp import web

from clementineyoke_core.edge.desired_state import DesiredState  # noqa: TC001 - msgspec reads it
from clementineyoke_core.edge.evacuations import EvacuationView  # noqa: TC001 - msgspec reads it
from clementineyoke_core.edge.runner_directory import DirectoryView  # noqa: TC001 - msgspec reads it
from clementineyoke_core.edge.store_freshness import StoreAges  # noqa: TC001 - msgspec reads it
from clementineyoke_core.edge.streams.pool_versions import VersionHistory
from clementineyoke_core.lifetime_doubts import LifetimeDoubt  # noqa: TC001 - msgspec reads it
from clementineyoke_node.bounds.bounded_connector import make_bounded_connector
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import CrashNote  # noqa: TC001 - msgspec reads it
from clementineyoke_wire.wire_error import WireError

if TYPE_CHECKING:
    from clementineyoke_core.edge.streams.pool_versions import PoolVersions
    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_node.edge.crash_tracker import CrashTracker
    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_node.timers.timer_service import TimerService
    from clementineyoke_wire.message_signer import MessageSigner

STATE_PATH = "/peers/state"
DOUBTS_PARAMETER = "doubts"
"""Asks for ``PeerState.doubts``."""
FETCH_TIMEOUT_S = 1.0
"""Peers answer in milliseconds. After a timeout the next peer whose gossip reports a
newer revision is asked."""
CONNECT_TIMEOUT_MS = 250
"""Several round trips between regions. An unreachable peer would otherwise delay the
fetch from the next one by FETCH_TIMEOUT_S."""
MAX_CONCURRENT_FETCHES = 4
"""More than one, in case the first peers are dead."""
COMPRESSION_LEVEL = 1
"""States are repetitive: 127 kB for 1,400 similar routes compress to 8 kB in 0.7 ms, so
that all nodes of a zone can fetch them at once from a node with a slow link."""
MAX_STATE_BYTES = 16_777_216
"""Compressed bytes may swell a thousandfold."""


class PeerState(NamedTuple):
    """The state that is newer on a node than on its peer, with all its revisions.

    A node refuses a state with more fields than it knows. Any field after ``versions``
    is only sent to a peer that asks for it.
    """

    state: DesiredState | None
    runners: DirectoryView | None
    state_revision: int
    runners_revision: int
    ages: StoreAges
    """How long ago the sender's revisions were known to be the newest."""
    crashes: list[CrashNote] = []
    """Requests that runners have crashed while running."""
    evacuations: EvacuationView | None = None
    evacuations_version: int = 0
    versions: VersionHistory = VersionHistory()
    doubts: list[LifetimeDoubt] = []
    """Runners that may have started again since their entries were written."""


class PeerStateExchange:
    """Exchange state between nodes over HTTP.

    The store may refuse one node and serve the others. Without its peers that node
    would keep an old state and go on accepting withdrawn keys.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        crash_tracker: CrashTracker,
        pool_versions: PoolVersions,
        timers: TimerService,
        signer: MessageSigner,
        byte_limits: ByteLimits,
    ) -> None:
        self._view = view
        self._crash_tracker = crash_tracker
        self._pool_versions = pool_versions
        self._timers = timers
        self._signer = signer
        self._byte_limits = byte_limits
        self._tasks = BackgroundTasks()
        self._session: aiohttp.ClientSession | None = None
        self._pending: set[str] = set()

    async def __aenter__(self) -> Self:
        """Open the HTTP session for peers."""
        connector = make_bounded_connector(
            self._byte_limits, connect_timeout_ms=CONNECT_TIMEOUT_MS, force_close=True
        )
        self._session = aiohttp.ClientSession(connector=connector)
        await self._tasks.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all fetches and close the HTTP session."""
        await self._tasks.__aexit__(*exc_info)
        if self._session is not None:
            await self._session.close()

    def fetch(self, address: str, *, is_zone_notified: bool = False) -> None:
        """Start to fetch newer state from a peer's control address.

        Several peers report the same change. Does nothing if this peer or the maximum
        number of peers is being asked: a revision that is still newer after their
        answers is reported again.
        """
        if address in self._pending or len(self._pending) >= MAX_CONCURRENT_FETCHES:
            return
        self._pending.add(address)
        self._tasks.spawn(
            self._fetch(address, is_zone_notified=is_zone_notified), name="fetch_state"
        )

    async def handle_request(self, request: web.Request) -> web.Response:
        """Return the state that is newer than the revisions in a peer's query."""
        try:
            state_revision = int(request.query.get("state", "0"))
            runners_revision = int(request.query.get("runners", "0"))
            evacuations_revision = int(request.query.get("evacuations", "0"))
        except ValueError as error:
            raise web.HTTPBadRequest(text="revisions are whole numbers") from error
        routes = self._view.routes
        state = None
        if routes is not None and routes.state.revision > state_revision:
            state = routes.state
        runners = None
        if self._view.runners_revision > runners_revision:
            runners = self._view.directory_view()
        evacuations = self._view.evacuations
        newer = PeerState(
            state,
            runners,
            self._view.state_revision,
            self._view.runners_revision,
            self._view.ages(),
            self._crash_tracker.newest_notes(),
            evacuations.view if evacuations.version > evacuations_revision else None,
            evacuations.version,
            self._pool_versions.history(now_ms=self._timers.now_ms()),
            self._view.doubts(),
        )
        fields = newer if DOUBTS_PARAMETER in request.query else newer[:-1]
        compressed = zlib.compress(msgspec.msgpack.encode(fields), COMPRESSION_LEVEL)
        return web.Response(body=self._signer.sign(compressed))

    async def _fetch(self, address: str, *, is_zone_notified: bool) -> None:
        try:
            received = await self._request_state(address)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            log_event(Event.PEER_STATE_MISSED, peer=address, reason=repr(error))
            return
        except WireError as error:
            log_event(Event.DATAGRAM_REFUSED, peer=address, step=error.step)
            return
        finally:
            self._pending.discard(address)
        if received.evacuations is not None:
            self._view.apply_evacuations(
                received.evacuations, source=address, is_zone_notified=is_zone_notified
            )
        if received.state is not None:
            self._view.apply_state(
                received.state, source=address, is_zone_notified=is_zone_notified
            )
        if received.runners is not None:
            self._view.apply_runners(
                received.runners, source=address, is_zone_notified=is_zone_notified
            )
        self._view.adopt_doubts(received.doubts, source=address)
        self._view.adopt_ages(
            received.ages,
            state_revision=received.state_revision,
            runners_revision=received.runners_revision,
            evacuations_version=received.evacuations_version,
        )
        self._crash_tracker.merge_notes(received.crashes)
        versions = received.versions
        if received.runners_revision < self._view.runners_revision:
            # The peer has not seen what this node may have missed.
            versions = versions._replace(observed_ms=0)
        self._pool_versions.adopt(versions, now_ms=self._timers.now_ms())

    async def _request_state(self, address: str) -> PeerState:
        if self._session is None:
            message = "HTTP session for peers is closed"
            raise ValueError(message)
        async with self._session.get(
            f"http://{address}{STATE_PATH}",
            params={
                "state": str(self._view.state_revision),
                "runners": str(self._view.runners_revision),
                "evacuations": str(self._view.evacuations.view.revision),
                DOUBTS_PARAMETER: "1",
            },
            timeout=aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S),
        ) as response:
            response.raise_for_status()
            content = await self._byte_limits.read(response.content, peer=address)
            compressed = self._signer.verify(content, peer=address)
        return msgspec.msgpack.decode(_decompress(compressed, address), type=PeerState)


def _decompress(compressed: bytes, address: str) -> bytes:
    try:
        decompressor = zlib.decompressobj()
        state = decompressor.decompress(compressed, MAX_STATE_BYTES)
    except zlib.error as error:
        raise WireError(step="unpack_state", peer=address, reason=str(error)) from error
    if not decompressor.eof:
        reason = f"more than {MAX_STATE_BYTES} bytes, or truncated"
        raise WireError(step="unpack_state", peer=address, reason=reason)
    return state
