"""Caller like those of the users: resolves addresses, caches them and connects."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from clementineyoke_wire import headers

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_standins.demo.caller_tally import CallerTally
    from clementineyoke_standins.demo.deployment import Deployment

TIMEOUT_S = 20.0
MAX_ATTEMPTS = 6
MAX_RESUME_ATTEMPTS = 3
STATUS_OK = 200
REPEAT_SHARE = 0.15
"""Share of answered score posts that are repeated through another node."""


class CachedAddresses(NamedTuple):
    """Resolved node addresses and the monotonic time at which they expire."""

    addresses: list[tuple[str, int]]
    expires_at_s: float


class ResponseBody(NamedTuple):
    """Bytes received of a response, and whether it was received completely."""

    body: bytes
    error: str
    is_complete: bool


class Chat:
    """A chat whose prompt grows with each turn."""

    def __init__(self, *, team: str, chat_id: str, rng: Random) -> None:
        self.team = team
        self.chat_id = chat_id
        self.placement = ""
        self.text = "".join(rng.choices("abcdefgh ", k=rng.randint(400, 4000)))


class DemoCaller:
    """Sends chats and score posts for all teams of a deployment."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        bootstrap: list[tuple[str, int]],
        session: aiohttp.ClientSession,
        tally: CallerTally,
        rng: Random,
    ) -> None:
        self._deployment = deployment
        self._bootstrap = bootstrap
        self._session = session
        self._tally = tally
        self._rng = rng
        self._cached_addresses: dict[tuple[str, str], CachedAddresses] = {}

    async def send_chat(self, chat: Chat) -> None:
        """Send the next turn of a chat, with retries until the response is complete."""
        chat.text += f" turn {self._rng.randint(0, 999)}"
        body = {
            "model": self._deployment.model,
            "stream": True,
            "user": chat.chat_id,
            "max_tokens": self._rng.randint(20, 140),
            "messages": [{"role": "user", "content": chat.text}],
        }
        started_s = time.monotonic()
        for attempt in range(MAX_ATTEMPTS):
            address = await self._choose_address(
                chat.team, chat.chat_id, attempt, chat.placement
            )
            if await self._try_chat(address, chat, body):
                self._tally.latencies_s.append(time.monotonic() - started_s)
                return
        self._tally.outcomes["chat_given_up"] += 1

    async def post_score(self, team: str, mark: str) -> None:
        """Post a score; retry with its idempotency key until the outcome is known."""
        for attempt in range(MAX_ATTEMPTS):
            outcome = await self._try_post(
                await self._choose_address(team, "", attempt), team, mark
            )
            if outcome == "ran":
                self._tally.not_run_marks.discard(mark)
                self._tally.outcomes["post_ran"] += 1
                break
            if outcome == "not_run":
                self._tally.not_run_marks.add(mark)
            elif outcome == "unknown":
                self._tally.not_run_marks.discard(mark)
        else:
            self._tally.outcomes["post_unsettled"] += 1
            return
        if self._rng.random() < REPEAT_SHARE:
            address = self._rng.choice(self._bootstrap)
            self._tally.repeated_posts += 1
            await self._try_post(address, team, mark)

    async def _try_chat(
        self, address: tuple[str, int], chat: Chat, body: dict[str, Any]
    ) -> bool:
        url = f"http://{address[0]}:{address[1]}/v1/chat/completions"
        request_headers = {
            **self._auth_headers(chat.team),
            headers.CHAT_ID: chat.chat_id,
            headers.PLACEMENT: chat.placement,
            headers.RESUMABLE: "1",
        }
        received = ResponseBody(b"", "", False)
        try:
            async with self._session.post(
                url, json=body, headers=request_headers
            ) as response:
                received = await _read_body(response)
        except (aiohttp.ClientError, TimeoutError):
            self._tally.outcomes["chat_no_connection"] += 1
            self._drop_first_address(chat.team, chat.chat_id)
            return False
        if response.status != STATUS_OK:
            self._tally.outcomes[f"chat_{json.loads(received.body)['outcome']}"] += 1
            return False
        if not received.is_complete:
            self._tally.outcomes["chat_cut"] += 1
            self._tally.cut_streams_by_node[address[0]] += 1
            received = await self._resume(chat, address, received, response)
        if not received.is_complete:
            return False
        self._check_content(response, received.body.decode(), body["max_tokens"])
        chat.placement = response.headers[headers.PLACEMENT]
        self._tally.outcomes["chat_whole"] += 1
        return True

    async def _resume(
        self,
        chat: Chat,
        address: tuple[str, int],
        received: ResponseBody,
        response: aiohttp.ClientResponse,
    ) -> ResponseBody:
        """Resume an interrupted stream through other nodes."""
        request_headers = {
            **self._auth_headers(chat.team),
            headers.RESUME: response.headers[headers.RESUME],
        }
        others = [node for node in self._bootstrap if node != address]
        for host, port in self._rng.sample(others, MAX_RESUME_ATTEMPTS):
            url = f"http://{host}:{port}/v1/streams?after={len(received.body)}"
            try:
                async with self._session.get(
                    url, headers=request_headers
                ) as rest_response:
                    rest = await _read_body(rest_response)
            except (aiohttp.ClientError, TimeoutError):
                continue
            if rest_response.status == STATUS_OK and rest.is_complete:
                self._tally.outcomes["chat_resumed"] += 1
                return ResponseBody(received.body + rest.body, rest.error, True)
        return received

    def _check_content(
        self, response: aiohttp.ClientResponse, text: str, tokens: int
    ) -> None:
        request_id = response.headers[headers.REQUEST_ID]
        lines = [line for line in text.split("\n\n") if line.startswith("data: {")]
        words = [
            json.loads(line[6:])["choices"][0]["delta"]["content"] for line in lines
        ]
        if words != [f"{request_id}:{index} " for index in range(tokens)]:
            self._tally.mixed_up_responses += 1

    async def _try_post(self, address: tuple[str, int], team: str, mark: str) -> str:
        service = self._deployment.service
        url = f"http://{address[0]}:{address[1]}/v1/services/{service}/post"
        request_headers = {**self._auth_headers(team), headers.IDEMPOTENCY_KEY: mark}
        try:
            async with self._session.post(
                url, data=mark, headers=request_headers
            ) as response:
                body = await response.json()
        except aiohttp.ClientConnectorError:
            return "no_connection"
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return "unknown"
        if headers.REPEATED_ANSWER in response.headers:
            self._tally.stored_responses += 1
        if response.status == STATUS_OK and body.get("done") != mark:
            self._tally.mixed_up_responses += 1
        return response.headers.get(headers.OUTCOME, "unknown")

    async def _choose_address(
        self, team: str, chat_id: str, attempt: int, placement: str = ""
    ) -> tuple[str, int]:
        cached = self._cached_addresses.get((team, chat_id))
        if cached is None or cached.expires_at_s < time.monotonic():
            cached = await self._fetch_addresses(team, chat_id, placement)
            self._cached_addresses[team, chat_id] = cached
        return cached.addresses[attempt % len(cached.addresses)]

    async def _fetch_addresses(
        self, team: str, chat_id: str, placement: str
    ) -> CachedAddresses:
        request_headers = self._auth_headers(team)
        params = {}
        if chat_id:
            request_headers[headers.CHAT_ID] = chat_id
            request_headers[headers.PLACEMENT] = placement
            params["model"] = self._deployment.model
        for _ in range(MAX_ATTEMPTS):
            host, port = self._rng.choice(self._bootstrap)
            url = f"http://{host}:{port}/v1/addresses"
            try:
                async with self._session.get(
                    url, headers=request_headers, params=params
                ) as response:
                    body = await response.json()
            except (aiohttp.ClientError, TimeoutError, ValueError):
                continue
            if response.status == STATUS_OK and body["addresses"]:
                addresses = [(a["address"], a["port"]) for a in body["addresses"]]
                lifetime_s = body["keep_ms"] / 1000
                return CachedAddresses(addresses, time.monotonic() + lifetime_s)
        return CachedAddresses(self._bootstrap, time.monotonic())

    def _drop_first_address(self, team: str, chat_id: str) -> None:
        cached = self._cached_addresses.get((team, chat_id))
        if cached is not None and len(cached.addresses) > 1:
            self._cached_addresses[team, chat_id] = cached._replace(
                addresses=cached.addresses[1:]
            )

    def _auth_headers(self, team: str) -> dict[str, str]:
        key = f"{self._deployment.group}/{team}/demo-key-{team}"
        return {"Authorization": f"Bearer {key}"}


async def _read_body(response: aiohttp.ClientResponse) -> ResponseBody:
    body = b""
    try:
        async for chunk in response.content.iter_any():
            body += chunk
    except (aiohttp.ClientError, TimeoutError) as error:
        return ResponseBody(body, repr(error), False)
    return ResponseBody(body, "", True)
