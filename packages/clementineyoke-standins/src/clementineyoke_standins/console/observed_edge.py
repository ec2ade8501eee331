"""Node process of tests, which prints some of the messages that it receives."""

from __future__ import annotations

import json
import signal
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from clementineyoke_node.peers.peer_socket import PeerMessage

SLOT_ASK = "slot_ask"
STREAM_NEWS = "stream_news"


def main() -> None:
    """Run the node, and print what it is asked for and told among its log lines.

    These are the requests for slots, and the keys of the streams that it is told of.
    """
    # Like the product's entry point, before any import that takes long to load.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from clementineyoke_node.console import edge
    from clementineyoke_node.edge.streams.stream_registry import StreamRegistry
    from clementineyoke_node.slots.slot_home import SlotHome

    receive_ask, receive_news = SlotHome._receive_ask, StreamRegistry._receive_news

    def observe_ask(home: SlotHome, received: PeerMessage) -> None:
        _print({SLOT_ASK: received.message._asdict()})
        receive_ask(home, received)

    def observe_news(registry: StreamRegistry, received: PeerMessage) -> None:
        _print({STREAM_NEWS: [note.key for note in received.message.notes]})
        receive_news(registry, received)

    SlotHome._receive_ask = observe_ask  # type: ignore[assignment, method-assign]
    StreamRegistry._receive_news = observe_news  # type: ignore[assignment, method-assign]
    edge.main()


def _print(message: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
