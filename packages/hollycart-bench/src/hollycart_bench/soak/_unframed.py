"""Response whose end only the end of its connection declares."""

from typing import Any

from hollycart_core import connections

_WRITE_TIMEOUT_S = 10.0


class UnframedResponse:
    """Sends a response without a length and without chunks.

    Args:
        exchange: The request; its connection ends with the response.
    """

    def __init__(self, exchange: connections.Exchange) -> None:
        self.exchange = exchange
        self._sock: Any = None

    def start(
        self, status: int, headers: connections.Headers, length: None
    ) -> None:
        """Sends the head of the response.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
        """
        self._sock = self.exchange.detach()
        self._sock.settimeout(_WRITE_TIMEOUT_S)
        lines = [b"%s: %s\r\n" % field for field in headers]
        self.write(b"HTTP/1.1 %d\r\n%s\r\n" % (status, b"".join(lines)))

    def write(self, data: bytes) -> None:
        """Sends a part of the response body.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
        """
        try:
            self._sock.sendall(data)
        except OSError as exc:
            self._sock.close()
            raise connections.CallerGoneError(str(exc)) from exc

    def finish(self) -> None:
        """Ends the response by an orderly close of its connection."""
        self._sock.close()
