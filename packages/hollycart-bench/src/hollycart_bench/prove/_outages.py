"""Spans in which an outside system did not answer."""

# Instances read the list twice a second: what it showed for this long before
# an outage is known to them, in ms.
_READ_MS = 1000.0


class Outages:
    """Outages of the list, from which its readers know nothing new.

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
        """Notes that the list does not answer from now on."""
        self._spans.append((at_ms, float("inf")))

    def end(self, at_ms: float) -> None:
        """Notes that the list answers again."""
        began_ms, _ = self._spans.pop()
        self._spans.append((began_ms, at_ms))

    def readable_from(self, shown_ms: float) -> float:
        """Returns from when readers can know what is shown from `shown_ms` on.

        An outage that begins after it could be read changes nothing.
        """
        for began_ms, ended_ms in sorted(self._spans):
            if began_ms < shown_ms + _READ_MS and ended_ms > shown_ms:
                shown_ms = ended_ms
        return shown_ms
