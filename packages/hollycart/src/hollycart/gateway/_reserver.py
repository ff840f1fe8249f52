"""Sets memory aside at several endpoints, all of it or none."""

from absl import logging
import eventlet

from hollycart.gateway import _codec
from hollycart.gateway import _failures
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

# A reservation that is not renewed lapses within this time, so that a crash of
# this instance leaves nothing behind for longer than the pages allow (4 s).
_HOLD_MS = 3500.0
_RENEW_MS = 1100.0
_ORDER_TIMEOUT_MS = 300.0
_RELEASE_TRIES = 3
_OK = 200
_MAX_REPLY_BYTES = 65536


class Reserver:
    """Reserves, renews and releases.

    Args:
        codec: Translates the orders.
        clock: Source of time.
        hold_max_ms: Longest reservation that endpoints accept, in ms.
    """

    def __init__(
        self, codec: _codec.RequestCodec, clock: base.Clock, hold_max_ms: float
    ) -> None:
        self.codec = codec
        self.clock = clock
        self.hold_max_ms = hold_max_ms
        self._renewals: dict[str, base.PeriodicTask] = {}

    def reserve(
        self, ticket: str, wanted: tuple[placement.Reservation, ...]
    ) -> None:
        """Reserves at all endpoints, in the order of their ids.

        Raises:
            MemoryUnavailableError: If one of them refuses; the others are
                released.
        """
        done: list[placement.Reservation] = []
        try:
            for item in sorted(wanted, key=lambda r: r.endpoint.id):
                done.append(item)
                if not self._order(ticket, item):
                    raise _failures.MemoryUnavailableError(
                        f"no memory at {item.endpoint.id}", _RENEW_MS
                    )
        except BaseException:
            eventlet.spawn_n(self._release_all, ticket, tuple(done))
            raise
        self._renewals[ticket] = self._start_renewal(ticket, wanted)

    def release(
        self, ticket: str, wanted: tuple[placement.Reservation, ...]
    ) -> None:
        """Releases without waiting for the answers."""
        renewal = self._renewals.pop(ticket, None)
        if renewal is None:
            return
        renewal.close()
        eventlet.spawn_n(self._release_all, ticket, wanted)

    def _start_renewal(
        self, ticket: str, wanted: tuple[placement.Reservation, ...]
    ) -> base.PeriodicTask:
        def renew() -> None:
            for item in wanted:
                self._order(ticket, item)

        def note_fault(exc: Exception) -> None:
            logging.error("fault in renewal of %s: %r", ticket, exc)

        interval_ms = min(_RENEW_MS, self.hold_max_ms / 3)
        task = base.PeriodicTask(renew, interval_ms, self.clock, note_fault)
        task.start(run_immediately=False)
        return task

    def _release_all(
        self, ticket: str, wanted: tuple[placement.Reservation, ...]
    ) -> None:
        head, body = self.codec.encode_release(ticket)
        for item in wanted:
            for _ in range(_RELEASE_TRIES):
                if self._call(item.endpoint, head, body) is not None:
                    break

    def _order(self, ticket: str, item: placement.Reservation) -> bool:
        head, body = self.codec.encode_reservation(
            ticket, item.tokens, min(_HOLD_MS, self.hold_max_ms)
        )
        return self._call(item.endpoint, head, body) == _OK

    def _call(
        self,
        endpoint: placement.Endpoint,
        head: connections.RequestHead,
        body: bytes,
    ) -> int | None:
        conn = connections.ClientConnection(endpoint.address, self.clock)
        try:
            conn.start(_ORDER_TIMEOUT_MS)
            conn.send(head, body, _ORDER_TIMEOUT_MS)
            answer = conn.read_head(_ORDER_TIMEOUT_MS)
            conn.read_body(_ORDER_TIMEOUT_MS, _MAX_REPLY_BYTES)
        except base.HollycartError as exc:
            logging.info("order to %s: %s", endpoint.id, exc.detail)
            return None
        finally:
            conn.close()
        return answer.status
