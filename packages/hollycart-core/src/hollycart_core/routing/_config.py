"""One version of the routing configuration, indexed for lookup."""

from collections.abc import Iterable

from hollycart_core.routing import _types


class RoutingConfig:
    """Routes, services, teams and limits of one version.

    Args:
        version: Increases with each accepted configuration.
        routes: All routes.
        services: All services.
        teams: All teams; None if requests need no API key. With an empty
            list, no key is valid.
        limits: Limits on requests and connections of callers.

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
        teams: Iterable[_types.Team] | None = None,
        limits: _types.Limits | None = None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.teams = None if teams is None else tuple(teams)
        self.limits = limits or _types.Limits()
        self._routes_by_host: dict[str, list[_types.Route]] = {}
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)
        self._team_by_key = {
            key: team for team in self.teams or () for key in team.api_keys
        }

    def find_route(self, host: str, path: str) -> _types.Route | None:
        """Returns the route with the longest matching path prefix, if any.

        Args:
            host: Value of the Host header; its port and case are ignored.
            path: Path of the request, without the query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def requires_key(self, route: _types.Route) -> bool:
        """Returns whether requests of a route need a valid API key."""
        return self.teams is not None and not route.public

    def find_team(self, api_key: str) -> _types.Team | None:
        """Returns the team that holds an API key, if any."""
        return self._team_by_key.get(api_key)

    def choose_service(self, route: _types.Route, fraction: float) -> str:
        """Returns the service of a request, chosen by the weights of its route.

        Args:
            route: The route of the request.
            fraction: Uniformly distributed over requests, in [0, 1).
        """
        total = sum(target.weight for target in route.targets)
        remaining = fraction * total
        for target in route.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return route.targets[-1].service
