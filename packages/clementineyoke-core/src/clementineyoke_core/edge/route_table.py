"""Lookup of routes and API keys in the desired state."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.edge.desired_state import (
        DesiredState,
        PriorityClass,
        Team,
    )
    from clementineyoke_core.edge.route import Route


class RouteMatch(NamedTuple):
    """Result of a route lookup, with the version of the desired state it is from."""

    route: Route | None
    version: int


class RouteTable:
    """Index of one desired state; replaced as a whole by a newer state's index.

    All decisions about a request use one table. If route and key were read from two
    states, a request could be admitted by the route of one and the key of the other, or
    refused although neither state explains the refusal.
    """

    def __init__(self, *, state: DesiredState) -> None:
        self.state = state
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in state.routes:
            prefixes = self._by_host.setdefault(route.hostname.lower(), {})
            prefixes[route.path_prefix] = route
        self._teams = {key: team for team in state.teams for key in team.keys}
        self._classes = state.priority_classes()

    def match(self, hostname: str, path: str) -> RouteMatch:
        """Return the route with the longest prefix of the path.

        Prefixes end with a slash, so only the path's slashes have to be tried: a
        lookup among hundreds of routes costs no more than one among five.
        """
        prefixes = self._by_host.get(hostname.lower(), {})
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return RouteMatch(route, self.state.version)
            end = path.rfind("/", 0, end)
        return RouteMatch(None, self.state.version)

    def class_index(self, pool: str, priority_class: PriorityClass) -> int:
        """Return the place of a class among those of a pool; 0 is the most urgent."""
        classes = self._classes.get(pool, ())
        return max(0, min(bisect_left(classes, priority_class), len(classes) - 1))

    def team_of(self, key: str) -> Team | None:
        """Return the team of an API key; None if the key is unknown."""
        return self._teams.get(key)
