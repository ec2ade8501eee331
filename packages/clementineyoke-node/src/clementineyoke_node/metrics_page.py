"""The page of a node's metrics, the same on both of its interfaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from clementineyoke_node.metrics import Metrics


def answer_with_metrics(request: web.Request, metrics: Metrics) -> web.Response:
    """Answer in the form that the scraper asks for."""
    accept = request.headers.getall("Accept", [])
    content, content_headers = render(metrics.registry, accept)
    return web.Response(body=content, headers=content_headers)
