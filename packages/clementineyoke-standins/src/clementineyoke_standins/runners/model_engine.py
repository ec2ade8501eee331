"""Fake model engine with batching, prefix cache, resumable streams and faults."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from aiohttp import web

from clementineyoke_standins.runners.prefix_cache import PrefixCache
from clementineyoke_standins.runners.retained_stream import RETENTION_S, RetainedStream
from clementineyoke_standins.runners.standin_runner import StandinRunner
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

CHARACTERS_PER_MS = 40.0
"""Prefill speed for the part of a prompt that is not cached."""
TOKEN_MS = 4.0
"""Time per token on an otherwise idle engine."""
DEFAULT_TOKENS = 8
CACHE_CHARACTERS = 400_000


class ModelEngine(StandinRunner):
    """Responds to chats; tokens take longer the more requests are running."""

    def __init__(self, *, runner_id: str, slots: int) -> None:
        super().__init__(runner_id=runner_id)
        self._slots = slots
        self._cache = PrefixCache(capacity_characters=CACHE_CHARACTERS)
        self._running = 0
        self._streams: dict[str, RetainedStream] = {}
        self.stats: Counter[str] = Counter()
        self.peak_running = 0

    def describe(self) -> dict[str, Any]:
        """Return counts of chats, tokens, prompt characters and running requests."""
        running = {"running": self._running, "peak_running": self.peak_running}
        return {**self.stats, **running}

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/v1/chat/completions", self._handle_chat)
        router.add_get("/v1/streams/{request_id}", self._handle_resume)

    async def _handle_chat(self, request: web.Request) -> web.StreamResponse:
        if self.faults.draining:
            self.stats["turned_away"] += 1
            response_headers = {**self._headers(request), headers.DRAINING: "1"}
            return web.json_response(
                {"error": "leaving"}, status=503, headers=response_headers
            )
        body = await request.json()
        self.last_start_s = time.time()
        self.stats["chats"] += 1
        try:
            return await self._respond(request, body)
        except (asyncio.CancelledError, ConnectionError):
            self.stats["cancelled"] += 1
            raise

    @contextmanager
    def _count_running(self) -> Iterator[None]:
        self._running += 1
        self.peak_running = max(self.peak_running, self._running)
        try:
            yield
        finally:
            self._running -= 1

    async def _respond(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        await asyncio.sleep(self.faults.stall_ms / 1000)
        prompt = "\n".join(str(m["content"]) for m in body["messages"])
        cached = self._cache.use(str(body.get("user", prompt[:256])), prompt)
        self.stats["prompt_characters"] += len(prompt)
        self.stats["cached_characters"] += cached
        await asyncio.sleep((len(prompt) - cached) / CHARACTERS_PER_MS / 1000)
        if self._inject_disconnect(request, "break_before"):
            return web.Response()
        tokens = int(body.get("max_tokens", DEFAULT_TOKENS))
        if body.get("stream"):
            padding = "x" * int(body.get("pad_characters", 0))
            return await self._respond_streamed(request, tokens, padding)
        return await self._respond_complete(request, tokens, prompt)

    async def _respond_complete(
        self, request: web.Request, tokens: int, prompt: str
    ) -> web.StreamResponse:
        with self._count_running():
            text = "".join([word async for word in self._generate(request, tokens)])
        body = {
            "object": "chat.completion",
            "choices": [{"message": {"role": "assistant", "content": text}}],
            "usage": {"prompt_characters": len(prompt), "completion_tokens": tokens},
        }
        return web.json_response(body, headers=self._headers(request))

    async def _respond_streamed(
        self, request: web.Request, tokens: int, padding: str
    ) -> web.StreamResponse:
        request_id = request.headers.get(headers.REQUEST_ID, "")
        stream = RetainedStream()
        is_resumable = headers.RESUMABLE in request.headers
        generation = asyncio.create_task(
            self._produce_stream(request, stream, tokens, padding)
        )
        if is_resumable:
            self._streams[request_id] = stream
            generation.add_done_callback(lambda _: self._schedule_removal(request_id))
        abort_at = tokens // 2 if self.faults.break_after else -1
        try:
            return await self._send_stream(request, stream, offset=0, abort_at=abort_at)
        finally:
            if not is_resumable:
                generation.cancel()

    async def _handle_resume(self, request: web.Request) -> web.StreamResponse:
        stream = self._streams.get(request.match_info["request_id"])
        if stream is None:
            response_headers = self._headers(request)
            return web.json_response(
                {"error": "gone"}, status=404, headers=response_headers
            )
        self.stats["resumed"] += 1
        return await self._send_stream(
            request, stream, offset=int(request.query["after"])
        )

    async def _send_stream(
        self,
        request: web.Request,
        stream: RetainedStream,
        *,
        offset: int,
        abort_at: int = -1,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._headers(request))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        index = 0
        with stream.reader():
            async for chunk in stream.read_from(offset):
                await response.write(chunk)
                if index == abort_at and self._inject_disconnect(
                    request, "break_after"
                ):
                    return response
                index += 1
        await response.write_eof()
        return response

    async def _produce_stream(
        self, request: web.Request, stream: RetainedStream, tokens: int, padding: str
    ) -> None:
        with self._count_running():
            async for word in self._generate(request, tokens):
                delta = {"content": word + padding}
                chunk = json.dumps({"choices": [{"delta": delta}]})
                await stream.add(f"data: {chunk}\n\n".encode())
                if stream.last_read_s and stream.is_abandoned():
                    self.stats["abandoned"] += 1
                    break
            else:
                if not self._consume_fault("no_end_mark"):
                    await stream.add(b"data: [DONE]\n\n")
        await stream.end()

    def _schedule_removal(self, request_id: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(RETENTION_S, self._streams.pop, request_id, None)

    async def _generate(self, request: web.Request, tokens: int) -> AsyncIterator[str]:
        # Each word contains the request id, so that callers detect mixed-up responses.
        request_id = request.headers.get(headers.REQUEST_ID, "?")
        for index in range(tokens):
            await asyncio.sleep(TOKEN_MS * (1 + self._running / self._slots) / 1000)
            self.stats["tokens"] += 1
            yield f"{request_id}:{index} "

    def _headers(self, request: web.Request) -> dict[str, str]:
        echoed_id = request.headers.get(headers.REQUEST_ID, "")
        if self._consume_fault("crossed"):
            echoed_id = "someone-else"
        return {headers.REQUEST_ID: echoed_id}

    def _inject_disconnect(self, request: web.Request, name: str) -> bool:
        if not self._consume_fault(name):
            return False
        if request.transport is not None:
            request.transport.abort()
        return True

    def _consume_fault(self, name: str) -> bool:
        remaining = getattr(self.faults, name)
        if remaining <= 0:
            return False
        setattr(self.faults, name, remaining - 1)
        return True
