from __future__ import annotations

import asyncio
import logging
import tempfile
from pathlib import Path

from clementineyoke_wire.log_sink import configure_stream_logging


def before_all(context):
    configure_stream_logging("CRITICAL")
    logging.getLogger("aiohttp.access").setLevel(logging.ERROR)


def before_scenario(context, scenario):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)
    context.async_runner = asyncio.Runner()
    context.add_cleanup(context.async_runner.close)
    context.env = {}
