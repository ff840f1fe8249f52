"""The routing configuration of a fault soak."""

from collections.abc import Mapping

from hollycart_bench import virtual
from hollycart_core import routing

MODEL_SERVICE = "llm"
PLAIN_SERVICES = ("app", "spare")
_MAX_CONNECTIONS = 200
_HOST = "soak.example"
# Time for which cold engines are cold, in ms, and what the service declares: an
# engine's entry is written while its process still starts.
COLD_MS = 3000.0
_DECLARED_COLD_MS = 6000.0
COLD_PER_S = 2.0
COLD_OVERAGE = 1.5
COLD_SLACK = 1.0


def make_config(
    version: int,
    keys: Mapping[str, str],
    plain_service: str,
    cold: bool = False,
) -> routing.RoutingConfig:
    """Returns a configuration with one route for each kind of request.

    Args:
        version: Version of the configuration.
        keys: API key by team.
        plain_service: Service that requests without a prompt are routed to.
        cold: Whether model engines are cold after their start.

    Example:
        >>> make_config(3, {"t": "k"}, "app").find_team("k").name
        't'
    """
    kinds = routing.RouteKind
    return routing.RoutingConfig(
        version,
        [
            _route("stream", kinds.STREAMING, MODEL_SERVICE, 10000, 3000, 2),
            _route("again", kinds.IDEMPOTENT, plain_service, 3000, 400, 2),
            _route("once", kinds.NON_IDEMPOTENT, plain_service, 3000, 400, 1),
        ],
        [
            routing.Service(
                MODEL_SERVICE,
                _MAX_CONNECTIONS,
                virtual.PUBLISHED_ENGINE,
                cold_start_ms=_DECLARED_COLD_MS if cold else 0.0,
                cold_per_s=COLD_PER_S if cold else 0.0,
            ),
            *(
                routing.Service(name, _MAX_CONNECTIONS)
                for name in PLAIN_SERVICES
            ),
        ],
        [routing.Team(team, (key,)) for team, key in keys.items()],
    )


def _route(
    name: str,
    kind: routing.RouteKind,
    service: str,
    timeout_ms: float,
    target_ms: float,
    attempts: int,
) -> routing.Route:
    stream = kind is routing.RouteKind.STREAMING
    return routing.Route(
        name,
        _HOST,
        f"/{name}/",
        kind,
        (routing.RouteTarget(service, 1.0),),
        timeout_ms,
        target_ms,
        max_gap_ms=400.0 if stream else 0.0,
        max_attempts=attempts,
        resumable=stream,
    )
