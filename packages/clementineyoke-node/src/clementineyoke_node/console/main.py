"""``clementineyoke-node``: parse the arguments and run one node."""

from __future__ import annotations

import signal
import sys

import fire
from aiomisc import entrypoint

from clementineyoke_node.config.config_error import ConfigError
from clementineyoke_node.config.node_config import load_node_config
from clementineyoke_node.node_service import NodeService
from clementineyoke_wire.log_sink import configure_stream_logging

EXIT_BAD_CONFIG = 2
SHUTDOWN_SLACK_S = 30.0
MS_PER_S = 1000.0


def run(config: str) -> None:
    """Run a node until it is stopped.

    Args:
        config: Path of the node's settings file (JSON with comments).

    """
    try:
        node_config = load_node_config(config)
    except ConfigError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_BAD_CONFIG) from error
    configure_stream_logging(node_config.log_level)
    service = NodeService(config=node_config)
    max_stop_s = (node_config.stop_deadline_ms + node_config.stop_linger_ms) / MS_PER_S
    # aiomisc's own signal handling may stop the loop from a callback while the loop is
    # being closed; a graceful stop then ends with a traceback and exit code 1.
    with entrypoint(
        service,
        log_config=False,
        catch_signals=(),
        shutdown_timeout=max_stop_s + SHUTDOWN_SLACK_S,
    ) as loop:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, service.request_stop)
        loop.run_until_complete(service.wait_for_stop_request())


def main() -> None:
    """Run the command line."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
