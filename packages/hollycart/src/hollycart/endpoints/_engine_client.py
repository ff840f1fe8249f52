"""Client of model engines."""

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
    """The frames of one attempt.

    Args:
        stream: The open HTTP answer.
    """

    def __init__(self, stream: http.HttpStream) -> None:
        self.stream = stream

    def frames(
        self, stall_ms: float, still_working: Callable[[], bool]
    ) -> Iterator[_sse.EngineFrame]:
        """Yields the frames as they arrive.

        Args:
            stall_ms: Silence after which `still_working` is asked, in ms.
            still_working: Whether the engine still works on the attempt.

        Raises:
            EndpointFailedError: If the connection breaks or the engine has
                stopped working on the attempt.
            DeadlineExceededError: If the deadline passes.
        """
        return _sse.parse_events(self.stream.chunks(stall_ms, still_working))

    def release_connection(self) -> None:
        """Reads what follows the last frame and keeps the connection.

        An engine whose connection breaks before it has sent the end may hold
        the memory of the answer.
        """
        eventlet.spawn_n(self._read_rest)

    def close(self) -> None:
        """Closes the connection."""
        self.stream.close()

    def _read_rest(self) -> None:
        try:
            self.stream.read_rest(_CONTROL_TIMEOUT_MS)
        except base.HollycartError:
            self.stream.close()


class EngineClient:
    """Speaks the engines' protocol.

    Args:
        client: HTTP client.
    """

    def __init__(self, client: http.HttpClient) -> None:
        self.client = client

    def open_stream(
        self, address: str, path: str, body: bytes, timeout_ms: float
    ) -> EngineStream:
        """Starts an attempt.

        Raises:
            EndpointUnreachableError: If no byte was sent.
            EndpointFailedError: If the engine refuses or breaks.
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
        """Ends an attempt and frees its memory.

        Raises:
            EndpointFailedError: If the engine does not answer.
        """
        self._post(address, "/v1/cancel", {"request_id": attempt_id})

    def reserve(self, address: str, attempt_id: str, tokens: int) -> bool:
        """Holds memory for a share of a large prompt.

        Returns:
            Whether the engine had the memory.

        Raises:
            EndpointFailedError: If the engine does not answer.
        """
        body = {"request_id": attempt_id, "tokens": tokens}
        return self._post(address, "/v1/reserve", body).status == 200

    def read_report(
        self, endpoint_id: str, address: str
    ) -> scheduling.EndpointReport:
        """Returns the engine's account of what it holds.

        Raises:
            EndpointFailedError: If the engine does not answer.
            DeadlineExceededError: If it answers too late.
        """
        state = self.read_state(address)
        held = tuple(
            scheduling.HeldSequence(str(i), int(m), int(left))
            for i, m, left in state["held"]
        )
        return scheduling.EndpointReport(
            endpoint_id, held, float(state["age_ms"])
        )

    def read_state(self, address: str) -> dict[str, Any]:
        """Returns the engine's state as it reports it."""
        reply = self.client.send(
            "GET",
            f"http://{address}/v1/state",
            timeout_ms=_CONTROL_TIMEOUT_MS,
        )
        if reply.status != 200:
            raise base.EndpointFailedError(f"{address}: {reply.status}")
        return reply.json()

    def send_order(
        self, address: str, order: orders.Order, fence: int
    ) -> http.HttpReply:
        """Sends an order with its fencing number."""
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
    ) -> http.HttpReply:
        return self.client.send(
            "POST",
            f"http://{address}{path}",
            msgspec.json.encode(body),
            {"Content-Type": "application/json"},
            timeout_ms,
        )
