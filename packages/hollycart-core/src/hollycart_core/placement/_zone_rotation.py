"""Load balancing for plain services that keeps requests in the zone."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from hollycart_core.placement import _types

# Time after which load that an endpoint reported says nothing any more, in ms.
# Requests to plain services are short.
_REPORT_MEMORY_MS = 1000.0


class _ReportedLoad(NamedTuple):
    others: int
    at_ms: float


class ZoneRotation:
    """Uses the endpoints of the own zone in turn, and others if these are full.

    The load it answers: calls to plain services whose endpoints are spread
    unevenly over the availability zones. Traffic leaves the zone only while all
    of its endpoints are full, failing or out of use. The load of an endpoint
    consists of the own requests in flight and of what the endpoint reported
    lately beyond them.

    Args:
        zone: The own availability zone.
        instance: Name of the instance. It decides where the turn begins, so
            that instances which start together do not move in step.

    Example:
        >>> rotation = ZoneRotation("z", "i")
        >>> near = [_types.Endpoint(n, "", "s", "z", 1) for n in "ab"]
        >>> far = _types.Endpoint("c", "", "s", "y", 1)
        >>> sorted(rotation.choose([*near, far], {}, 0.0).id for _ in range(2))
        ['a', 'b']
        >>> rotation.choose([*near, far], {"a": 1, "b": 1}, 0.0).id
        'c'
    """

    def __init__(self, zone: str, instance: str) -> None:
        self.zone = zone
        self.instance = instance
        self._turn = 0
        self._used_at: dict[str, int] = {}
        self._reported: dict[str, _ReportedLoad] = {}

    def record_load(
        self, endpoint: str, reported: int, own: int, now_ms: float
    ) -> None:
        """Records the requests in flight that an endpoint reported.

        Args:
            endpoint: Id of the endpoint.
            reported: Requests in flight there, of all instances.
            own: Those of this instance.
            now_ms: Current instant.
        """
        self._reported[endpoint] = _ReportedLoad(max(0, reported - own), now_ms)

    def choose(
        self,
        endpoints: Iterable[_types.Endpoint],
        running: Mapping[str, int],
        now_ms: float,
    ) -> _types.Endpoint | None:
        """Returns the endpoint for the next request, if there is any.

        Args:
            endpoints: Endpoints to choose from.
            running: Own requests in flight by endpoint id.
            now_ms: Current instant.
        """
        candidates = list(endpoints)
        if not candidates:
            return None
        used = {e.id: self._utilization(e, running, now_ms) for e in candidates}
        free = [e for e in candidates if used[e.id] < 1.0]
        near = [e for e in free if e.zone == self.zone]
        chosen = min(
            near or free or candidates,
            key=lambda e: (
                used[e.id],
                e.zone != self.zone,
                self._used_at.get(e.id, 0),
                xxhash.xxh32_intdigest(f"{self.instance}/{e.id}".encode()),
            ),
        )
        self._turn += 1
        self._used_at[chosen.id] = self._turn
        return chosen

    def retain(self, endpoints: Iterable[str]) -> None:
        """Forgets all endpoints but those with the given ids."""
        kept = set(endpoints)
        for known in (self._used_at, self._reported):
            for endpoint in [e for e in known if e not in kept]:
                del known[endpoint]

    def _utilization(
        self,
        endpoint: _types.Endpoint,
        running: Mapping[str, int],
        now_ms: float,
    ) -> float:
        load = float(running.get(endpoint.id, 0))
        reported = self._reported.get(endpoint.id)
        if reported is not None:
            age_ms = now_ms - reported.at_ms
            load += reported.others * max(0.0, 1.0 - age_ms / _REPORT_MEMORY_MS)
        return load / max(1, endpoint.slots)
