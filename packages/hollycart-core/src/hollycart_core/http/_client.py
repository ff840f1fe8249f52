"""HTTP client for green threads, based on urllib3."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import time
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import hubs
import msgspec

from hollycart_core import base
from hollycart_core.http import _strict_connection

urllib3: Any = _strict_connection.urllib3

_CONNECT_TIMEOUT_MS = 1000
_READ_BYTES = 65536
_UNIT_BYTES = 4096  # bytes that are received in one unit of work
_MAX_RESPONSE_BYTES = 64 << 20  # of a response that is read as a whole


class HttpResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Header fields, case-insensitive.
        body: Response body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded JSON body.

        Raises:
            EndpointFailedError: If the body is not JSON.
        """
        return (
            base.parse(msgspec.json.decode, self.body)
            .map_err(lambda reason: f"not JSON: {reason}")
            .unwrap_or_raise(base.EndpointFailedError)
        )


class HttpStream:
    """A response whose body is read as it arrives.

    Args:
        response: The open urllib3 response.
        deadline_s: Instant after which reading fails, in s of
            `time.monotonic`.
    """

    def __init__(self, response: Any, deadline_s: float) -> None:
        self.response = response
        self.deadline_s = deadline_s
        self.status: int = response.status
        self.headers: Mapping[str, str] = response.headers
        self._read_started_s: float | None = None
        self._work = base.WorkMeter("response")

    def chunks(
        self,
        stall_ms: float | None = None,
        still_working: Callable[[], bool] | None = None,
    ) -> Iterator[bytes]:
        """Yields the body in chunks.

        Args:
            stall_ms: Time without data after which `still_working` is called,
                in ms; None waits until the deadline.
            still_working: Returns whether the sender still works on the
                response.

        Raises:
            EndpointFailedError: If the connection breaks, or if the sender
                stalls and no longer works on the response.
            DeadlineExceededError: If the deadline passes.
        """
        watch = None
        if stall_ms is not None and still_working is not None:
            watch = eventlet.spawn(
                self._detect_stall,
                eventlet.getcurrent(),
                stall_ms,
                still_working,
            )
        try:
            while True:
                chunk = self._read_chunk()
                if not chunk:
                    return
                self._work.add(1 + len(chunk) // _UNIT_BYTES)
                yield chunk
        finally:
            if watch is not None:
                watch.kill()

    def read_rest(self, timeout_ms: float) -> None:
        """Discards the rest of the body and releases the connection for reuse.

        Args:
            timeout_ms: Time to wait for the end of the body, in ms.

        Raises:
            EndpointFailedError: If the connection breaks.
            DeadlineExceededError: If `timeout_ms` passes.
        """
        self.deadline_s = time.monotonic() + timeout_ms / 1000.0
        for _ in self.chunks():
            pass
        self.response.release_conn()

    def close(self) -> None:
        """Closes the connection without reading the rest of the body."""
        self.response.close()

    def _read_chunk(self) -> bytes:
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise base.DeadlineExceededError("reading the answer")
        timer = eventlet.Timeout(remaining_s)
        self._read_started_s = time.monotonic()
        try:
            return self.response.read1(_READ_BYTES)
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            raise base.DeadlineExceededError("reading the answer") from exc
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            raise base.EndpointFailedError(type(exc).__name__) from exc
        finally:
            self._read_started_s = None
            timer.cancel()

    def _detect_stall(
        self,
        reader: Any,
        stall_ms: float,
        still_working: Callable[[], bool],
    ) -> None:
        """Interrupts the reader once the sender stalls and no longer works.

        An interrupted read makes the connection unusable. The sender is
        therefore queried first, while the read goes on.
        """
        while True:
            eventlet.sleep(stall_ms / 1000.0)
            started_s = self._read_started_s
            is_stalled = started_s is not None and (
                time.monotonic() - started_s >= stall_ms / 1000.0
            )
            if (
                is_stalled
                and not still_working()
                and self._read_started_s == started_s
            ):
                hubs.get_hub().schedule_call_global(
                    0, reader.throw, base.EndpointFailedError("silent")
                )
                return


class HttpClient:
    """Sends requests over pooled connections, without retries or redirects.

    Args:
        pool_size: Largest number of idle connections per address.

    Example:
        >>> client = HttpClient()
        >>> client.start()
        >>> client.close()
    """

    def __init__(self, pool_size: int = 32) -> None:
        self.pool_size = pool_size
        self._pool: Any = None

    def start(self) -> None:
        """Creates the connection pool."""
        self._pool = urllib3.PoolManager(
            num_pools=512, maxsize=self.pool_size, retries=False
        )
        self._pool.pool_classes_by_scheme = {
            "http": _strict_connection.StrictPool
        }

    def close(self) -> None:
        """Closes all idle connections."""
        if self._pool is not None:
            self._pool.clear()

    def send(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_ms: float = 5000,
    ) -> HttpResponse:
        """Sends a request and reads the whole response.

        Args:
            method: HTTP method.
            url: Absolute URL.
            body: Request body.
            headers: Request header fields.
            timeout_ms: Timeout of the whole exchange, in ms.

        Returns:
            The response, whatever its status is.

        Raises:
            EndpointUnreachableError: If no byte was sent.
            EndpointFailedError: If the exchange failed after bytes were sent,
                or the response is too large.
            DeadlineExceededError: If the exchange took longer than
                `timeout_ms`.
        """
        stream = self.open(method, url, body, headers, timeout_ms)
        data = bytearray()
        try:
            for chunk in stream.chunks():
                data += chunk
                if len(data) > _MAX_RESPONSE_BYTES:
                    raise base.EndpointFailedError(
                        f"{url}: response exceeds {_MAX_RESPONSE_BYTES} bytes"
                    )
        except base.HollycartError:
            stream.close()
            raise
        stream.response.release_conn()
        return HttpResponse(stream.status, stream.headers, bytes(data))

    def open(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_ms: float = 5000,
    ) -> HttpStream:
        """Sends a request and returns once the response head has arrived.

        Arguments and errors are those of `send`. `timeout_ms` also bounds
        reading the body from the returned stream.
        """
        if timeout_ms <= 0:
            raise base.DeadlineExceededError("before sending")
        deadline_s = time.monotonic() + timeout_ms / 1000.0
        timer = eventlet.Timeout(timeout_ms / 1000.0)
        try:
            response = self._pool.request(
                method,
                url,
                body=body,
                headers=headers,
                preload_content=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_MS / 1000.0, read=None
                ),
            )
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            raise base.DeadlineExceededError(url) from exc
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise base.EndpointUnreachableError(url) from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise base.EndpointFailedError(
                f"{url}: {type(exc).__name__}"
            ) from exc
        finally:
            timer.cancel()
        return HttpStream(response, deadline_s)
