"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from typing import NamedTuple
import urllib.parse

from common import http1

_PAGE_ITEMS = 500


class _Item(NamedTuple):
    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """Keeps keys, revisions and leases; linearizable, one page of 500 items.

    Attributes:
        address: `IP:PORT`.
        reads: Number of range reads that were answered.
    """

    def __init__(self, host: str, port: int) -> None:
        self.address = f"{host}:{port}"
        self.reads = 0
        self._items: dict[str, _Item] = {}
        self._revision = 100
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await http1.serve(host, int(port), self._handle)

    def put(self, key: str, value: bytes, lease: int = 0) -> float:
        """Writes a key, as the operator or an engine does.

        Returns:
            Instant of the acknowledgement, in seconds of the steady clock.
        """
        self._revision += 1
        known = self._items.get(key)
        created = known.created if known else self._revision
        self._items[key] = _Item(value, self._revision, created, lease)
        return time.monotonic()

    def put_json(self, key: str, value: object) -> float:
        """Writes a key with a JSON value; returns the acknowledgement."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> float:
        """Removes a key; returns the instant of the acknowledgement."""
        self._revision += 1
        self._items.pop(key, None)
        return time.monotonic()

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease, (end_s, _) in list(self._leases.items()):
            if now_s >= end_s:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self.remove(key)

    async def _handle(
        self, request: http1.Request, channel: http1.Channel
    ) -> None:
        self._expire()
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        status, value = self._answer(request, query)
        await channel.respond(
            status,
            {"Content-Type": "application/json", "Store-Era": "1"},
            json.dumps(value).encode(),
        )

    def _answer(
        self, request: http1.Request, query: dict[str, str]
    ) -> tuple[int, object]:
        path = request.path
        if path == "/v1/kv-range":
            self.reads += 1
            return 200, self._range(query)
        if path == "/v1/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"at": self._revision}
            return 200, {**_entry(query["key"], item), "at": self._revision}
        if path == "/v1/kv-txn":
            return self._txn(json.loads(request.body))
        if path == "/v1/kv-lease":
            ttl_ms = json.loads(request.body)["ttl-ms"]
            lease = self._next_lease
            self._next_lease += 1
            self._leases[lease] = (
                time.monotonic() + ttl_ms / 1000.0,
                ttl_ms / 1000.0,
            )
            return 200, {"lease": lease, "ttl-ms": ttl_ms}
        name, _, number = path.rpartition("/")
        if name == "/v1/kv-keep":
            known = self._leases.get(int(number))
            if known is None:
                return 404, {}
            self._leases[int(number)] = (time.monotonic() + known[1], known[1])
            return 200, {}
        if name == "/v1/kv-lease-end":
            if int(number) in self._leases:
                self._end_lease(int(number))
            return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> object:
        prefix, after = query.get("path-prefix", ""), query.get("after", "")
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        return {
            "entries": [_entry(k, self._items[k]) for k in keys[:_PAGE_ITEMS]],
            "has-more": len(keys) > _PAGE_ITEMS,
            "at": self._revision,
        }

    def _txn(self, txn: dict[str, list]) -> tuple[int, object]:
        for row in txn.get("expected", []):
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"entries": []}
        for write in txn.get("writes", []):
            if write.get("lease") and write["lease"] not in self._leases:
                return 404, {}
        for write in txn.get("writes", []):
            self.put(
                write["key"],
                base64.b64decode(write["value"]),
                write.get("lease", 0),
            )
        for key in txn.get("remove", []):
            self.remove(key)
        return 200, {"revision": self._revision}


def _entry(key: str, item: _Item) -> dict[str, object]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }
