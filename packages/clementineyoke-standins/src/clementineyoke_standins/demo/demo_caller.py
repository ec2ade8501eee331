"""A caller as the users write them: asks for addresses, keeps them, connects."""

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
"""Share of score posts that are repeated through another node though answered."""


class CachedAddresses(NamedTuple):
    """An address answer and until when it may be kept."""

    addresses: list[tuple[str, int]]
    expires_at_s: float


class ResponseBody(NamedTuple):
    """What came of an answer, and whether it ended in order."""

    body: bytes
    error: str
    is_complete: bool


class Chat:
    """One returning chat with its growing prompt."""

    def __init__(self, *, team: str, chat_id: str, rng: Random) -> None:
        self.team = team
        self.chat_id = chat_id
        self.placement = ""
        self.text = "".join(rng.choices("abcdefgh ", k=rng.randint(400, 4000)))


class DemoCaller:
    """Send chats and score posts for all teams of a deployment."""

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
        """Send the chat's next turn until it is answered whole."""
        chat.text += f" turn {self._rng.randint(0, 999)}"
        body = {
            "model": self._deployment.model,
            "stream": True,
            "user": chat.chat_id,
            "max_tokens": self._rng.randint(20, 140),
            "messages": [{"role": "user", "content": chat.text}],
        }
        began_s = time.monotonic()
        for attempt in range(MAX_ATTEMPTS):
            address = await self._address(
                chat.team, chat.chat_id, attempt, chat.placement
            )
            if await self._try_chat(address, chat, body):
                self._tally.latencies_s.append(time.monotonic() - began_s)
                return
        self._tally.outcomes["chat_given_up"] += 1

    async def post_score(self, team: str, mark: str) -> None:
        """Post a score once, repeating it with its key until its fate is known."""
        for attempt in range(MAX_ATTEMPTS):
            outcome = await self._try_post(
                await self._address(team, "", attempt), team, mark
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
            self._tally.repeats_elsewhere += 1
            await self._try_post(address, team, mark)

    async def _try_chat(
        self, address: tuple[str, int], chat: Chat, body: dict[str, Any]
    ) -> bool:
        url = f"http://{address[0]}:{address[1]}/v1/chat/completions"
        sent = {
            **self._auth(chat.team),
            headers.CHAT_ID: chat.chat_id,
            headers.PLACEMENT: chat.placement,
            headers.RESUMABLE: "1",
        }
        part = ResponseBody(b"", "", False)
        try:
            async with self._session.post(url, json=body, headers=sent) as answer:
                part = await _read(answer)
        except (aiohttp.ClientError, TimeoutError):
            self._tally.outcomes["chat_no_connection"] += 1
            self._drop_first_address(chat.team, chat.chat_id)
            return False
        if answer.status != STATUS_OK:
            self._tally.outcomes[f"chat_{json.loads(part.body)['outcome']}"] += 1
            return False
        if not part.is_complete:
            self._tally.outcomes["chat_cut"] += 1
            self._tally.cut_by_node[address[0]] += 1
            part = await self._resume(chat, address, part, answer)
        if not part.is_complete:
            return False
        self._check_content(answer, part.body.decode(), body["max_tokens"])
        chat.placement = answer.headers[headers.PLACEMENT]
        self._tally.outcomes["chat_whole"] += 1
        return True

    async def _resume(
        self,
        chat: Chat,
        address: tuple[str, int],
        part: ResponseBody,
        answer: aiohttp.ClientResponse,
    ) -> ResponseBody:
        """Ask other nodes for the rest of a stream that broke."""
        sent = {**self._auth(chat.team), headers.RESUME: answer.headers[headers.RESUME]}
        others = [node for node in self._bootstrap if node != address]
        for host, port in self._rng.sample(others, MAX_RESUME_ATTEMPTS):
            url = f"http://{host}:{port}/v1/streams?after={len(part.body)}"
            try:
                async with self._session.get(url, headers=sent) as rest_answer:
                    rest = await _read(rest_answer)
            except (aiohttp.ClientError, TimeoutError):
                continue
            if rest_answer.status == STATUS_OK and rest.is_complete:
                self._tally.outcomes["chat_resumed"] += 1
                return ResponseBody(part.body + rest.body, rest.error, True)
        return part

    def _check_content(
        self, answer: aiohttp.ClientResponse, text: str, tokens: int
    ) -> None:
        name = answer.headers[headers.REQUEST_ID]
        lines = [line for line in text.split("\n\n") if line.startswith("data: {")]
        words = [
            json.loads(line[6:])["choices"][0]["delta"]["content"] for line in lines
        ]
        if words != [f"{name}:{index} " for index in range(tokens)]:
            self._tally.crossed += 1

    async def _try_post(self, address: tuple[str, int], team: str, mark: str) -> str:
        service = self._deployment.service
        url = f"http://{address[0]}:{address[1]}/v1/services/{service}/post"
        sent = {**self._auth(team), headers.IDEMPOTENCY_KEY: mark}
        try:
            async with self._session.post(url, data=mark, headers=sent) as answer:
                body = await answer.json()
        except aiohttp.ClientConnectorError:
            return "no_connection"
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return "unknown"
        if headers.REPEATED in answer.headers:
            self._tally.repeated_answers += 1
        if answer.status == STATUS_OK and body.get("done") != mark:
            self._tally.crossed += 1
        return answer.headers.get(headers.OUTCOME, "unknown")

    async def _address(
        self, team: str, chat_id: str, attempt: int, placement: str = ""
    ) -> tuple[str, int]:
        kept = self._cached_addresses.get((team, chat_id))
        if kept is None or kept.expires_at_s < time.monotonic():
            kept = await self._fetch_addresses(team, chat_id, placement)
            self._cached_addresses[team, chat_id] = kept
        return kept.addresses[attempt % len(kept.addresses)]

    async def _fetch_addresses(
        self, team: str, chat_id: str, placement: str
    ) -> CachedAddresses:
        sent = self._auth(team)
        params = {}
        if chat_id:
            sent[headers.CHAT_ID] = chat_id
            sent[headers.PLACEMENT] = placement
            params["model"] = self._deployment.model
        for _ in range(MAX_ATTEMPTS):
            host, port = self._rng.choice(self._bootstrap)
            url = f"http://{host}:{port}/v1/addresses"
            try:
                async with self._session.get(
                    url, headers=sent, params=params
                ) as answer:
                    body = await answer.json()
            except (aiohttp.ClientError, TimeoutError, ValueError):
                continue
            if answer.status == STATUS_OK and body["addresses"]:
                addresses = [(a["address"], a["port"]) for a in body["addresses"]]
                keep_s = body["keep_ms"] / 1000
                return CachedAddresses(addresses, time.monotonic() + keep_s)
        return CachedAddresses(self._bootstrap, time.monotonic())

    def _drop_first_address(self, team: str, chat_id: str) -> None:
        kept = self._cached_addresses.get((team, chat_id))
        if kept is not None and len(kept.addresses) > 1:
            self._cached_addresses[team, chat_id] = kept._replace(
                addresses=kept.addresses[1:]
            )

    def _auth(self, team: str) -> dict[str, str]:
        key = f"{self._deployment.group}/{team}/demo-key-{team}"
        return {"Authorization": f"Bearer {key}"}


async def _read(answer: aiohttp.ClientResponse) -> ResponseBody:
    body = b""
    try:
        async for chunk in answer.content.iter_any():
            body += chunk
    except (aiohttp.ClientError, TimeoutError) as error:
        return ResponseBody(body, repr(error), False)
    return ResponseBody(body, "", True)
