"""HTTP client for green threads."""

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

urllib3: Any = eventlet.import_patched("urllib3")

_CONNECT_TIMEOUT_MS = 1000
_READ_SIZE = 65536  # bytes


class HttpReply(NamedTuple):
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: Header fields, case-insensitive.
        body: The body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body.

        Raises:
            EndpointFailedError: If the body is not JSON.
        """
        try:
            return msgspec.json.decode(self.body)
        except base.DECODE_ERRORS as exc:
            raise base.EndpointFailedError(f"not JSON: {exc}") from exc


class HttpStream:
    """An answer whose body is read as it arrives.

    Args:
        reply: The open urllib3 response.
        deadline_s: `time.monotonic` instant after which reading fails.
    """

    def __init__(self, reply: Any, deadline_s: float) -> None:
        self.reply = reply
        self.deadline_s = deadline_s
        self.status: int = reply.status
        self.headers: Mapping[str, str] = reply.headers
        self._reading_since: float | None = None

    def chunks(
        self,
        stall_ms: float | None = None,
        still_working: Callable[[], bool] | None = None,
    ) -> Iterator[bytes]:
        """Yields the body in pieces.

        Args:
            stall_ms: Silence after which `still_working` is asked, in ms;
                None waits until the deadline.
            still_working: Whether the sender still works on the answer.

        Raises:
            EndpointFailedError: If the connection breaks or the sender is
                silent and no longer works on the answer.
            DeadlineExceededError: If the deadline passes.
        """
        watch = None
        if stall_ms is not None and still_working is not None:
            watch = eventlet.spawn(
                self._watch, eventlet.getcurrent(), stall_ms, still_working
            )
        try:
            while True:
                chunk = self._read_chunk()
                if not chunk:
                    return
                yield chunk
        finally:
            if watch is not None:
                watch.kill()

    def read_rest(self, timeout_ms: float) -> None:
        """Reads to the end, so that the connection can be used again.

        Raises:
            EndpointFailedError: If the connection breaks.
            DeadlineExceededError: If `timeout_ms` passes.
        """
        self.deadline_s = time.monotonic() + timeout_ms / 1000.0
        for _ in self.chunks():
            pass
        self.reply.release_conn()

    def close(self) -> None:
        """Closes the connection without reading the rest."""
        self.reply.close()

    def _read_chunk(self) -> bytes:
        left_s = self.deadline_s - time.monotonic()
        if left_s <= 0:
            raise base.DeadlineExceededError("reading the answer")
        timer = eventlet.Timeout(left_s)
        self._reading_since = time.monotonic()
        try:
            return self.reply.read1(_READ_SIZE)
        except eventlet.Timeout as exc:
            if exc is not timer:
                raise
            raise base.DeadlineExceededError("reading the answer") from exc
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            raise base.EndpointFailedError(type(exc).__name__) from exc
        finally:
            self._reading_since = None
            timer.cancel()

    def _watch(
        self,
        reader: Any,
        stall_ms: float,
        still_working: Callable[[], bool],
    ) -> None:
        """Interrupts the reader once the sender is silent and idle.

        An interrupted read leaves the connection unusable, so the sender is
        asked before, beside the read.
        """
        while True:
            eventlet.sleep(stall_ms / 1000.0)
            since = self._reading_since
            silent = since is not None and (
                time.monotonic() - since >= stall_ms / 1000.0
            )
            if silent and not still_working() and self._reading_since == since:
                hubs.get_hub().schedule_call_global(
                    0, reader.throw, base.EndpointFailedError("silent")
                )
                return


class HttpClient:
    """Sends requests over pooled connections; it never repeats one.

    Args:
        pool_size: Idle connections kept per address.

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
    ) -> HttpReply:
        """Sends a request and reads the whole answer.

        Args:
            method: HTTP method.
            url: Absolute address.
            body: Request body.
            headers: Request header fields.
            timeout_ms: Bound on the whole exchange, in ms.

        Returns:
            The answer, of any status.

        Raises:
            EndpointUnreachableError: If no byte was sent.
            EndpointFailedError: If the exchange broke after that.
            DeadlineExceededError: If `timeout_ms` passed.
        """
        stream = self.open(method, url, body, headers, timeout_ms)
        try:
            data = b"".join(stream.chunks())
        except base.HollycartError:
            stream.close()
            raise
        stream.reply.release_conn()
        return HttpReply(stream.status, stream.headers, data)

    def open(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_ms: float = 5000,
    ) -> HttpStream:
        """Sends a request and returns once the header has arrived.

        Args and failures are those of `send`; `timeout_ms` also bounds the
        reading of the body.
        """
        if timeout_ms <= 0:
            raise base.DeadlineExceededError("before sending")
        deadline_s = time.monotonic() + timeout_ms / 1000.0
        timer = eventlet.Timeout(timeout_ms / 1000.0)
        try:
            reply = self._pool.request(
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
        return HttpStream(reply, deadline_s)
