"""A team's request rate, kept over all nodes by the home of its budget."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

from clementineyoke_core.team_budget import TeamBudget
from clementineyoke_core.team_budget_share import TeamBudgetShare
from clementineyoke_wire.messages import ShareAsk, ShareReply

if TYPE_CHECKING:
    from clementineyoke_core.home_nodes import HomeNodes
    from clementineyoke_core.membership import Membership
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.settings.settings_replica import SettingsReplica
    from clementineyoke_node.timers.timer_service import TimerService

MOST_TEAMS = 4_096
"""Teams whose budget or purse is kept; the ones unused longest are forgotten."""
FALLBACK_SHARE = 3
"""A team meets about three nodes: each may give a third while the home is away."""


class LimitAnswer(NamedTuple):
    """Whether a request may go on, and when to come back if not."""

    is_allowed: bool
    retry_after_ms: int


class TeamLimiter:
    """Own the purses of this node and the budgets that it is home of."""

    def __init__(
        self,
        *,
        membership: Membership,
        homes: HomeNodes,
        settings: SettingsReplica,
        socket: PeerSocket,
        timers: TimerService,
        timeout_ms: float,
    ) -> None:
        self._membership = membership
        self._homes = homes
        self._keeper = settings
        self._socket = socket
        self._timers = timers
        self._timeout_ms = timeout_ms
        self._purses: OrderedDict[str, TeamBudgetShare] = OrderedDict()
        self._budgets: OrderedDict[str, TeamBudget] = OrderedDict()
        self._fallbacks: OrderedDict[str, TeamBudget] = OrderedDict()
        socket.handle(ShareAsk, self._receive_ask)

    async def acquire(self, team_path: str) -> LimitAnswer:
        """Spend one request of the team's budget, asking the home if need be."""
        now_ms = self._timers.now_ms()
        purse = self._purse_of(team_path)
        if purse.try_spend(now_ms=now_ms):
            return LimitAnswer(True, 0)
        home_id = self._homes.home_of(f"team{team_path}")
        home = None if home_id is None else self._membership.node(home_id)
        wanted = purse.tokens_to_request(now_ms=now_ms)
        if home is None or home.node_id == self._membership.local_node.node_id:
            return self._receive_share(purse, self._grant(team_path, 1))
        ask = ShareAsk(self._socket.next_ask_id(), team_path, wanted)
        try:
            reply = await self._socket.request(
                home, ask, reply_type=ShareReply, timeout_ms=self._timeout_ms
            )
        except TimeoutError:
            return self._fall_back(team_path)
        return self._receive_share(purse, reply)

    def _receive_share(self, purse: TeamBudgetShare, reply: ShareReply) -> LimitAnswer:
        now_ms = self._timers.now_ms()
        purse.add_tokens(reply.tokens, now_ms=now_ms)
        return LimitAnswer(purse.try_spend(now_ms=now_ms), reply.wait_ms)

    def _fall_back(self, team_path: str) -> LimitAnswer:
        budget = self._budget_in(self._fallbacks, team_path, divisor=FALLBACK_SHARE)
        grant = budget.grant(1, now_ms=self._timers.now_ms())
        return LimitAnswer(grant.tokens > 0.0, round(grant.wait_ms))

    def _grant(self, team_path: str, tokens: int) -> ShareReply:
        budget = self._budget_in(self._budgets, team_path, divisor=1)
        grant = budget.grant(tokens, now_ms=self._timers.now_ms())
        return ShareReply(0, grant.tokens, round(grant.wait_ms))

    def _receive_ask(self, received: PeerMessage) -> None:
        ask: ShareAsk = received.message
        reply = self._grant(ask.team, max(1, ask.tokens))
        self._socket.send(received.peer, reply._replace(ask_id=ask.ask_id))

    def _purse_of(self, team_path: str) -> TeamBudgetShare:
        purse = self._purses.setdefault(team_path, TeamBudgetShare())
        _touch(self._purses, team_path)
        return purse

    def _budget_in(
        self, budgets: OrderedDict[str, TeamBudget], team_path: str, *, divisor: int
    ) -> TeamBudget:
        tree = self._keeper.log.tree
        rate_per_s = tree.value(team_path, "rate_per_s") / divisor
        burst = max(1.0, tree.value(team_path, "burst_requests") / divisor)
        budget = budgets.get(team_path)
        if budget is None:
            now_ms = self._timers.now_ms()
            budget = TeamBudget(rate_per_s=rate_per_s, burst=burst, now_ms=now_ms)
            budgets[team_path] = budget
        budget.configure(rate_per_s=rate_per_s, burst=burst)
        _touch(budgets, team_path)
        return budget


def _touch(entries: OrderedDict[str, Any], key: str) -> None:
    entries.move_to_end(key)
    if len(entries) > MOST_TEAMS:
        entries.popitem(last=False)
