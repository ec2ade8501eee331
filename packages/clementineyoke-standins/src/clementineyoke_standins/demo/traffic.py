"""Background traffic of chats and score posts at a constant mean rate."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Self

import aiohttp

from clementineyoke_standins.demo.demo_caller import Chat, DemoCaller

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_standins.demo.caller_tally import CallerTally
    from clementineyoke_standins.demo.deployment import Deployment
    from clementineyoke_wire.bodies import HostBody

CHAT_COUNT = 150
LARGE_TEAM_WEIGHTS = (8, 5)


def make_session(timeout_s: float) -> aiohttp.ClientSession:
    """Return a client session without a connection limit."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    )


class Traffic:
    """Sends requests while its context is open; closing waits for those in flight."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        nodes: list[HostBody],
        session: aiohttp.ClientSession,
        tally: CallerTally,
        rng: Random,
        chats_per_s: float,
        posts_per_s: float,
    ) -> None:
        self._deployment = deployment
        self._caller = DemoCaller(
            deployment=deployment,
            bootstrap=[(host["address"], host["port"]) for host in nodes],
            session=session,
            tally=tally,
            rng=rng,
        )
        self._rng = rng
        self._chats_per_s = chats_per_s
        self._posts_per_s = posts_per_s
        self._senders: list[asyncio.Task[None]] = []
        self._in_flight: set[asyncio.Task[None]] = set()
        self._chats_in_flight: set[str] = set()

    async def __aenter__(self) -> Self:
        """Start the senders."""
        senders = (self._send_chats(), self._post_scores())
        self._senders = [asyncio.create_task(sender) for sender in senders]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the senders and wait for the requests in flight."""
        for sender in self._senders:
            sender.cancel()
        await asyncio.gather(*self._senders, return_exceptions=True)
        await asyncio.gather(*self._in_flight)

    async def _send_chats(self) -> None:
        teams = self._deployment.teams
        others = [1] * (len(teams) - len(LARGE_TEAM_WEIGHTS))
        weights = [*LARGE_TEAM_WEIGHTS, *others]
        chats = [
            Chat(
                team=self._rng.choices(teams, weights)[0],
                chat_id=f"chat-{index}",
                rng=self._rng,
            )
            for index in range(CHAT_COUNT)
        ]
        while True:
            chat = self._rng.choice(chats)
            if chat.chat_id not in self._chats_in_flight:
                self._start_request(self._send_turn(chat))
            await asyncio.sleep(self._rng.expovariate(self._chats_per_s))

    async def _send_turn(self, chat: Chat) -> None:
        self._chats_in_flight.add(chat.chat_id)
        try:
            await self._caller.send_chat(chat)
        finally:
            self._chats_in_flight.discard(chat.chat_id)

    async def _post_scores(self) -> None:
        number = 0
        while True:
            number += 1
            team = self._rng.choice(self._deployment.teams)
            self._start_request(self._caller.post_score(team, f"post-{number}"))
            await asyncio.sleep(self._rng.expovariate(self._posts_per_s))

    def _start_request(self, request: Any) -> None:
        task = asyncio.create_task(request)
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)
