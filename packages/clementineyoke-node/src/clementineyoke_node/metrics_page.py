"""The metrics page, shared by the operator interfaces of both kinds of nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from clementineyoke_node.metrics import Metrics


def metrics_response(request: web.Request, metrics: Metrics) -> web.Response:
    """Return the metrics in the format that the scraper accepts."""
    accept = request.headers.getall("Accept", [])
    content, content_headers = render(metrics.registry, accept)
    return web.Response(body=content, headers=content_headers)
