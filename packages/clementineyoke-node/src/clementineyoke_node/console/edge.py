"""Run one node on the users' platform until it is stopped."""

from __future__ import annotations

import sys

from clementineyoke_node.console.early_start import EarlyStart, listener_addresses


def main() -> None:
    """Open the listening sockets, handle signals, then load and run the node.

    Loading takes some tenths of a second. With Python's default handlers a signal would
    end the process in that time, with exit status -1 or -15.
    """
    with EarlyStart(addresses=listener_addresses(sys.argv[1:])) as start:
        # Imported here because loading this module takes most of the startup time.
        from clementineyoke_node.console import edge_process

        edge_process.run(start)


if __name__ == "__main__":
    main()
