"""Evacuated availability zones."""

from hollycart.observe.decisions import _base


class ZoneEvacuated(_base.Decision, tag="zone_evacuated"):
    """An availability zone is evacuated: its endpoints get no more requests.

    Attributes:
        zone: The zone.
        era: Era of the store in which the evacuation was written.
        revision: Revision of the store at which it was written.
        endpoints: Number of endpoints in the zone.
        instances: Number of registered instances in the zone; they go on
            serving their callers.
        last_resort_ms: Time for which requests that would be late elsewhere
            are still sent there.
        age_ms: Age of the state.
    """

    zone: str
    era: int
    revision: int
    endpoints: int
    instances: int
    last_resort_ms: float
    age_ms: float


class ZoneEvacuationMissing(_base.Decision, tag="zone_evacuation_missing"):
    """A restored store lacks an evacuation, which stays in force for a time.

    Attributes:
        zone: The zone.
        era: Era of the restored store.
        lapses_in_ms: Time after which it ends unless it is written again.
    """

    zone: str
    era: int
    lapses_in_ms: float


class ZoneReopened(_base.Decision, tag="zone_reopened"):
    """An evacuation has ended; the endpoints of the zone get requests again.

    Attributes:
        zone: The zone.
        evacuated_ms: Time since this instance learned of the evacuation.
        lapsed: Whether it was not written again after the store was restored;
            otherwise the operator removed it.
    """

    zone: str
    evacuated_ms: float
    lapsed: bool
