"""Outages of the instance list stand-in."""

# Time in ms after which every instance has read a change of the list. Instances
# read the list twice a second.
_PROPAGATION_MS = 1000.0


class Outages:
    """Outages of the list, during which readers cannot see its changes.

    Example:
        >>> outages = Outages()
        >>> outages.begin(1000.0)
        >>> outages.end(6000.0)
        >>> outages.readable_from(2500.0), outages.readable_from(7000.0)
        (6000.0, 7000.0)
    """

    def __init__(self) -> None:
        self._spans: list[tuple[float, float]] = []

    def begin(self, at_ms: float) -> None:
        """Records that the list does not respond from `at_ms` on."""
        self._spans.append((at_ms, float("inf")))

    def end(self, at_ms: float) -> None:
        """Records that the list responds again."""
        start_ms, _ = self._spans.pop()
        self._spans.append((start_ms, at_ms))

    def readable_from(self, shown_ms: float) -> float:
        """Returns when readers can see a change shown from `shown_ms` on.

        A change that an outage hides becomes readable at the outage's end. An
        outage that begins after every instance has read the change does not
        delay it.

        Args:
            shown_ms: Wall clock time at which the list shows the change, in ms.
        """
        for start_ms, end_ms in sorted(self._spans):
            if start_ms < shown_ms + _PROPAGATION_MS and end_ms > shown_ms:
                shown_ms = end_ms
        return shown_ms
