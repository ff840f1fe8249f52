"""Endpoints that are cold, and until when."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from hollycart_core.placement import _types

# Longest time for which an endpoint counts as cold, in ms. A malformed value
# must not limit an endpoint for the rest of its life.
_MAX_COLD_MS = 600_000.0
# Change of the end of a cold time from which it counts as news, in ms. Each
# response states the time left anew, with the jitter of the network.
_NEWS_MS = 250.0
# An endpoint may vanish from the directory and be listed again, so records of
# unlisted ones are kept until newer ones need the room.
_MAX_RECORDS = 4096
# Position of an entry that was not seen yet.
_UNSEEN = (-1, -1)
_NEVER_MS = float("-inf")


class _Record(NamedTuple):
    """What is known of an incarnation of an endpoint.

    Attributes:
        born_ms: Start of the incarnation.
        until_ms: Instant until which it is cold.
        source: Where that was learned.
        sent_ms: Sending of the request to which the endpoint last responded
            with a statement.
        learned_ms: Instant of the latest information.
        written: Era and revision of the last entry that was seen.
    """

    born_ms: int
    until_ms: float = _NEVER_MS
    source: str = ""
    sent_ms: float = _NEVER_MS
    learned_ms: float = _NEVER_MS
    written: tuple[int, int] = _UNSEEN


class ColdEndpoints:
    """Decides which endpoints are cold, and until when.

    The load that it answers: engines return to service, and a caller's burst
    at the rate of a warm engine would crash one that is still cold.

    What an endpoint stated last counts first. Until it has stated anything, its
    entry counts, then the time that its service needs after a start, from the
    instant at which a new incarnation was first seen. The end of an evacuation
    counts like a start, since the endpoints of the zone may have started anew
    unseen. Instants of the receipt are used throughout, so that an endpoint
    counts as cold for too long rather than too short.

    Incarnations in the first state of a service are not new: nothing tells
    when they started, but for their entries.

    Example:
        >>> endpoint = _types.Endpoint("e", "1:1", "s", "z", 8, born_ms=5)
        >>> cold = ColdEndpoints()
        >>> cold.follow([endpoint], {"s": 3000.0}, 0.0)
        []
        >>> again = endpoint._replace(born_ms=6)
        >>> [e.id for e in cold.follow([again], {"s": 3000.0}, 1000.0)]
        ['e']
        >>> cold.left_ms(again, 1500.0), cold.source(again)
        (2500.0, 'incarnation')
        >>> cold.record_statement(again, 0.0, 1600.0, 1700.0)
        -2300.0
        >>> cold.left_ms(again, 1700.0)
        0.0
    """

    def __init__(self) -> None:
        self._cold_start_ms: Mapping[str, float] = {}
        self._records: dict[str, _Record] = {}
        self._reopened_ms: dict[str, float] = {}

    def follow(
        self,
        endpoints: Iterable[_types.Endpoint],
        cold_start_ms: Mapping[str, float],
        now_ms: float,
    ) -> list[_types.Endpoint]:
        """Takes over the endpoints that the current state lists.

        Args:
            endpoints: All listed endpoints.
            cold_start_ms: Time for which endpoints are cold after a start, in
                ms, by service; only services with cold endpoints.
            now_ms: Instant at which the state was applied.

        Returns:
            The endpoints that are cold by this state and were not before, or
            not for as long.
        """
        known_services = set(self._cold_start_ms)
        self._cold_start_ms = dict(cold_start_ms)
        changed = []
        listed = [e for e in endpoints if e.service in cold_start_ms]
        for endpoint in listed:
            if self._follow_endpoint(
                endpoint, endpoint.service in known_services, now_ms
            ):
                changed.append(endpoint)
        self._remove_unlisted({e.id for e in listed})
        return changed

    def record_statement(
        self,
        endpoint: _types.Endpoint,
        left_ms: float,
        sent_ms: float,
        received_ms: float,
    ) -> float:
        """Records what an endpoint stated in a response to this instance.

        Args:
            endpoint: The endpoint as it was listed when it was called.
            left_ms: Time for which it stays cold, in ms; 0 if it is warm.
            sent_ms: Instant at which the request was sent.
            received_ms: Instant at which the response was received.

        Returns:
            Time by which the cold time became longer, in ms; negative if it
            became shorter, and 0 if it hardly changed.
        """
        if endpoint.service not in self._cold_start_ms:
            return 0.0
        known = self._of_incarnation(endpoint.id, endpoint.born_ms)
        if known is None or received_ms <= known.sent_ms:
            return 0.0
        before_ms = self._until_ms(endpoint)
        until_ms = received_ms + _bounded(left_ms)
        # Information that came while the request was on its way may be newer.
        if sent_ms < known.learned_ms:
            until_ms = max(known.until_ms, until_ms)
        self._records[endpoint.id] = known._replace(
            until_ms=until_ms,
            source="response",
            sent_ms=max(known.sent_ms, sent_ms),
            learned_ms=max(known.learned_ms, received_ms),
        )
        change_ms = max(self._until_ms(endpoint), received_ms) - max(
            before_ms, received_ms
        )
        return change_ms if abs(change_ms) > _NEWS_MS else 0.0

    def record_announced(
        self, endpoint_id: str, born_ms: int, left_ms: float, now_ms: float
    ) -> bool:
        """Records what another instance announced.

        An announcement may come late and out of order, so it never shortens a
        cold time.

        Args:
            endpoint_id: Id of the endpoint.
            born_ms: Start of its incarnation.
            left_ms: Time for which it stays cold, in ms, at the sending.
            now_ms: Instant of the receipt.

        Returns:
            Whether the cold time became longer by this.
        """
        known = self._of_incarnation(endpoint_id, born_ms)
        until_ms = now_ms + _bounded(left_ms)
        if known is None or until_ms <= known.until_ms:
            return False
        self._records[endpoint_id] = known._replace(
            until_ms=until_ms, source="announcement", learned_ms=now_ms
        )
        return until_ms - max(known.until_ms, now_ms) > _NEWS_MS

    def record_zone_reopened(self, zone: str, now_ms: float) -> None:
        """Records that the evacuation of an availability zone has ended.

        Its endpoints count as cold as after a start, unless they state
        otherwise in a response to a request that was sent later.

        Args:
            zone: The zone.
            now_ms: Instant at which this instance learned of the end.
        """
        self._reopened_ms[zone] = now_ms

    def left_ms(self, endpoint: _types.Endpoint, now_ms: float) -> float:
        """Returns the time for which an endpoint stays cold, in ms.

        It is 0 if the endpoint is warm, or its service has no cold endpoints.
        """
        if endpoint.service not in self._cold_start_ms:
            return 0.0
        return max(0.0, self._until_ms(endpoint) - now_ms)

    def source(self, endpoint: _types.Endpoint) -> str:
        """Returns by what an endpoint is cold, or was last.

        One of `response`, `announcement`, `entry`, `incarnation` (a new one was
        seen) and `reopened` (an evacuation has ended); empty for nothing.
        """
        known = self._current(endpoint)
        if self._reopened_until_ms(endpoint) > (
            known.until_ms if known else _NEVER_MS
        ):
            return "reopened"
        return known.source if known else ""

    def _follow_endpoint(
        self, endpoint: _types.Endpoint, is_known_service: bool, now_ms: float
    ) -> bool:
        known = self._records.get(endpoint.id)
        until_ms, source = _NEVER_MS, ""
        if endpoint.cold_left_ms > 0.0:
            until_ms = now_ms + _bounded(endpoint.cold_left_ms)
            source = "entry"
        if known is None or known.born_ms < endpoint.born_ms:
            if not source and is_known_service:
                until_ms = now_ms + self._cold_start_ms[endpoint.service]
                source = "incarnation"
            known = _Record(endpoint.born_ms)
        elif known.born_ms > endpoint.born_ms:
            return False
        elif known.written == _UNSEEN:
            # The endpoint itself has stated something before its entry came.
            self._records[endpoint.id] = known._replace(
                written=endpoint.written
            )
            return False
        elif endpoint.written <= known.written:
            return False
        known = known._replace(written=endpoint.written)
        before_ms = max(known.until_ms, now_ms)
        if until_ms > before_ms:
            known = known._replace(
                until_ms=until_ms, source=source, learned_ms=now_ms
            )
        self._records[endpoint.id] = known
        return until_ms - before_ms > _NEWS_MS

    def _remove_unlisted(self, listed: set[str]) -> None:
        excess = len(self._records) - max(_MAX_RECORDS, len(listed))
        if excess <= 0:
            return
        for endpoint_id in [i for i in self._records if i not in listed]:
            if excess <= 0:
                break
            del self._records[endpoint_id]
            excess -= 1

    def _until_ms(self, endpoint: _types.Endpoint) -> float:
        known = self._current(endpoint)
        return max(
            self._reopened_until_ms(endpoint),
            known.until_ms if known else _NEVER_MS,
        )

    def _reopened_until_ms(self, endpoint: _types.Endpoint) -> float:
        reopened_ms = self._reopened_ms.get(endpoint.zone)
        if reopened_ms is None:
            return _NEVER_MS
        known = self._current(endpoint)
        if known is not None and known.sent_ms >= reopened_ms:
            return _NEVER_MS
        return reopened_ms + self._cold_start_ms.get(endpoint.service, 0.0)

    def _current(self, endpoint: _types.Endpoint) -> _Record | None:
        known = self._records.get(endpoint.id)
        if known is None or known.born_ms < endpoint.born_ms:
            return None
        return known

    def _of_incarnation(self, endpoint_id: str, born_ms: int) -> _Record | None:
        """Returns the record of an incarnation; None if it is not the last."""
        known = self._records.get(endpoint_id)
        if known is None or known.born_ms < born_ms:
            return _Record(born_ms)
        return known if known.born_ms == born_ms else None


def _bounded(left_ms: float) -> float:
    if not left_ms > 0.0:  # also for NaN
        return 0.0
    return min(left_ms, _MAX_COLD_MS)
