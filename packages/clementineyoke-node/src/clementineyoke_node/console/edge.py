"""Run one node on the users' platform until it is told to stop."""

from __future__ import annotations

import sys

from clementineyoke_node.console.early_start import EarlyStart, door_addresses


def main() -> None:
    """Open the doors and make the start safe from signals, then load the node.

    Loading takes some tenths of a second. Python's defaults would let a signal end the
    process meanwhile, seen as a node that ends by itself with -1 or -15.
    """
    with EarlyStart(addresses=door_addresses(sys.argv[1:])) as start:
        # Here and not above: this is what takes the time.
        from clementineyoke_node.console import edge_process

        edge_process.run(start)


if __name__ == "__main__":
    main()
