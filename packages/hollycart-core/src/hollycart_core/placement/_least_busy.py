"""Chooses an endpoint of a service that is no model engine."""

from collections.abc import Iterable
from collections.abc import Mapping

from hollycart_core.placement import _types


def least_busy(
    endpoints: Iterable[_types.Endpoint],
    running: Mapping[str, int],
    zone: str,
) -> _types.Endpoint | None:
    """Returns the endpoint with the smallest share of its slots in use.

    Args:
        endpoints: Endpoints that may be used.
        running: Requests in progress by endpoint.
        zone: Preferred availability zone where the shares are equal.

    Example:
        >>> a = _types.Endpoint("a", "1:1", "s", "z", 2)
        >>> b = _types.Endpoint("b", "1:2", "s", "z", 2)
        >>> least_busy([a, b], {"a": 1}, "z").id
        'b'
    """
    return min(
        endpoints,
        key=lambda e: (
            running.get(e.id, 0) / max(1, e.slots),
            e.zone != zone,
            e.id,
        ),
        default=None,
    )
