"""Look up routes and keys in the desired state that is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.edge.desired_state import DesiredState, Team
    from clementineyoke_core.edge.route import Route


class RouteMatch(NamedTuple):
    """What a lookup found, with the version that it rests on."""

    route: Route | None
    version: int


class RouteTable:
    """One desired state, indexed; replaced as a whole when a newer one comes.

    A request takes the table once and decides everything by it. Reading routes and
    keys from two states would let a request pass by the route of one and the key of
    the other, seen as a refusal that neither state explains.
    """

    def __init__(self, *, state: DesiredState) -> None:
        self.state = state
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in state.routes:
            prefixes = self._by_host.setdefault(route.hostname.lower(), {})
            prefixes[route.path_prefix] = route
        self._teams = {key: team for team in state.teams for key in team.keys}

    def match(self, hostname: str, path: str) -> RouteMatch:
        """Return the route with the longest prefix that begins the path.

        Prefixes end with a slash, so only the path's slashes have to be tried: a
        state with hundreds of routes costs no more than one with five.
        """
        prefixes = self._by_host.get(hostname.lower(), {})
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return RouteMatch(route, self.state.version)
            end = path.rfind("/", 0, end)
        return RouteMatch(None, self.state.version)

    def team_of(self, key: str) -> Team | None:
        """Return the team that holds a key."""
        return self._teams.get(key)
