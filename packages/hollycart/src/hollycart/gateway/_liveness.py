"""Checks that an endpoint has outlived its response."""

from absl import logging

from hollycart.gateway import _codec
from hollycart.gateway import _failures
from hollycart.gateway import _notices
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

_TIMEOUT_MS = 300.0  # a process that has ended refuses much sooner


class EndpointLiveness:
    """Confirms responses whose end only the end of the connection declares.

    The connections of a process that crashed are closed in an orderly way, also
    between two events. The end of such a response counts only if its endpoint
    still responds.

    Args:
        codec: Translates the platform's messages.
        notices: Records what endpoints ask for in their responses.
        clock: Source of time.
    """

    def __init__(
        self,
        codec: _codec.RequestCodec,
        notices: _notices.EndpointNotices,
        clock: base.Clock,
    ) -> None:
        self.codec = codec
        self.notices = notices
        self.clock = clock

    def confirm_end(
        self,
        endpoint: placement.Endpoint,
        framing: connections.Framing,
        reports_load: bool,
    ) -> None:
        """Confirms the end of a response.

        Args:
            endpoint: The endpoint that sent it.
            framing: How the end was declared.
            reports_load: Whether the endpoint answers queries for its load;
                otherwise it only has to accept a connection.

        Raises:
            TruncatedStreamError: If the connection declared the end and the
                endpoint refuses or resets another one. An endpoint that is
                silent has not crashed: its close has arrived.
        """
        if framing is not connections.Framing.CONNECTION:
            return
        query = self.codec.encode_load_query() if reports_load else None
        failure = self.find_failure(endpoint, query)
        if failure is not None:
            raise _failures.TruncatedStreamError(
                f"{endpoint.id} closed the connection and no longer responds: "
                f"{failure.detail}"
            ) from failure

    def find_failure(
        self,
        endpoint: placement.Endpoint,
        query: connections.RequestHead | None,
    ) -> base.EndpointFailedError | None:
        """Returns the error by which an endpoint shows that it has crashed.

        Args:
            endpoint: The endpoint.
            query: Request that it answers while it runs; None if it only has
                to accept a connection.

        Returns:
            The error; None if the endpoint responds, and if it is silent.
        """
        conn = connections.ClientConnection(endpoint.address, self.clock)
        try:
            conn.start(_TIMEOUT_MS)
            if query is not None and self._may_query(endpoint):
                sent_ms = self.clock.now_ms()
                conn.send(query, b"", _TIMEOUT_MS)
                head = conn.read_head(_TIMEOUT_MS)
                self.notices.record(endpoint, head, sent_ms)
        except _failures.EndpointLostError:
            raise
        except base.SilentEndpointError:
            logging.info("liveness of %s is unknown: no answer", endpoint.id)
        except base.EndpointFailedError as exc:
            if isinstance(exc.__cause__, TimeoutError):
                logging.info("liveness of %s is unknown: %s", endpoint.id, exc)
                return None
            return exc
        finally:
            conn.close()
        return None

    def _may_query(self, endpoint: placement.Endpoint) -> bool:
        """Returns whether the endpoint may be sent a query.

        Not if it has asked for a pause, is limited or cold, or its zone is
        evacuated.
        """
        now_ms = self.clock.now_ms()
        access = self.notices.platform_state.evacuations.access(
            endpoint.zone, now_ms
        )
        return (
            not self.notices.limits_rate(endpoint)
            and not self.notices.restrictions.pause_left_ms(endpoint, now_ms)
            and access is not placement.ZoneAccess.CLOSED
        )
