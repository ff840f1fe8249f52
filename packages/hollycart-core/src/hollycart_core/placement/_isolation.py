"""Which instances of a cell are heard, and which are missing."""

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

# Silence from which an instance counts as not heard, in ms: an interval of
# heartbeats with its jitter and some delay. Long prompts that are placed
# blindly cost more than the queries after a lost datagram.
HEARD_MS = 1600.0
# Silence from which an instance counts as missing, in ms: three lost
# heartbeats. Its assignments are dropped then, while they may go on.
MISSING_MS = 3200.0
# Share of the listed instances that must be heard for an instance not to be
# isolated.
_MIN_HEARD_SHARE = 0.5
# Share of the listed instances from which missing ones leave a gap in what is
# known of the endpoints' load.
_MANY_MISSING_SHARE = 0.25
# Time for which the requests of an instance that is missing may go on, in ms:
# that of a long answer.
_FOLLOWED_MS = 10000.0


class HeardInstance(NamedTuple):
    """The last sign of life of another instance.

    Attributes:
        heard_ms: Instant of its last datagram.
        draining: Whether it announced that it is about to stop.
    """

    heard_ms: float
    draining: bool = False


class CellContact(NamedTuple):
    """Contact of an instance with the others of its cell.

    Attributes:
        listed: Number of other instances that are registered and not draining.
        heard: Number of these that were heard recently.
        missing: Number of these that have been silent for longer.
        is_isolated: Whether too few are heard to know the endpoints' load.
        misses_load: Whether the load of missing instances matters, while the
            instance itself is not isolated: they are many, or one has been
            missing only for a short time.
    """

    listed: int = 0
    heard: int = 0
    missing: int = 0
    is_isolated: bool = False
    misses_load: bool = False


class Isolation:
    """Judges the contact with the other instances of the cell.

    The load it answers: some instances are cut off from the others, while
    callers, endpoints and the store still reach them. They place prompts
    without knowing those of the others.

    An instance that was listed only now has the same time to be heard as one
    that was heard until now. One that announced its end before it fell silent
    is not missed. While the instance itself cannot judge, since it has just
    started or was paused, the former judgement stays in force.

    Attributes:
        contact: The present judgement.

    Example:
        >>> isolation = Isolation()
        >>> heard = {"a": HeardInstance(0.0), "b": HeardInstance(0.0)}
        >>> isolation.update("ab", heard, True, False, 0.0).is_isolated
        False
        >>> isolation.update("ab", heard, True, False, 2000.0).is_isolated
        True
    """

    def __init__(self) -> None:
        self.contact = CellContact()
        self._listed_ms: dict[str, float] = {}
        self._draining: set[str] = set()

    def update(
        self,
        listed: Collection[str],
        heard: Mapping[str, HeardInstance],
        settled: bool,
        draining: bool,
        now_ms: float,
    ) -> CellContact:
        """Judges the contact anew.

        Args:
            listed: Names of the other instances registered in the cell.
            heard: Other instances that are known by their datagrams.
            settled: Whether the others had the time to be heard since the
                start, or since a pause, of this instance.
            draining: Whether this instance is about to stop.
            now_ms: Current instant.
        """
        self._listed_ms = {
            name: self._listed_ms.get(name, now_ms) for name in listed
        }
        for name, instance in heard.items():
            if instance.draining:
                self._draining.add(name)
            else:
                self._draining.discard(name)
        self._draining &= self._listed_ms.keys() | heard.keys()
        if draining:
            self.contact = CellContact()
        elif settled:
            self.contact = self._judge(heard, now_ms)
        return self.contact

    def _judge(
        self, heard: Mapping[str, HeardInstance], now_ms: float
    ) -> CellContact:
        silences_ms = [
            now_ms
            - max(
                listed_ms, heard[name].heard_ms if name in heard else listed_ms
            )
            for name, listed_ms in self._listed_ms.items()
            if name not in self._draining
        ]
        listed = len(silences_ms)
        recent = sum(silence_ms <= HEARD_MS for silence_ms in silences_ms)
        missing = [s - MISSING_MS for s in silences_ms if s > MISSING_MS]
        is_isolated = recent < _MIN_HEARD_SHARE * listed
        misses_load = bool(missing) and (
            len(missing) >= _MANY_MISSING_SHARE * listed
            or min(missing) <= _FOLLOWED_MS
        )
        return CellContact(
            listed,
            recent,
            len(missing),
            is_isolated,
            misses_load and not is_isolated,
        )
