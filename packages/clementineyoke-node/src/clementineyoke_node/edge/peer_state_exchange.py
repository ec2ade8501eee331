"""Hand desired state and runners to peers, and fetch them from peers."""

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
from clementineyoke_node.runners.keep_alive_socket import open_socket
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import CrashNote  # noqa: TC001 - msgspec reads it
from clementineyoke_wire.wire_error import WireError

if TYPE_CHECKING:
    from clementineyoke_node.edge.crash_tracker import CrashTracker
    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_wire.seal import Seal

STATE_PATH = "/peers/state"
FETCH_TIMEOUT_S = 1.0
"""A peer answers in milliseconds; another one is asked when the next gossip tells of
something newer."""


CONNECT_TIMEOUT_S = 0.25
"""Several round trips between regions. A peer that is dark would hold up the fetch
from the next for the whole time of a fetch."""
MOST_FETCHES = 4
"""Answers waited for at a time: more than one, in case the first peers are dead."""
PACKING_LEVEL = 1
"""States repeat themselves: 127 kB for 1,400 alike routes pack to 8 kB in 0.7 ms, so
the nodes of a zone can fetch them at once from one with a slow link."""
UNPACKED_BYTES = 65_536


class PeerState(NamedTuple):
    """What a node knows that the asker does not."""

    state: DesiredState | None
    runners: DirectoryView | None
    state_revision: int
    runners_revision: int
    ages: StoreAges
    """How sure the sender is that its revisions are the newest."""
    crashes: list[CrashNote] = []
    """Requests under which runners have ended."""
    evacuations: EvacuationView | None = None
    evacuations_version: int = 0


class PeerStateExchange:
    """Own the exchange of states between nodes.

    The store may turn one node away and serve the others. Without its peers that node
    would go on by an old state, seen as calls with withdrawn keys that still run.
    """

    def __init__(self, *, view: FleetView, crashes: CrashTracker, seal: Seal) -> None:
        self._view = view
        self._crashes = crashes
        self._seal = seal
        self._tasks = BackgroundTasks()
        self._session: aiohttp.ClientSession | None = None
        self._asked: set[str] = set()

    async def __aenter__(self) -> Self:
        """Open the connections to peers."""
        connector = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=open_socket
        )
        self._session = aiohttp.ClientSession(connector=connector)
        await self._tasks.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connections."""
        await self._tasks.__aexit__(*exc_info)
        if self._session is not None:
            await self._session.close()

    def fetch(self, address: str, *, is_zone_told: bool = False) -> None:
        """Ask a peer's control address for what is newer.

        Several peers tell of the same change; whatever is still newer when these
        answers are in is told again.
        """
        if address in self._asked or len(self._asked) >= MOST_FETCHES:
            return
        self._asked.add(address)
        self._tasks.spawn(
            self._fetch(address, is_zone_told=is_zone_told), name="fetch_state"
        )

    async def answer(self, request: web.Request) -> web.Response:
        """Answer a peer with what it does not know."""
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
        orders = self._view.evacuations
        known = PeerState(
            state,
            runners,
            self._view.state_revision,
            self._view.runners_revision,
            self._view.ages(),
            self._crashes.newest_notes(),
            orders.view if orders.version > evacuations_revision else None,
            orders.version,
        )
        packed = zlib.compress(msgspec.msgpack.encode(known), PACKING_LEVEL)
        return web.Response(body=self._seal.sign(packed))

    async def _fetch(self, address: str, *, is_zone_told: bool) -> None:
        try:
            found = await self._ask(address)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            log_event(Event.PEER_STATE_MISSED, peer=address, reason=repr(error))
            return
        except WireError as error:
            log_event(Event.DATAGRAM_REFUSED, peer=address, step=error.step)
            return
        finally:
            self._asked.discard(address)
        if found.evacuations is not None:
            self._view.apply_evacuations(
                found.evacuations, source=address, is_zone_told=is_zone_told
            )
        if found.state is not None:
            self._view.apply_state(
                found.state, source=address, is_zone_told=is_zone_told
            )
        if found.runners is not None:
            self._view.apply_runners(
                found.runners, source=address, is_zone_told=is_zone_told
            )
        self._view.hear_ages(
            found.ages,
            state_revision=found.state_revision,
            runners_revision=found.runners_revision,
            evacuations_version=found.evacuations_version,
        )
        self._crashes.merge_notes(found.crashes)

    async def _ask(self, address: str) -> PeerState:
        if self._session is None:
            message = "the peers' session is closed"
            raise ValueError(message)
        async with self._session.get(
            f"http://{address}{STATE_PATH}",
            params={
                "state": str(self._view.state_revision),
                "runners": str(self._view.runners_revision),
                "evacuations": str(self._view.evacuations.view.revision),
            },
            timeout=aiohttp.ClientTimeout(
                total=FETCH_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
            ),
        ) as response:
            response.raise_for_status()
            packed = self._seal.open(await response.read(), peer=address)
        return msgspec.msgpack.decode(_unpack(packed, address), type=PeerState)


def _unpack(packed: bytes, address: str) -> bytes:
    try:
        return zlib.decompress(packed, bufsize=UNPACKED_BYTES)
    except zlib.error as error:
        raise WireError(step="unpack_state", peer=address, reason=str(error)) from error
