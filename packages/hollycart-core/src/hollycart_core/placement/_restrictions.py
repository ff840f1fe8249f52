"""Endpoints that must not be sent requests, by what they have responded."""

from typing import NamedTuple

from hollycart_core.placement import _types

# Longest pause that is honoured. A malformed value must not take an endpoint
# out of use for the rest of its life.
_MAX_PAUSE_MS = 600_000.0
# An endpoint may vanish from the directory and be listed again, so records are
# kept until newer ones need the room.
_MAX_RECORDS = 4096


class _Restriction(NamedTuple):
    born_ms: int
    leaving: bool = False
    paused_until_ms: float = float("-inf")
    replaced: tuple[int, int] | None = None


class EndpointRestrictions:
    """Remembers what endpoints asked for in their responses.

    An endpoint that is leaving gets no new requests for the rest of its
    incarnation, whatever the directory lists. An endpoint that asks for a pause
    gets none until the pause ends. If another endpoint responded at its
    address, its entry is out of date and it gets none until the entry is
    written again. A new incarnation, recognised by its later start, starts
    without restrictions.

    Example:
        >>> endpoint = _types.Endpoint("e", "1:1", "s", "z", 8, born_ms=5)
        >>> restrictions = EndpointRestrictions()
        >>> restrictions.record_pause(endpoint, 1000.0, 0.0)
        True
        >>> restrictions.accepts(endpoint, 999.0)
        False
        >>> restrictions.accepts(endpoint._replace(born_ms=6), 999.0)
        True
    """

    def __init__(self) -> None:
        self._restrictions: dict[str, _Restriction] = {}

    def record_leaving(self, endpoint_id: str, born_ms: int) -> bool:
        """Records that an incarnation of an endpoint is leaving.

        Args:
            endpoint_id: Id of the endpoint.
            born_ms: Start of its incarnation.

        Returns:
            Whether this was not known before.
        """
        known = self._of_incarnation(endpoint_id, born_ms)
        if known is None or known.leaving:
            return False
        self._store(endpoint_id, known._replace(leaving=True))
        return True

    def record_pause(
        self, endpoint: _types.Endpoint, pause_ms: float, now_ms: float
    ) -> bool:
        """Records that an endpoint asked for a pause.

        Args:
            endpoint: The endpoint as it is listed.
            pause_ms: Length of the pause, in ms. A value that is not positive
                asks for none; a very large one is capped.
            now_ms: Instant of the response.

        Returns:
            Whether the pause is longer than what was known before.
        """
        if not pause_ms > 0.0:  # also for NaN
            return False
        known = self._of_incarnation(endpoint.id, endpoint.born_ms)
        until_ms = now_ms + min(pause_ms, _MAX_PAUSE_MS)
        if known is None or until_ms <= known.paused_until_ms:
            return False
        self._store(endpoint.id, known._replace(paused_until_ms=until_ms))
        return True

    def record_replaced(
        self, endpoint_id: str, born_ms: int, written: tuple[int, int]
    ) -> bool:
        """Records that another endpoint responded at an endpoint's address.

        Args:
            endpoint_id: Id of the endpoint that was expected there.
            born_ms: Start of its incarnation.
            written: Era and revision of the entry that is out of date.

        Returns:
            Whether this was not known before.
        """
        known = self._of_incarnation(endpoint_id, born_ms)
        if known is None or (
            known.replaced is not None and known.replaced >= written
        ):
            return False
        self._store(endpoint_id, known._replace(replaced=written))
        return True

    def record_present(self, endpoint: _types.Endpoint) -> bool:
        """Records that an endpoint itself responded at its address.

        Returns:
            Whether its entry had counted as out of date.
        """
        known = self._current(endpoint)
        if known is None or known.replaced is None:
            return False
        self._store(endpoint.id, known._replace(replaced=None))
        return True

    def is_replaced(self, endpoint: _types.Endpoint) -> bool:
        """Returns whether the entry of an endpoint is out of date."""
        known = self._current(endpoint)
        return (
            known is not None
            and known.replaced is not None
            and endpoint.written <= known.replaced
        )

    def is_leaving(self, endpoint: _types.Endpoint) -> bool:
        """Returns whether a listed endpoint is leaving."""
        known = self._current(endpoint)
        return endpoint.leaving or (known is not None and known.leaving)

    def pause_left_ms(self, endpoint: _types.Endpoint, now_ms: float) -> float:
        """Returns the time left of an endpoint's pause, in ms; 0 for none."""
        known = self._current(endpoint)
        return max(0.0, known.paused_until_ms - now_ms) if known else 0.0

    def accepts(self, endpoint: _types.Endpoint, now_ms: float) -> bool:
        """Returns whether a listed endpoint accepts new requests."""
        return (
            not self.is_leaving(endpoint)
            and not self.is_replaced(endpoint)
            and self.pause_left_ms(endpoint, now_ms) == 0.0
        )

    def _store(self, endpoint_id: str, restriction: _Restriction) -> None:
        self._restrictions.pop(endpoint_id, None)
        self._restrictions[endpoint_id] = restriction
        if len(self._restrictions) > _MAX_RECORDS:
            del self._restrictions[next(iter(self._restrictions))]

    def _current(self, endpoint: _types.Endpoint) -> _Restriction | None:
        known = self._restrictions.get(endpoint.id)
        if known is None or known.born_ms < endpoint.born_ms:
            return None
        return known

    def _of_incarnation(
        self, endpoint_id: str, born_ms: int
    ) -> _Restriction | None:
        """Returns the record of an incarnation; None if it is not the last."""
        known = self._restrictions.get(endpoint_id)
        if known is None or known.born_ms < born_ms:
            return _Restriction(born_ms)
        return known if known.born_ms == born_ms else None
