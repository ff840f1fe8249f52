"""Key-value service stand-in with the etcd v3 JSON mapping."""

import base64
import collections
from collections.abc import Iterable
import random
from typing import Any

import msgspec

from hollycart_core import base
from hollycart_core import http
from hollycart_core import kv

_BODY_LIMIT = 8 << 20  # bytes
_MAX_VALUE = 1 << 20  # bytes
_WATCH_POLL_MS = 10
_WATCH_LIMIT_MS = 600_000
_READS = frozenset(["kv/range", "watch"])


class KvFaults(msgspec.Struct):
    """Faults of the service.

    Attributes:
        down: Refuse every call.
        delay_ms: Answer this late, in ms.
        lose_answers: Share of writes whose answer is lost after the effect.
        writes_per_s: Limit on writes.
        reads_per_s: Limit on reads.
        lapse_leases: End all leases now.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: float = 0.0
    writes_per_s: int = 500
    reads_per_s: int = 2000
    lapse_leases: bool = False


class KvApp:
    """Serves a `MemoryStore` and counts every call.

    Args:
        clock: Source of time.
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
        self._in_second: collections.Counter[str] = collections.Counter()

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handles one request."""
        path = environ["PATH_INFO"]
        body = http.read_body(environ, _BODY_LIMIT)
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
            answer = self._execute(name, msgspec.json.decode(body))
        except (KeyError, *base.DECODE_ERRORS) as exc:
            return http.json_response(start_response, 400, {"e": str(exc)})
        lossy = name not in _READS
        if lossy and self.rng.random() < self.faults.lose_answers:
            self.lost += 1
            return http.json_response(start_response, 504, {})
        return http.json_response(start_response, 200, answer)

    def _over_rate(self, name: str) -> bool:
        second = int(self.clock.now_ms() / 1000)
        if second != self._second:
            self._second = second
            self._in_second.clear()
        kind = "read" if name in _READS else "write"
        self._in_second[kind] += 1
        limit = (
            self.faults.reads_per_s
            if kind == "read"
            else self.faults.writes_per_s
        )
        return self._in_second[kind] > limit

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
            alive = self.store.keep_alive(int(body["ID"]))
            return {"result": {"ID": body["ID"], "TTL": str(int(alive))}}
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
            if len(value) > _MAX_VALUE:
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
        end_ms = self.clock.now_ms() + _WATCH_LIMIT_MS
        while self.clock.now_ms() < end_ms and not self.faults.down:
            if self.store.changed(prefix, after):
                return {"result": {"events": [{"type": "PUT"}]}}
            self.clock.sleep_ms(_WATCH_POLL_MS)
        return {"result": {}}


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
