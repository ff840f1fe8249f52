"""How often the state is read, from the platform's bounds."""

from typing import NamedTuple

# Shortest of the bounds for which the times below hold, in ms.
_USUAL_BOUND_MS = 2000.0
# Reads and questions; four fit into the shortest bound.
_READ_INTERVAL_MS = 500.0
_ASK_INTERVAL_MS = 400.0
# Age of the proof from which an instance reads the store itself.
_SELF_READ_MS = 1200.0
# Age of the last own success from which an instance is no reader.
_FAILING_MS = 1600.0


class ReadSchedule(NamedTuple):
    """Intervals and ages, in ms.

    Attributes:
        read_interval_ms: Between two reads of the store.
        query_interval_ms: Between two questions to instances that read it.
        direct_read_age_ms: Age of the proof from which every instance reads.
        reader_timeout_ms: Age of the last own read from which an instance does
            not count as one that reads.
    """

    read_interval_ms: float = _READ_INTERVAL_MS
    query_interval_ms: float = _ASK_INTERVAL_MS
    direct_read_age_ms: float = _SELF_READ_MS
    reader_timeout_ms: float = _FAILING_MS

    @classmethod
    def for_bound(cls, bound_ms: float) -> "ReadSchedule":
        """Returns times with which changes are in force within a bound.

        Args:
            bound_ms: Shortest time in which a change has to be in force.

        Example:
            >>> ReadSchedule.for_bound(3000.0).read_interval_ms
            500.0
            >>> ReadSchedule.for_bound(1000.0).read_interval_ms
            250.0
        """
        scale = min(1.0, bound_ms / _USUAL_BOUND_MS)
        return cls(*(scale * time_ms for time_ms in cls()))
