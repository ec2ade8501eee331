"""Fleet-wide request rate limits of teams, enforced by the home of each budget."""

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

MAX_TEAMS = 4_096
"""Teams whose budget or share is kept; the least recently used are evicted."""
FALLBACK_DIVISOR = 3
"""A team's requests reach about three nodes, so each may grant a third of its budget
while the home is unreachable."""


class LimitDecision(NamedTuple):
    """Whether a request is allowed, and when to retry if not."""

    is_allowed: bool
    retry_after_ms: int


class TeamLimiter:
    """Owns this node's budget shares and the budgets that it is home of."""

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
        self._settings = settings
        self._socket = socket
        self._timers = timers
        self._timeout_ms = timeout_ms
        self._shares: OrderedDict[str, TeamBudgetShare] = OrderedDict()
        self._budgets: OrderedDict[str, TeamBudget] = OrderedDict()
        self._fallbacks: OrderedDict[str, TeamBudget] = OrderedDict()
        socket.handle(ShareAsk, self._receive_ask)

    async def acquire(self, team_path: str) -> LimitDecision:
        """Spend one request of a team's budget.

        Requests more tokens from the budget's home if this node's share is used up.
        """
        now_ms = self._timers.now_ms()
        share = self._get_share(team_path)
        if share.try_spend(now_ms=now_ms):
            return LimitDecision(True, 0)
        home_id = self._homes.home_of(f"team{team_path}")
        home = None if home_id is None else self._membership.node(home_id)
        requested_tokens = share.tokens_to_request(now_ms=now_ms)
        if home is None or home.node_id == self._membership.local_node.node_id:
            return self._apply_grant(share, self._grant(team_path, 1))
        ask = ShareAsk(self._socket.next_ask_id(), team_path, requested_tokens)
        try:
            reply = await self._socket.request(
                home, ask, reply_type=ShareReply, timeout_ms=self._timeout_ms
            )
        except TimeoutError:
            return self._acquire_fallback(team_path)
        return self._apply_grant(share, reply)

    def _apply_grant(self, share: TeamBudgetShare, reply: ShareReply) -> LimitDecision:
        now_ms = self._timers.now_ms()
        share.add_tokens(reply.tokens, now_ms=now_ms)
        return LimitDecision(share.try_spend(now_ms=now_ms), reply.wait_ms)

    def _acquire_fallback(self, team_path: str) -> LimitDecision:
        budget = self._get_budget(self._fallbacks, team_path, divisor=FALLBACK_DIVISOR)
        grant = budget.grant(1, now_ms=self._timers.now_ms())
        return LimitDecision(grant.tokens > 0.0, round(grant.wait_ms))

    def _grant(self, team_path: str, tokens: int) -> ShareReply:
        budget = self._get_budget(self._budgets, team_path, divisor=1)
        grant = budget.grant(tokens, now_ms=self._timers.now_ms())
        return ShareReply(0, grant.tokens, round(grant.wait_ms))

    def _receive_ask(self, received: PeerMessage) -> None:
        ask: ShareAsk = received.message
        reply = self._grant(ask.team, max(1, ask.tokens))
        self._socket.send(received.peer, reply._replace(ask_id=ask.ask_id))

    def _get_share(self, team_path: str) -> TeamBudgetShare:
        share = self._shares.setdefault(team_path, TeamBudgetShare())
        _mark_used(self._shares, team_path)
        return share

    def _get_budget(
        self, budgets: OrderedDict[str, TeamBudget], team_path: str, *, divisor: int
    ) -> TeamBudget:
        tree = self._settings.log.tree
        rate_per_s = tree.value(team_path, "rate_per_s") / divisor
        burst = max(1.0, tree.value(team_path, "burst_requests") / divisor)
        budget = budgets.get(team_path)
        if budget is None:
            now_ms = self._timers.now_ms()
            budget = TeamBudget(rate_per_s=rate_per_s, burst=burst, now_ms=now_ms)
            budgets[team_path] = budget
        budget.configure(rate_per_s=rate_per_s, burst=burst)
        _mark_used(budgets, team_path)
        return budget


def _mark_used(entries: OrderedDict[str, Any], key: str) -> None:
    entries.move_to_end(key)
    if len(entries) > MAX_TEAMS:
        entries.popitem(last=False)
