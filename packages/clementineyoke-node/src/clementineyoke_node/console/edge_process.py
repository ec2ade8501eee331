"""Runs one node on the users' platform, from loading its settings to shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from clementineyoke_node.config.config_error import ConfigError
from clementineyoke_node.config.config_file import (
    ConfigFile,
    load_config_with_retries,
)
from clementineyoke_node.edge.edge_service import EdgeService
from clementineyoke_node.platform.names import SETTINGS_FILE_VARIABLE
from clementineyoke_wire.log_sink import configure_stdout_logging

if TYPE_CHECKING:
    from clementineyoke_node.config.edge_config import EdgeConfig
    from clementineyoke_node.console.early_start import EarlyStart

EXIT_BAD_CONFIG = 2
INITIAL_LOG_LEVEL = "INFO"
"""In force until the settings are read; until then log lines carry the process id."""
SETTINGS_CHECK_INTERVAL_MS = 5_000
"""Interval of checks for a settings file that was modified without a signal."""


def run(start: EarlyStart) -> None:
    """Load the settings that the platform wrote, and serve until stopped."""
    path = os.environ.get(SETTINGS_FILE_VARIABLE, "")
    configure_stdout_logging(INITIAL_LOG_LEVEL, node=str(os.getpid()))
    try:
        config = load_config_with_retries(path)
    except ConfigError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_BAD_CONFIG) from error
    configure_stdout_logging(config.log_level, node=config.node_id)
    uvloop.run(_serve(config, path, start))
    _ignore_signals()


def _ignore_signals() -> None:
    """Ignore signals during interpreter shutdown.

    At exit the interpreter restores the default handlers of handled signals, but not of
    ignored ones, and then takes a tenth of a second to unload its modules. A signal in
    that time would make a graceful stop look like a killed process.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


async def _serve(config: EdgeConfig, path: str, start: EarlyStart) -> None:
    loop = asyncio.get_running_loop()
    service = EdgeService(config=config, take_listener=start.take_listener)
    config_file = ConfigFile(path=path, config=config, on_change=service.apply_config)
    # Set before any call is accepted: with the default handlers a signal would end the
    # process and abort its calls.
    loop.add_signal_handler(signal.SIGTERM, service.request_stop)
    loop.add_signal_handler(signal.SIGINT, service.request_stop)
    loop.add_signal_handler(signal.SIGHUP, config_file.reload)
    if start.is_stop_requested:
        service.request_stop()
    async with service:
        service.io.timers.subscribe(
            "settings",
            interval_ms=SETTINGS_CHECK_INTERVAL_MS,
            callback=config_file.reload_if_modified,
        )
        await service.run_until_stopped()
