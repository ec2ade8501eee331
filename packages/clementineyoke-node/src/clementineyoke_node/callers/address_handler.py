"""Lists the nodes that a caller should connect to: ``GET /v1/addresses``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.chat_key import chat_key
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.placement_token import ChatScope
from clementineyoke_wire import headers
from clementineyoke_wire.bodies import AddressBody, AddressesBody

if TYPE_CHECKING:
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.placement_token import PlacementTokenCodec
    from clementineyoke_core.pool_rings import PoolRings
    from clementineyoke_core.runner_homes import RunnerHomes
    from clementineyoke_core.steering import Steering
    from clementineyoke_node.callers.caller_request import CallerRequest
    from clementineyoke_node.settings.settings_replica import SettingsReplica


class AddressHandler:
    """Return the nodes that serve a team, or one of its chats, at the lowest cost."""

    def __init__(
        self,
        *,
        membership: Membership,
        homes: RunnerHomes,
        rings: PoolRings,
        steering: Steering,
        settings: SettingsReplica,
        tokens: PlacementTokenCodec,
    ) -> None:
        self._membership = membership
        self._homes = homes
        self._rings = rings
        self._steering = steering
        self._settings = settings
        self._tokens = tokens

    async def handle(
        self, request: web.Request, caller: CallerRequest
    ) -> web.StreamResponse:
        """Return the nodes in order of preference.

        With ``?model=`` and the chat's id in the headers, the home node of the
        chat's runner comes first.
        """
        team = caller.team_path
        region = self._membership.local_node.region
        selection = self._steering.choose_nodes(
            team=team,
            team_rate_per_s=self._settings.log.tree.value(team, "rate_per_s"),
            alive=self._membership.alive(region=region),
            chat_home=self._find_chat_home(request, team),
            rotation=hash_text(caller.request_id),
        )
        body = AddressesBody(
            addresses=[
                AddressBody(
                    node_id=node.node_id,
                    address=node.address,
                    port=node.caller_port,
                    availability_zone=node.availability_zone,
                )
                for node in selection.nodes
            ],
            keep_ms=selection.keep_ms,
        )
        return web.json_response(body)

    def _find_chat_home(self, request: web.Request, team: str) -> str | None:
        model = request.query.get("model", "")
        chat_id = request.headers.get(headers.CHAT_ID)
        if not model or not chat_id:
            return None
        key = chat_key(team=team, model=model, chat_id=chat_id, prompt="")
        token = request.headers.get(headers.PLACEMENT, "")
        runner_id = self._tokens.read(ChatScope(team, model, key), token)
        if not self._rings.has_ready(model, runner_id):
            runner_id = next(self._rings.order(model, key), None)
        return None if runner_id is None else self._homes.home_of(runner_id)
