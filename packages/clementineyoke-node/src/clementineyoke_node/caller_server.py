"""Assembles the HTTP application for callers."""

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
    """Own the request gate and the handlers that it wraps."""

    def __init__(self, *, config: NodeConfig, state: NodeState, io: NodeIo) -> None:
        self._max_body_bytes = config.max_body_bytes
        authenticator = Authenticator(settings=io.settings)
        limiter = TeamLimiter(
            membership=state.membership,
            homes=state.fleet_homes,
            settings=io.settings,
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
            on_unexpected_error=state.metrics.record_unexpected_error,
        )
        dispatcher = Dispatcher(
            broker=io.broker,
            client=io.client,
            table=state.table,
            timers=io.timers,
            decisions=state.decisions,
        )
        signer = TokenSigner(keys=config.peer_keys)
        placement_tokens = PlacementTokenCodec(signer=signer)
        resume_tokens = ResumeTokenCodec(signer=signer)
        self._chat_handler = ChatHandler(
            authenticator=authenticator,
            dispatcher=dispatcher,
            placement_tokens=placement_tokens,
            resume_tokens=resume_tokens,
        )
        self._resume_handler = ResumeHandler(
            tokens=resume_tokens,
            table=state.table,
            broker=io.broker,
            client=io.client,
            timers=io.timers,
            decisions=state.decisions,
        )
        self._service_handler = ServiceHandler(
            authenticator=authenticator, dispatcher=dispatcher, claims=io.claims
        )
        self._address_handler = AddressHandler(
            membership=state.membership,
            homes=state.region_homes,
            rings=state.rings,
            steering=Steering(),
            settings=io.settings,
            tokens=placement_tokens,
        )

    def application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=self._max_body_bytes)
        guard = self.gate.guard
        app.router.add_post(CHAT_PATH, guard(self._chat_handler.handle))
        app.router.add_get(STREAMS_PATH, guard(self._resume_handler.handle))
        app.router.add_get(ADDRESSES_PATH, guard(self._address_handler.handle))
        app.router.add_route("*", SERVICE_ROUTE, guard(self._service_handler.handle))
        return app

    async def wait_for_runs(self) -> None:
        """Wait for non-idempotent runs whose callers have disconnected."""
        await self._service_handler.wait_for_runs()
