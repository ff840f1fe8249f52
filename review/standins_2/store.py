"""Stand-in for the platform's metadata store."""

import base64
import http.server
import json
import threading
import time
from typing import Any
import urllib.parse

_PAGE_SIZE = 500
_RETENTION_S = 20.0


class Store:
    """Holds items, leases and a log of the calls; serves any number of ports.

    Each gateway gets a port of its own, so that the log tells who called.

    Attributes:
        down: Whether all calls are answered 503, with nothing done.
        turned_away: Names of the callers whose calls are answered 503.
        calls: Time, name of the caller and path of each call.
    """

    def __init__(self) -> None:
        self.down = False
        self.turned_away: set[str] = set()
        self.calls: list[tuple[float, str, str]] = []
        self._lock = threading.RLock()
        self._revision = 10
        self._items: dict[str, dict[str, Any]] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 77
        self._servers: list[http.server.ThreadingHTTPServer] = []

    def serve(self, name: str, host: str) -> str:
        """Starts a listener for one caller; returns its address."""
        store = self

        class Handler(_Handler):
            owner = store
            caller = name

        server = _Server((host, 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self._servers.append(server)
        return f"{host}:{server.server_address[1]}"

    def close(self) -> None:
        """Stops all listeners."""
        for server in self._servers:
            server.shutdown()
            server.server_close()

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; leases pause during it."""
        with self._lock:
            if self.down and not down:
                pause_s = time.monotonic() - self._down_since
                self._leases = {
                    n: (ttl, end + pause_s)
                    for n, (ttl, end) in self._leases.items()
                }
            self._down_since = time.monotonic()
            self.down = down

    def put(self, key: str, value: dict[str, Any]) -> float:
        """Writes a key as the operator or an engine; returns when, in s."""
        with self._lock:
            self._write(key, base64.b64encode(json.dumps(value).encode()), 0)
            return time.time()

    def remove(self, key: str) -> float:
        """Removes a key as the operator or an engine; returns when, in s."""
        with self._lock:
            self._delete(key)
            return time.time()

    def readers(self, since_s: float) -> set[str]:
        """Returns who read the items after an instant of `time.time`."""
        with self._lock:
            return {
                name
                for at_s, name, path in self.calls
                if at_s >= since_s and path == "/v1/kv-range"
            }

    def _write(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        old = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": value.decode(),
            "revision": self._revision,
            "created": old["created"] if old else self._revision,
            "lease": lease,
        }

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1

    def _expire(self) -> None:
        now_s = time.monotonic()
        for number, (_, end_s) in list(self._leases.items()):
            if end_s < now_s:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        del self._leases[number]
        for key, item in list(self._items.items()):
            if item["lease"] == number:
                self._delete(key)

    def answer(
        self, method: str, target: str, body: bytes, caller: str
    ) -> tuple[int, dict[str, Any]]:
        """Returns status and body of the answer to one call."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        with self._lock:
            self.calls.append((time.time(), caller, url.path))
            if self.down or caller in self.turned_away:
                return 503, {}
            self._expire()
            content = json.loads(body) if body else {}
            if url.path == "/v1/kv-range":
                return 200, self._range(query)
            if url.path == "/v1/kv-txn":
                return self._txn(content)
            if url.path == "/v1/kv-lease":
                ttl_ms = max(1000, content["ttl-ms"])
                self._next_lease += 1
                end_s = time.monotonic() + ttl_ms / 1000.0
                self._leases[self._next_lease] = (ttl_ms, end_s)
                return 200, {"lease": self._next_lease, "ttl-ms": ttl_ms}
            name, _, number = url.path.rpartition("/")
            if name == "/v1/kv-keep" and int(number) in self._leases:
                ttl_ms, _ = self._leases[int(number)]
                end_s = time.monotonic() + ttl_ms / 1000.0
                self._leases[int(number)] = (ttl_ms, end_s)
                return 200, {"ttl-ms": ttl_ms}
            if name == "/v1/kv-lease-end" and int(number) in self._leases:
                self._end_lease(int(number))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("path-prefix", ""), query.get("after", "")
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        return {
            "entries": [self._items[k] for k in keys[:_PAGE_SIZE]],
            "has-more": len(keys) > _PAGE_SIZE,
            "at": self._revision,
        }

    def _txn(self, content: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = content.get("expected", [])
        for row in expected:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"entries": []}
        writes = content.get("writes", [])
        if any(
            w.get("lease") and w["lease"] not in self._leases for w in writes
        ):
            return 404, {}
        for write in writes:
            self._write(
                write["key"], write["value"].encode(), write.get("lease", 0)
            )
        for key in content.get("remove", []):
            self._delete(key)
        return 200, {"revision": self._revision}


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores a caller that was killed during its call."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    owner: Store
    caller = ""

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        status, content = self.owner.answer(
            self.command, self.path, body, self.caller
        )
        data = json.dumps(content).encode()
        head = (
            f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        self.wfile.write(head.encode() + data)

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:
        """Writes nothing: the calls are in the log of the store."""
