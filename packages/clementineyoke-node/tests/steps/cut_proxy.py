"""A proxy that stops within the head of an answer and closes the connection."""

from __future__ import annotations

import asyncio
import contextlib

from clementineyoke_standins.edge.source_filter import reset_connection

HEAD_END = b"\r\n\r\n"


def cut_places(head):
    """Return how much of a head may be sent: in each line, but not all."""
    places = {0, 5, len("HTTP/1.1 20"), len("HTTP/1.1 200"), len("HTTP/1.1 200 O")}
    start = 0
    for line in head.splitlines(keepends=True):
        places |= {start + len(line) // 2, start + len(line) - 1, start + len(line)}
        start += len(line)
    return sorted(place for place in places if place < len(head))


class CutProxy:
    """Forward connections to a server, and cut the head of each answer on demand."""

    def __init__(self, address, port):
        self.target = (address, port)
        self.cut = None
        """Returns how much of a head is sent; None while nothing is cut."""
        self.resets = False
        """Whether a cut connection is reset, not closed in order."""
        self.cuts = 0
        self.heads = []
        self._writers = set()
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        self.drop()

    def drop(self):
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        server_reader, server_writer = await asyncio.open_connection(*self.target)
        forward = asyncio.ensure_future(self._forward(reader, server_writer))
        try:
            await self._answer(server_reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            forward.cancel()
            server_writer.close()
            writer.close()
            self._writers.discard(writer)

    async def _forward(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                writer.write(data)

    async def _answer(self, reader, writer):
        head = await reader.readuntil(HEAD_END)
        self.heads.append(head)
        if self.cut is None:
            writer.write(head)
            while data := await reader.read(65_536):
                writer.write(data)
            return
        self.cuts += 1
        writer.write(head[: self.cut(head)])
        await writer.drain()
        if self.resets:
            reset_connection(writer)
