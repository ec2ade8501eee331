"""HTTP endpoints for operators: metrics, status and routing decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_node.metrics_page import metrics_response

if TYPE_CHECKING:
    from clementineyoke_node.edge.edge_io import EdgeIo
    from clementineyoke_node.node_state import NodeState

METRICS_PATH = "/metrics"


class OperatorApi:
    """Serve the operators' endpoints on the control port, which callers do not know."""

    def __init__(self, *, state: NodeState, io: EdgeIo) -> None:
        self._state = state
        self._io = io

    def add_routes(self, app: web.Application) -> None:
        """Register the endpoints."""
        app.router.add_get(METRICS_PATH, self._metrics)
        app.router.add_get("/status", self._status)
        app.router.add_get("/explain", self._explain)

    async def _metrics(self, request: web.Request) -> web.Response:
        metrics, io = self._state.metrics, self._io
        metrics.in_flight.set({}, self._state.in_flight.count)
        metrics.settings_version.set({}, io.view.state_revision)
        metrics.store_calls.set({}, io.store.calls)
        for kind, sent in io.socket.sent_bytes.items():
            metrics.control_sent_bytes.set({"kind": kind}, sent)
        for runner_id, in_use in io.slot_home.loads().items():
            metrics.runner_slots.set({"runner": runner_id}, in_use)
        io.token_accounting.set_gauges(metrics, io.slot_home.loads())
        io.speed_exchange.update_metrics(metrics)
        return metrics_response(request, metrics)

    async def _status(self, request: web.Request) -> web.Response:
        state, io = self._state, self._io
        members = state.membership
        status = {
            "node": state.config.node_id,
            "state_revision": io.view.state_revision,
            "runners_revision": io.view.runners_revision,
            "evacuated_zones": state.table.evacuated_zones(),
            "in_flight": state.in_flight.count,
            "nodes": {
                node.node_id: members.state(node.node_id).name.lower()
                for node in members.nodes()
            },
            "runners": {
                entry.runner.runner_id: entry.state.value
                for entry in state.table.entries()
            },
            "runner_versions": {
                entry.runner.runner_id: entry.runner.version
                for entry in state.table.entries()
            },
            "backed_off": [
                entry.runner.runner_id
                for entry in state.table.entries()
                if state.table.is_backed_off(entry.runner)
            ],
            "unreachable_pools": sorted(io.runner_reach.isolated_pools),
            "rejection_limits": io.brittle_pools.limits(now_ms=io.timers.now_ms()),
            "homed_slots": io.slot_home.loads(),
            "pressure": io.admission.status(now_ms=io.timers.now_ms()),
        }
        return web.json_response(status)

    async def _explain(self, request: web.Request) -> web.Response:
        found = self._state.decisions.find(request.query.get("id", ""))
        return web.json_response({"decisions": found})
