"""The first moment of a process: its doors, and orders that come before it is ready.

Nothing but the socket module is imported here: all else takes the tenths of a second
that this module is there to bridge.
"""

from __future__ import annotations

import signal
import socket

DOORS_OPTION = "--doors="
BACKLOG = 512
"""Connections that may wait on a door: a node has some tens of callers a second."""


class EarlyStart:
    """Own the listening sockets until the node takes them, and remember a stop.

    When all nodes are killed, callers that come back are refused until the first node
    listens; a node that opened its doors after its modules were loaded did so some
    tenths of a second after its start. Callers whose connections wait in the door's
    queue meanwhile are answered late; those that were refused twice were not answered
    at all.
    """

    def __init__(self, *, addresses: list[str]) -> None:
        self._addresses = addresses
        self._sockets: dict[str, socket.socket] = {}
        self.is_stop_ordered = False
        """Whether the platform ordered a stop before the node could take the order."""

    def __enter__(self) -> EarlyStart:
        """Open the doors; from now on no signal ends the process."""
        # What a change of the settings tells is read anyway: the settings come later.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, self._note_stop)
        for address in self._addresses:
            self._open(address)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the doors that nobody took."""
        for door in self._sockets.values():
            door.close()

    def take(self, address: str) -> socket.socket | None:
        """Return the door at IP:PORT, or None if it could not be opened early."""
        return self._sockets.pop(address, None)

    def _note_stop(self, *signal_info: object) -> None:
        self.is_stop_ordered = True

    def _open(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        door = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            door.bind((host, int(port)))
            door.listen(BACKLOG)
            door.setblocking(False)
        except (OSError, ValueError):
            # The node opens it as its settings say, and then tells what is wrong.
            door.close()
            return
        self._sockets[address] = door


def door_addresses(words: list[str]) -> list[str]:
    """Return the IP:PORT of each door that the command line names."""
    named: list[str] = []
    for word in words:
        if word.startswith(DOORS_OPTION):
            named += word.removeprefix(DOORS_OPTION).split(",")
    return sorted({address for address in named if address})
