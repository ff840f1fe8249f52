"""Stand-in for the key-value store, with the etcd v3 JSON mapping."""

import base64
import collections
from collections.abc import Iterable
import random
from typing import Any

import msgspec

from hollycart_core import base
from hollycart_core import http
from hollycart_core import kv

_MAX_BODY_BYTES = 8 << 20
_MAX_VALUE_BYTES = 1 << 20
_WATCH_POLL_MS = 10
_WATCH_TIMEOUT_MS = 600_000
_READ_CALLS = frozenset(["kv/range", "watch"])


class KvFaults(msgspec.Struct):
    """Faults that the store injects, and its rate limits.

    Attributes:
        down: Whether every call is refused.
        delay_ms: Delay added before each call is executed, in ms.
        lose_answers: Share of writes that are executed but answered with
            status 504.
        writes_per_s: Maximum number of writes in a second.
        reads_per_s: Maximum number of reads in a second.
        lapse_leases: Whether to revoke all current leases when the faults are
            set.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: float = 0.0
    writes_per_s: int = 500
    reads_per_s: int = 2000
    lapse_leases: bool = False


class KvApp:
    """Serves a `MemoryStore` over HTTP and counts the calls.

    Args:
        clock: Source of time.

    Attributes:
        calls: Number of calls by name.
        refused: Number of calls refused with status 503.
        lost: Number of executed writes whose response was lost.
    """

    def __init__(self, clock: base.Clock) -> None:
        self.clock = clock
        self.store = kv.MemoryStore(clock)
        self.faults = KvFaults()
        self.rng = random.Random(1)
        self.calls: collections.Counter[str] = collections.Counter()
        self.refused = 0
        self.lost = 0
        self._second = 0
        self._calls_this_second: collections.Counter[str] = (
            collections.Counter()
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handles one request."""
        path = environ["PATH_INFO"]
        body = http.read_body(environ, _MAX_BODY_BYTES)
        if path == "/control/faults":
            self.faults = msgspec.json.decode(body, type=KvFaults)
            if self.faults.lapse_leases:
                for lease_id in list(self.store._leases):
                    self.store.revoke_lease(lease_id)
            return http.json_response(start_response, 200, {})
        if path == "/control/calls":
            value = {
                "calls": self.calls,
                "refused": self.refused,
                "lost": self.lost,
            }
            return http.json_response(start_response, 200, value)
        return self._serve(path, body, start_response)

    def _serve(
        self, path: str, body: bytes, start_response: Any
    ) -> Iterable[bytes]:
        name = path.removeprefix("/v3/")
        self.calls[name] += 1
        if self.faults.down or self._over_rate(name):
            self.refused += 1
            return http.json_response(start_response, 503, {})
        if self.faults.delay_ms:
            self.clock.sleep_ms(self.faults.delay_ms)
        try:
            response = self._execute(name, msgspec.json.decode(body))
        except (KeyError, ValueError, RecursionError) as exc:
            return http.json_response(start_response, 400, {"e": str(exc)})
        is_write = name not in _READ_CALLS
        if is_write and self.rng.random() < self.faults.lose_answers:
            self.lost += 1
            return http.json_response(start_response, 504, {})
        return http.json_response(start_response, 200, response)

    def _over_rate(self, name: str) -> bool:
        second = int(self.clock.now_ms() / 1000)
        if second != self._second:
            self._second = second
            self._calls_this_second.clear()
        kind = "read" if name in _READ_CALLS else "write"
        self._calls_this_second[kind] += 1
        limit = (
            self.faults.reads_per_s
            if kind == "read"
            else self.faults.writes_per_s
        )
        return self._calls_this_second[kind] > limit

    def _execute(self, name: str, body: dict[str, Any]) -> dict[str, Any]:
        if name == "kv/range":
            return self._range(body)
        if name == "kv/txn":
            return self._txn(body)
        if name == "lease/grant":
            ttl_s = int(body["TTL"])
            lease_id = self.store.grant_lease(ttl_s * 1000.0)
            return {"ID": str(lease_id), "TTL": str(ttl_s)}
        if name == "lease/keepalive":
            is_live = self.store.keep_alive(int(body["ID"]))
            return {"result": {"ID": body["ID"], "TTL": str(int(is_live))}}
        if name == "lease/revoke":
            self.store.revoke_lease(int(body["ID"]))
            return {}
        if name == "watch":
            return self._watch(body["create_request"])
        raise KeyError(name)

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        found = self.store.range(_decode(body["key"]).decode())
        pairs = [
            {
                "key": _encode(item.key.encode()),
                "value": _encode(item.value),
                "mod_revision": str(item.mod_revision),
                "create_revision": str(item.create_revision),
            }
            for item in found.items
        ]
        return {"header": {"revision": str(found.revision)}, "kvs": pairs}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        compares = [
            kv.Compare(_decode(c["key"]).decode(), int(c["mod_revision"]))
            for c in body["compare"]
        ]
        puts = []
        deletes = []
        for operation in body["success"]:
            put = operation.get("request_put")
            if put is None:
                target = operation["request_delete_range"]["key"]
                deletes.append(_decode(target).decode())
                continue
            value = _decode(put["value"])
            if len(value) > _MAX_VALUE_BYTES:
                raise KeyError("value too large")
            puts.append(
                kv.Put(
                    _decode(put["key"]).decode(),
                    value,
                    int(put.get("lease", "0")),
                )
            )
        result = self.store.txn(compares, puts, deletes)
        return {
            "succeeded": result.succeeded,
            "header": {"revision": str(result.revision)},
        }

    def _watch(self, body: dict[str, Any]) -> dict[str, Any]:
        prefix = _decode(body["key"]).decode()
        after = int(body["start_revision"]) - 1
        end_ms = self.clock.now_ms() + _WATCH_TIMEOUT_MS
        while self.clock.now_ms() < end_ms and not self.faults.down:
            if self.store.changed(prefix, after):
                return {"result": {"events": [{"type": "PUT"}]}}
            self.clock.sleep_ms(_WATCH_POLL_MS)
        return {"result": {}}


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
