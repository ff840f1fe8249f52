"""The configuration that a soak's operator writes."""

from collections.abc import Mapping

from hollycart_bench import virtual
from hollycart_core import routing

MODEL_SERVICE = "llm"
PLAIN_SERVICES = ("app", "spare")
_CONNECTIONS = 200
_HOST = "soak.example"


def make_config(
    version: int, keys: Mapping[str, str], plain: str
) -> routing.RoutingConfig:
    """Returns routes for streams, repeatable and other requests.

    Args:
        version: Version of the configuration.
        keys: API key by team.
        plain: Service for requests without a prompt.

    Example:
        >>> make_config(3, {"t": "k"}, "app").find_team("k").name
        't'
    """
    kinds = routing.RouteKind
    return routing.RoutingConfig(
        version,
        [
            _route("stream", kinds.STREAMING, MODEL_SERVICE, 10000, 3000, 2),
            _route("again", kinds.IDEMPOTENT, plain, 3000, 400, 2),
            _route("once", kinds.NON_IDEMPOTENT, plain, 3000, 400, 1),
        ],
        [
            routing.Service(
                MODEL_SERVICE, _CONNECTIONS, virtual.PUBLISHED_ENGINE
            ),
            *(routing.Service(name, _CONNECTIONS) for name in PLAIN_SERVICES),
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
