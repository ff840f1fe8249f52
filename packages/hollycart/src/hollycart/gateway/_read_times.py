"""Intervals and age bounds for reading the platform's state."""

from typing import NamedTuple

# Bound on the propagation of changes for which the defaults below hold; another
# bound scales them.
_REFERENCE_BOUND_MS = 2000.0
# Four reads, or four queries, fit into the bound.
_READ_INTERVAL_MS = 500.0
_QUERY_INTERVAL_MS = 400.0
_DIRECT_READ_AGE_MS = 1200.0
_READER_TIMEOUT_MS = 1600.0
_LOOP_INTERVAL_MS = 50.0


class ReadSchedule(NamedTuple):
    """When an instance reads the store or queries its peers, in ms.

    Attributes:
        read_interval_ms: Interval between two reads of the store.
        query_interval_ms: Interval between two queries to the instances that
            read the store.
        direct_read_age_ms: Age of the confirmed state beyond which every
            instance reads the store itself.
        reader_timeout_ms: Time since its last successful read after which an
            instance no longer counts as a reader.
        loop_interval_ms: Interval at which it is checked what is due.
    """

    read_interval_ms: float = _READ_INTERVAL_MS
    query_interval_ms: float = _QUERY_INTERVAL_MS
    direct_read_age_ms: float = _DIRECT_READ_AGE_MS
    reader_timeout_ms: float = _READER_TIMEOUT_MS
    loop_interval_ms: float = _LOOP_INTERVAL_MS

    @classmethod
    def for_bound(cls, bound_ms: float) -> "ReadSchedule":
        """Returns a schedule that puts changes in force within a bound.

        Args:
            bound_ms: Shortest time within which a change must be in force, in
                ms.

        Example:
            >>> ReadSchedule.for_bound(4000.0).read_interval_ms
            1000.0
            >>> ReadSchedule.for_bound(1000.0).read_interval_ms
            250.0
        """
        scale = bound_ms / _REFERENCE_BOUND_MS
        return cls(*(scale * time_ms for time_ms in cls()))
