"""Availability zones that the operator has evacuated."""

from collections.abc import Mapping
import enum
from typing import NamedTuple

# Part of the bound that is kept for a request on its way: sending one may take
# this long if its endpoint reads slowly, in ms.
_TRANSIT_MS = 2000.0
# Time for which an evacuation stays in force that a restored store lacks: a
# multiple of the bound, and at least so long, in ms. The operator writes it
# again within that time.
_RETENTION_FACTOR = 2.0
_MIN_RETENTION_MS = 10000.0


class ZoneAccess(enum.Enum):
    """Whether new requests may be sent to the endpoints of a zone."""

    OPEN = "open"
    LAST_RESORT = "last_resort"  # if they would be late elsewhere
    CLOSED = "closed"


class ZoneEvacuation(NamedTuple):
    """The evacuation of an availability zone.

    Attributes:
        zone: The zone.
        written: Era and revision at which its key was written.
        listed_era: Era of the last state that listed it.
        learned_ms: Instant at which this instance learned of it.
        clear_ms: Last instant as of which a state without it was confirmed;
            minus infinity if there was none.
        missing_since_ms: Instant at which a restored store was first seen to
            lack it; None if it is listed.
        missing_era: Era of that store.
    """

    zone: str
    written: tuple[int, int]
    listed_era: int
    learned_ms: float
    clear_ms: float
    missing_since_ms: float | None = None
    missing_era: int = 0


class ZoneEvacuations:
    """Decides whether endpoints of an availability zone may be sent requests.

    The load it answers: the requests of a whole zone have to move to the other
    zones within a bound. Until shortly before the bound, the zone still takes
    those that would be late elsewhere.

    States are ordered by era and revision. An evacuation ends with a later
    state of the same era that lacks it. A store that was restored from an older
    copy starts a new era and may have lost it; then it stays in force until the
    operator had the time to write it again.

    Args:
        evacuate_ms: Time after which no request may reach the endpoints of an
            evacuated zone, in ms; 0 if none is set. It may be changed.

    Example:
        >>> evacuations = ZoneEvacuations(5000.0)
        >>> evacuations.update({"z": (0, 7)}, (0, 7), 1000.0, 1400.0)
        >>> evacuations.access("z", 3900.0), evacuations.access("z", 4000.0)
        (<ZoneAccess.LAST_RESORT: 'last_resort'>, <ZoneAccess.CLOSED: 'closed'>)
        >>> evacuations.update({}, (0, 9), 8000.0, 9000.0)
        >>> evacuations.access("z", 9000.0), evacuations.ended_ms("z")
        (<ZoneAccess.OPEN: 'open'>, 9000.0)
    """

    def __init__(self, evacuate_ms: float = 0.0) -> None:
        self.evacuate_ms = evacuate_ms
        self._in_force: dict[str, ZoneEvacuation] = {}
        self._ended_ms: dict[str, float] = {}
        self._position: tuple[int, int] | None = None

    def update(
        self,
        listed: Mapping[str, tuple[int, int]],
        position: tuple[int, int],
        confirmed_ms: float,
        now_ms: float,
    ) -> None:
        """Applies a state of the store unless it is older than the last one.

        Args:
            listed: Era and revision at which each evacuation was written that
                the state contains, by zone.
            position: Era and revision of the state.
            confirmed_ms: Last instant as of which the state before this one
                was confirmed to be the newest; minus infinity for the first.
            now_ms: Current instant.
        """
        self.remove_lapsed(now_ms)
        if self._position is not None and position < self._position:
            return
        self._position = position
        for zone, written in listed.items():
            known = self._in_force.get(zone)
            self._ended_ms.pop(zone, None)
            self._in_force[zone] = ZoneEvacuation(
                zone,
                written,
                position[0],
                known.learned_ms if known else now_ms,
                known.clear_ms if known else confirmed_ms,
            )
        for known in list(self._in_force.values()):
            if known.zone not in listed:
                self._record_missing(known, position[0], now_ms)

    def _record_missing(
        self, known: ZoneEvacuation, era: int, now_ms: float
    ) -> None:
        if era == known.listed_era:
            self._end(known.zone, now_ms)
        elif known.missing_since_ms is None or era != known.missing_era:
            self._in_force[known.zone] = known._replace(
                missing_since_ms=now_ms, missing_era=era
            )

    def remove_lapsed(self, now_ms: float) -> None:
        """Ends evacuations that a restored store has lacked for long enough.

        They stay in force until this or `update` is called.
        """
        for known in list(self._in_force.values()):
            lapse_ms = self.lapse_ms(known)
            if lapse_ms is not None and now_ms >= lapse_ms:
                self._end(known.zone, now_ms)

    def _end(self, zone: str, now_ms: float) -> None:
        del self._in_force[zone]
        self._ended_ms[zone] = now_ms

    def lapse_ms(self, evacuation: ZoneEvacuation) -> float | None:
        """Returns the instant at which an evacuation ends by itself.

        Returns:
            The instant; None if only the operator ends it.
        """
        if evacuation.missing_since_ms is None:
            return None
        return evacuation.missing_since_ms + max(
            _MIN_RETENTION_MS, _RETENTION_FACTOR * self.evacuate_ms
        )

    def close_ms(self, evacuation: ZoneEvacuation) -> float:
        """Returns the instant from which a zone gets no more requests."""
        return evacuation.clear_ms + max(0.0, self.evacuate_ms - _TRANSIT_MS)

    def access(self, zone: str, now_ms: float) -> ZoneAccess:
        """Returns whether endpoints of a zone may be sent new requests."""
        known = self._in_force.get(zone)
        if known is None:
            return ZoneAccess.OPEN
        if self.evacuate_ms and now_ms < self.close_ms(known):
            return ZoneAccess.LAST_RESORT
        return ZoneAccess.CLOSED

    def in_force(self) -> dict[str, ZoneEvacuation]:
        """Returns the evacuations in force by zone."""
        return dict(self._in_force)

    def ended_ms(self, zone: str) -> float | None:
        """Returns the instant at which the last evacuation of a zone ended.

        Returns:
            The instant; None while it is in force and if there was none since
            the start of this instance.
        """
        return self._ended_ms.get(zone)
