"""One version of the routing configuration, indexed for look-ups."""

from collections.abc import Iterable

from hollycart_core.routing import _types


class RoutingConfig:
    """Routes, services and teams of one version.

    Args:
        version: Grows with each accepted configuration.
        routes: All routes.
        services: All services.
        teams: All teams; none means that requests need no API key.
        limits: Bounds on what callers send.

    Example:
        >>> target = _types.RouteTarget("s", 1.0)
        >>> route = _types.Route(
        ...     "r", "h", "/a/", _types.RouteKind.IDEMPOTENT, (target,), 1, 1
        ... )
        >>> cfg = RoutingConfig(1, [route], [])
        >>> cfg.find_route("h", "/a/b").name, cfg.find_route("h", "/b")
        ('r', None)
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[_types.Route],
        services: Iterable[_types.Service],
        teams: Iterable[_types.Team] = (),
        limits: _types.Limits | None = None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.teams = tuple(teams)
        self.limits = limits or _types.Limits()
        self._by_host: dict[str, list[_types.Route]] = {}
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            self._by_host.setdefault(route.host, []).append(route)
        self._team_of_key = {
            key: team for team in self.teams for key in team.api_keys
        }

    def find_route(self, host: str, path: str) -> _types.Route | None:
        """Returns the route with the longest prefix of `path`, if any.

        Args:
            host: The host header; a port is ignored.
            path: The path without its query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_team(self, api_key: str) -> _types.Team | None:
        """Returns the team that holds an API key, if any."""
        return self._team_of_key.get(api_key)

    def choose_service(self, route: _types.Route, fraction: float) -> str:
        """Returns the service for a request by the weights of its route.

        Args:
            route: The route of the request.
            fraction: Evenly distributed over requests, in [0, 1).
        """
        total = sum(target.weight for target in route.targets)
        left = fraction * total
        for target in route.targets:
            left -= target.weight
            if left < 0:
                return target.service
        return route.targets[-1].service
