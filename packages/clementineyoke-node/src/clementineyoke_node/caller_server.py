"""The HTTP application for callers, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.placement_token import PlacementTokenCodec
from clementineyoke_core.resume_token import ResumeTokenCodec
from clementineyoke_core.steering import Steering
from clementineyoke_core.token_signer import TokenSigner
from clementineyoke_node.callers.address_handler import AddressHandler
from clementineyoke_node.callers.authenticator import Authenticator
from clementineyoke_node.callers.chat_handler import CHAT_PATH, ChatHandler
from clementineyoke_node.callers.dispatcher import Dispatcher
from clementineyoke_node.callers.gate import Gate
from clementineyoke_node.callers.resume_handler import STREAMS_PATH, ResumeHandler
from clementineyoke_node.callers.service_handler import ServiceHandler
from clementineyoke_node.limits.team_limiter import TeamLimiter

if TYPE_CHECKING:
    from clementineyoke_node.config.node_config import NodeConfig
    from clementineyoke_node.node_io import NodeIo
    from clementineyoke_node.node_state import NodeState

SERVICE_ROUTE = "/v1/services/{service}/{path:.*}"
ADDRESSES_PATH = "/v1/addresses"


class CallerServer:
    """Own the gate and the handlers behind it."""

    def __init__(self, *, config: NodeConfig, state: NodeState, io: NodeIo) -> None:
        self._max_body_bytes = config.max_body_bytes
        authenticator = Authenticator(settings=io.keeper)
        limiter = TeamLimiter(
            membership=state.membership,
            homes=state.fleet_homes,
            settings=io.keeper,
            socket=io.socket,
            timers=io.timers,
            timeout_ms=config.share_timeout_ms,
        )
        self.gate = Gate(
            authenticator=authenticator,
            limiter=limiter,
            in_flight=state.in_flight,
            timers=io.timers,
            decisions=state.decisions,
            on_outcome=state.metrics.record_outcome,
        )
        dispatcher = Dispatcher(
            broker=io.broker,
            client=io.client,
            table=state.table,
            timers=io.timers,
            decisions=state.decisions,
        )
        signer = TokenSigner(keys=config.peer_keys)
        placements = PlacementTokenCodec(signer=signer)
        resumes = ResumeTokenCodec(signer=signer)
        self._chats = ChatHandler(
            authenticator=authenticator,
            dispatcher=dispatcher,
            placements=placements,
            resumes=resumes,
        )
        self._resumes = ResumeHandler(
            tokens=resumes,
            table=state.table,
            broker=io.broker,
            client=io.client,
            timers=io.timers,
            decisions=state.decisions,
        )
        self._services = ServiceHandler(
            authenticator=authenticator, dispatcher=dispatcher, claims=io.claims
        )
        self._addresses = AddressHandler(
            membership=state.membership,
            homes=state.region_homes,
            rings=state.rings,
            steering=Steering(),
            settings=io.keeper,
            tokens=placements,
        )

    def application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=self._max_body_bytes)
        guard = self.gate.guard
        app.router.add_post(CHAT_PATH, guard(self._chats.handle))
        app.router.add_get(STREAMS_PATH, guard(self._resumes.handle))
        app.router.add_get(ADDRESSES_PATH, guard(self._addresses.handle))
        app.router.add_route("*", SERVICE_ROUTE, guard(self._services.handle))
        return app

    async def wait_for_runs(self) -> None:
        """Wait for the non-idempotent runs whose callers went away."""
        await self._services.wait_for_runs()
