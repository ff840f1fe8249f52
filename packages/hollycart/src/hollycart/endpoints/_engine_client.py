"""Client for the HTTP interface of engines."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import eventlet
import msgspec

from hollycart.endpoints import _sse
from hollycart_core import base
from hollycart_core import http
from hollycart_core import orders
from hollycart_core import scheduling

_CONTROL_TIMEOUT_MS = 1000
_ORDER_TIMEOUT_MS = 60_000


class EngineStream:
    """The streamed response of an engine to one attempt.

    Args:
        stream: The open HTTP response.
    """

    def __init__(self, stream: http.HttpStream) -> None:
        self.stream = stream

    def frames(
        self, stall_ms: float, still_working: Callable[[], bool]
    ) -> Iterator[_sse.EngineFrame]:
        """Yields the frames as they arrive.

        Args:
            stall_ms: Time without data after which `still_working` is called,
                in ms.
            still_working: Returns whether the engine still works on the
                attempt.

        Raises:
            EndpointFailedError: If the connection breaks, an event cannot be
                decoded, or the engine stalls and no longer works on the
                attempt.
            DeadlineExceededError: If the deadline passes.
        """
        return _sse.parse_events(self.stream.chunks(stall_ms, still_working))

    def release_connection(self) -> None:
        """Reads the rest of the response, then releases the connection.

        Returns at once and reads in the background. Closing the connection
        before the engine has sent the end of the stream could leave the
        KV-cache memory of the attempt allocated.
        """
        eventlet.spawn_n(self._read_to_end)

    def close(self) -> None:
        """Closes the connection without reading the rest of the response."""
        self.stream.close()

    def _read_to_end(self) -> None:
        try:
            self.stream.read_rest(_CONTROL_TIMEOUT_MS)
        except base.HollycartError:
            self.stream.close()


class EngineClient:
    """Sends requests to engines.

    Args:
        client: HTTP client.
    """

    def __init__(self, client: http.HttpClient) -> None:
        self.client = client

    def open_stream(
        self, address: str, path: str, body: bytes, timeout_ms: float
    ) -> EngineStream:
        """Starts an attempt.

        Args:
            address: `host:port` of the engine.
            path: Path of the URL.
            body: JSON request body.
            timeout_ms: Time limit for the whole attempt, in ms.

        Raises:
            EndpointUnreachableError: If no byte of the request was sent.
            EndpointFailedError: If the connection breaks or the HTTP status is
                not 200.
            DeadlineExceededError: If `timeout_ms` passes.
        """
        stream = self.client.open(
            "POST",
            f"http://{address}{path}",
            body,
            {"Content-Type": "application/json"},
            timeout_ms,
        )
        if stream.status != 200:
            stream.close()
            raise base.EndpointFailedError(f"{address}: {stream.status}")
        return EngineStream(stream)

    def cancel(self, address: str, attempt_id: str) -> None:
        """Cancels an attempt, which frees its memory.

        Raises:
            EndpointFailedError: If the engine does not respond.
        """
        self._post(address, "/v1/cancel", {"request_id": attempt_id})

    def reserve(self, address: str, attempt_id: str, tokens: int) -> bool:
        """Reserves memory for a share of a large prompt.

        Args:
            address: `host:port` of the engine.
            attempt_id: The attempt that the memory is reserved for.
            tokens: KV-cache memory to reserve, in tokens.

        Returns:
            Whether the engine reserved the memory.

        Raises:
            EndpointFailedError: If the engine does not respond.
        """
        body = {"request_id": attempt_id, "tokens": tokens}
        return self._post(address, "/v1/reserve", body).status == 200

    def read_report(
        self, endpoint_id: str, address: str
    ) -> scheduling.EndpointReport:
        """Returns the load that the engine reports.

        Args:
            endpoint_id: Id of the engine, for the report.
            address: `host:port` of the engine.

        Raises:
            EndpointFailedError: If the engine does not respond.
            DeadlineExceededError: If the response does not arrive in time.
        """
        state = self.read_state(address)
        held = tuple(
            scheduling.HeldSequence(
                str(sequence_id), int(memory_tokens), int(prefill_left)
            )
            for sequence_id, memory_tokens, prefill_left in state["held"]
        )
        return scheduling.EndpointReport(
            endpoint_id, held, float(state["age_ms"])
        )

    def read_state(self, address: str) -> dict[str, Any]:
        """Returns the decoded JSON body of the engine's state report."""
        response = self.client.send(
            "GET",
            f"http://{address}/v1/state",
            timeout_ms=_CONTROL_TIMEOUT_MS,
        )
        if response.status != 200:
            raise base.EndpointFailedError(f"{address}: {response.status}")
        return response.json()

    def send_order(
        self, address: str, order: orders.Order, fence: int
    ) -> http.HttpResponse:
        """Sends an order with its fencing token.

        Args:
            address: `host:port` of the engine.
            order: The order.
            fence: Fencing token of the order lease.
        """
        body = {
            "fence": fence,
            "models": order.models,
            "role": order.role,
        }
        return self._post(address, "/v1/orders", body, _ORDER_TIMEOUT_MS)

    def _post(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        timeout_ms: float = _CONTROL_TIMEOUT_MS,
    ) -> http.HttpResponse:
        return self.client.send(
            "POST",
            f"http://{address}{path}",
            msgspec.json.encode(body),
            {"Content-Type": "application/json"},
            timeout_ms,
        )
