"""Reserves KV-cache memory at several endpoints, all or nothing."""

from absl import logging
import eventlet

from hollycart.gateway import _codec
from hollycart.gateway import _evacuation
from hollycart.gateway import _failures
from hollycart.gateway import _notices
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

# A reservation that is not renewed expires within this time. After a crash of
# this instance, the platform tolerates reserved memory for at most 4 s.
_RESERVATION_TTL_MS = 3500.0
_RENEW_INTERVAL_MS = 1100.0
_CALL_TIMEOUT_MS = 300.0
_MAX_RELEASE_ATTEMPTS = 3
_OK = 200
_MAX_RESPONSE_BYTES = 65536


class Reserver:
    """Makes, renews and releases reservations of KV-cache memory.

    Args:
        codec: Encodes the calls to endpoints.
        notices: Records what endpoints ask for in their responses.
        clock: Source of time.
        hold_max_ms: Longest reservation that endpoints accept, in ms.
    """

    def __init__(
        self,
        codec: _codec.RequestCodec,
        notices: _notices.EndpointNotices,
        clock: base.Clock,
        hold_max_ms: float,
    ) -> None:
        self.codec = codec
        self.notices = notices
        self.clock = clock
        self.hold_max_ms = hold_max_ms
        self._renewals: dict[str, base.PeriodicTask] = {}

    def reserve(
        self,
        reservation_id: str,
        reservations: tuple[placement.Reservation, ...],
    ) -> None:
        """Reserves at all endpoints, in the order of their ids.

        Renews the reservations until they are released.

        Raises:
            MemoryUnavailableError: If an endpoint does not grant its
                reservation; the others are released.
            EndpointEvacuatedError: If the zone of an endpoint is closed.
            HelperRejectedError: If an endpoint has become cold.
        """
        requested: list[placement.Reservation] = []
        try:
            for reservation in sorted(
                reservations, key=lambda r: r.endpoint.id
            ):
                endpoint, now_ms = reservation.endpoint, self.clock.now_ms()
                _evacuation.check_zone(
                    self.notices.platform_state.evacuations, endpoint, now_ms
                )
                if self.notices.is_cold(endpoint, now_ms):
                    raise _failures.HelperRejectedError(
                        f"{endpoint.id} has become cold", endpoint.id
                    )
                requested.append(reservation)
                if not self._reserve_at_endpoint(reservation_id, reservation):
                    raise _failures.MemoryUnavailableError(
                        f"{reservation.endpoint.id} did not reserve memory for "
                        f"{reservation.tokens} tokens",
                        _RENEW_INTERVAL_MS,
                    )
        except BaseException:
            eventlet.spawn_n(
                self._release_all, reservation_id, tuple(requested)
            )
            raise
        self._renewals[reservation_id] = self._start_renewal(
            reservation_id, reservations
        )

    def release(
        self,
        reservation_id: str,
        reservations: tuple[placement.Reservation, ...],
    ) -> None:
        """Releases in the background; ends the renewal."""
        renewal = self._renewals.pop(reservation_id, None)
        if renewal is None:
            return
        renewal.close()
        eventlet.spawn_n(self._release_all, reservation_id, reservations)

    def _start_renewal(
        self,
        reservation_id: str,
        reservations: tuple[placement.Reservation, ...],
    ) -> base.PeriodicTask:
        def renew() -> None:
            for reservation in reservations:
                self._reserve_at_endpoint(reservation_id, reservation)

        def log_fault(exc: Exception) -> None:
            logging.error(
                "unexpected error in renewal of reservation %s: %r",
                reservation_id,
                exc,
            )

        interval_ms = min(_RENEW_INTERVAL_MS, self.hold_max_ms / 3)
        task = base.PeriodicTask(renew, interval_ms, self.clock, log_fault)
        task.start(run_immediately=False)
        return task

    def _release_all(
        self,
        reservation_id: str,
        reservations: tuple[placement.Reservation, ...],
    ) -> None:
        head, body = self.codec.encode_release(reservation_id)
        for reservation in reservations:
            for _ in range(_MAX_RELEASE_ATTEMPTS):
                if self._call(reservation.endpoint, head, body) is not None:
                    break

    def _reserve_at_endpoint(
        self, reservation_id: str, reservation: placement.Reservation
    ) -> bool:
        head, body = self.codec.encode_reservation(
            reservation_id,
            reservation.tokens,
            min(_RESERVATION_TTL_MS, self.hold_max_ms),
        )
        return self._call(reservation.endpoint, head, body) == _OK

    def _call(
        self,
        endpoint: placement.Endpoint,
        head: connections.RequestHead,
        body: bytes,
    ) -> int | None:
        """Returns the HTTP status, None if the call failed."""
        conn = connections.ClientConnection(endpoint.address, self.clock)
        try:
            conn.start(_CALL_TIMEOUT_MS)
            sent_ms = self.clock.now_ms()
            conn.send(head, body, _CALL_TIMEOUT_MS)
            response = conn.read_head(_CALL_TIMEOUT_MS)
            self.notices.record(endpoint, response, sent_ms)
            conn.read_body(_CALL_TIMEOUT_MS, _MAX_RESPONSE_BYTES)
        except _failures.EndpointLostError:
            raise  # aborts the attempt; not a failure of this call
        except (base.EndpointFailedError, base.InvalidRequestError) as exc:
            logging.info(
                "reservation call to %s failed: %s", endpoint.id, exc.detail
            )
            return None
        finally:
            conn.close()
        return response.status
