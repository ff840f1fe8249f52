"""Load balancing for services that are not model engines."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from hollycart_core.placement import _types


def least_busy(
    endpoints: Iterable[_types.Endpoint],
    running: Mapping[str, int],
    zone: str,
    cold: Collection[str] = (),
) -> _types.Endpoint | None:
    """Returns the endpoint with the lowest slot utilization, if any.

    Args:
        endpoints: Endpoints to choose from.
        running: Number of requests in flight by endpoint id.
        zone: Availability zone that is preferred at equal utilization.
        cold: Ids of endpoints that are cold; others are preferred at equal
            utilization.

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
            e.id in cold,
            e.zone != zone,
            e.id,
        ),
        default=None,
    )
