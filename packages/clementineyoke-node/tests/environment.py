from __future__ import annotations

import asyncio
import logging

from clementineyoke_wire.log_sink import configure_stream_logging


def before_all(context):
    configure_stream_logging("CRITICAL")
    # Scenarios truncate responses on purpose; aiohttp logs each abort with a traceback.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.run = context.runner.run

    context.add_cleanup(context.runner.close)
