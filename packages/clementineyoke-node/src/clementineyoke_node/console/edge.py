"""Run one node on the users' platform until it is told to stop."""

from __future__ import annotations

import signal


def main() -> None:
    """Make the start safe from signals, then load the node and run it.

    The platform may say that the settings have changed while a process loads its
    modules, which takes some tenths of a second. Python's default would end the process
    there, seen as a node that ends by itself with -1. What the signal tells is read
    anyway: the settings come after this, and the file is looked at every few seconds.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Here and not above: this is what takes the time.
    from clementineyoke_node.console import edge_process

    edge_process.run()


if __name__ == "__main__":
    main()
