"""Opens listening sockets and handles stop signals before the node is loaded.

Only the signal and socket modules are imported here: importing the node takes some
tenths of a second, and this module covers that time.
"""

from __future__ import annotations

import signal
import socket

LISTENERS_OPTION = "--doors="
BACKLOG = 512
"""Connections that may wait on a listener; a node has some tens of callers a second."""


class EarlyStart:
    """Own the listening sockets until the node takes them, and record a stop signal.

    After all nodes were killed, returning callers are refused until the first node
    listens. If the sockets were opened after the modules were loaded, that would take
    some tenths of a second longer. Callers whose connections wait in the backlog are
    answered late; callers that are refused twice are not answered at all.
    """

    def __init__(self, *, addresses: list[str]) -> None:
        self._addresses = addresses
        self._sockets: dict[str, socket.socket] = {}
        self.is_stop_requested = False
        """Whether a stop was requested before the node could handle the signal."""

    def __enter__(self) -> EarlyStart:
        """Open the sockets; from here on SIGHUP and SIGTERM do not end the process."""
        # A change before the settings are read is not missed. One between that and the
        # creation of ``ConfigFile``, which records the file's time, goes unnoticed.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        for address in self._addresses:
            self._open_listener(address)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the sockets that were not taken."""
        for listener in self._sockets.values():
            listener.close()

    def take_listener(self, address: str) -> socket.socket | None:
        """Return the socket for IP:PORT, or None if it could not be opened early."""
        return self._sockets.pop(address, None)

    def _on_stop_signal(self, *signal_info: object) -> None:
        self.is_stop_requested = True

    def _open_listener(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, int(port)))
            listener.listen(BACKLOG)
            listener.setblocking(False)
        except (OSError, ValueError):
            # The node opens the socket again from its settings and reports the error.
            listener.close()
            return
        self._sockets[address] = listener


def listener_addresses(arguments: list[str]) -> list[str]:
    """Return the IP:PORT of each listener that the command line names."""
    addresses: list[str] = []
    for argument in arguments:
        if argument.startswith(LISTENERS_OPTION):
            addresses += argument.removeprefix(LISTENERS_OPTION).split(",")
    return sorted({address for address in addresses if address})
