"""Which endpoints are queried for their load, and what the reports mean."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

from hollycart_core import base
from hollycart_core.placement import _conflicts
from hollycart_core.placement import _types
from hollycart_core.placement import _unaccounted

# Shortest time between two queries of an endpoint, in ms. Reports are some
# 200 ms old, and queries are priced like probes.
_MIN_INTERVAL_MS = 400.0
# Endpoints queried for one placement: as many as are considered as helpers.
_MAX_QUERIED = 24
# Age of a report up to which an attempt is not contained in it, in ms.
_REPORT_AGE_MS = 250.0
# Time for which a report is taken to hold: other instances replace the requests
# that end by new ones. It exceeds the interval of the periodic queries.
_HOLD_MS = 2000.0
# Time within which the reported requests are assumed to end after that, in ms.
_DURATION_MS = 2000.0


def needs_queries(assignments: Iterable[_types.Assignment]) -> bool:
    """Returns whether a placement is worth querying endpoints for their load.

    Only prompts with a part that would stall others are: short ones need a slot
    and little else, and there are many of them.
    """
    return any(a.prefill_ms >= _conflicts.LONG_PART_MS for a in assignments)


class LoadQueries:
    """Bounds the queries of endpoints for their load.

    Args:
        instance: Name of this instance. Instances that cannot query all
            endpoints start with different ones.

    Example:
        >>> queries = LoadQueries("i")
        >>> queries.take(["e1"], ["e1", "e2"], 0.0)
        ['e1', 'e2']
        >>> queries.take([], ["e1", "e2"], 399.0)
        []
    """

    def __init__(self, instance: str = "") -> None:
        self.instance = instance
        self._queried_ms: dict[str, float] = {}

    def take(
        self,
        preferred: Sequence[str],
        endpoints: Collection[str],
        now_ms: float,
    ) -> list[str]:
        """Returns the endpoints to query now, and counts them as queried.

        Args:
            preferred: Ids of the endpoints to query first.
            endpoints: Ids of all endpoints that may be queried.
            now_ms: Current instant.
        """
        self._queried_ms = {
            endpoint: queried_ms
            for endpoint, queried_ms in self._queried_ms.items()
            if endpoint in endpoints
        }
        first = [e for e in dict.fromkeys(preferred) if e in endpoints]
        others = base.rendezvous_rank(
            self.instance, [e for e in endpoints if e not in first]
        )
        others.sort(key=lambda e: self._queried_ms.get(e, float("-inf")))
        due = [
            e
            for e in (*first, *others)
            if now_ms - self._queried_ms.get(e, float("-inf"))
            >= _MIN_INTERVAL_MS
        ][:_MAX_QUERIED]
        self._queried_ms.update(dict.fromkeys(due, now_ms))
        return due


def unaccounted_load(
    requests: int,
    memory_tokens: int,
    accounted: Iterable[_types.Assignment],
    placed_ms: Mapping[str, float],
    max_gap_ms: float,
    now_ms: float,
) -> _unaccounted.UnaccountedLoad:
    """Returns the part of a reported load that is not known otherwise.

    Args:
        requests: Number of requests that run or wait there, as reported.
        memory_tokens: KV cache in use, in tokens, as reported.
        accounted: Known assignments at the endpoint.
        placed_ms: Instants at which the latest attempts were placed, by id.
            The report does not contain the newest ones. Attempts that are left
            out were placed long ago.
        max_gap_ms: Longest gap that the unknown answers accept, in ms.
        now_ms: Instant of the report.

    Example:
        >>> unaccounted_load(3, 9000, [], {}, 250.0, 0.0).requests_left(0.0)
        3
    """
    for assignment in accounted:
        age_ms = now_ms - placed_ms.get(assignment.attempt_id, float("-inf"))
        if age_ms >= _REPORT_AGE_MS:
            # Whether reports count the parts of helpers is not stated.
            requests -= assignment.primary
            memory_tokens -= assignment.memory_tokens
    requests = max(0, requests)
    return _unaccounted.UnaccountedLoad(
        requests,
        max(0, memory_tokens) if requests else 0,
        now_ms,
        _DURATION_MS,
        _HOLD_MS,
        max_gap_ms,
    )


def assumed_load(
    known: Sequence[_unaccounted.UnaccountedLoad],
    max_gap_ms: float,
    now_ms: float,
) -> _unaccounted.UnaccountedLoad:
    """Returns the load assumed for an endpoint that did not report any.

    It is taken to be as busy as the others and never to be free, so that
    silence does not attract prompts.

    Args:
        known: Unaccounted load of the endpoints that did report.
        max_gap_ms: Longest gap that the unknown answers accept, in ms.
        now_ms: Current instant.
    """
    count = max(1, len(known))
    return _unaccounted.UnaccountedLoad(
        max(1, math.ceil(sum(k.requests for k in known) / count)),
        sum(k.memory_tokens for k in known) // count,
        now_ms,
        _DURATION_MS,
        _HOLD_MS,
        max_gap_ms,
    )
