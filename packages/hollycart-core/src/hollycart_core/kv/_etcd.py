"""Client of a key-value service that has the etcd v3 JSON API."""

import base64
import collections
from collections.abc import Sequence
from typing import Any

import msgspec

from hollycart_core import base
from hollycart_core import http
from hollycart_core.kv import _types

_CALL_TIMEOUT_MS = 2000
_REJECTION_STATUSES = (429, 503)  # the call was not executed


def _encode(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _prefix_end(prefix: str) -> str:
    # etcd takes the end of a key range as exclusive: the prefix with its last
    # byte incremented.
    raw = prefix.encode()
    return _encode(raw[:-1] + bytes([raw[-1] + 1]))


class EtcdStore:
    """Stores pairs in the key-value service and counts the calls by kind.

    Args:
        client: HTTP client.
        address: `host:port` of the service.
        timeout_ms: Timeout of a call, in ms; a watch has its own.

    Attributes:
        calls: Number of calls by kind; a watch counts once, however long it
            waits.
    """

    def __init__(
        self,
        client: http.HttpClient,
        address: str,
        timeout_ms: float = _CALL_TIMEOUT_MS,
    ) -> None:
        self.client = client
        self.address = address
        self.timeout_ms = timeout_ms
        self.calls: collections.Counter[str] = collections.Counter()

    def range(self, prefix: str) -> _types.RangeResult:
        """Returns all pairs whose key starts with `prefix`."""
        request = {"key": _encode(prefix), "range_end": _prefix_end(prefix)}
        response = self._call_read_only("kv/range", request)
        items = tuple(
            _types.KeyValue(
                base64.b64decode(pair["key"]).decode(),
                base64.b64decode(pair.get("value", "")),
                int(pair["mod_revision"]),
                int(pair["create_revision"]),
            )
            for pair in response.get("kvs", ())
        )
        return _types.RangeResult(int(response["header"]["revision"]), items)

    def txn(
        self,
        compares: Sequence[_types.Compare],
        puts: Sequence[_types.Put],
        deletes: Sequence[str] = (),
    ) -> _types.TxnResult:
        """Executes the writes atomically if all conditions hold."""
        operations: list[dict[str, Any]] = [
            {
                "request_put": {
                    "key": _encode(put.key),
                    "value": _encode(put.value),
                    "lease": str(put.lease_id),
                }
            }
            for put in puts
        ]
        operations += [
            {"request_delete_range": {"key": _encode(key)}} for key in deletes
        ]
        request = {
            "compare": [
                {
                    "key": _encode(compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(compare.mod_revision),
                }
                for compare in compares
            ],
            "success": operations,
        }
        response = self._call("kv/txn", request)
        return _types.TxnResult(
            bool(response.get("succeeded")), int(response["header"]["revision"])
        )

    def grant_lease(self, ttl_ms: float) -> int:
        """Returns the id of a new lease.

        etcd leases have whole seconds; `ttl_ms` is rounded up.
        """
        ttl_s = max(1, -(-int(ttl_ms) // 1000))
        return int(self._call("lease/grant", {"TTL": str(ttl_s)})["ID"])

    def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has expired."""
        response = self._call("lease/keepalive", {"ID": str(lease_id)})
        return int(response["result"].get("TTL", "0")) > 0

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes the keys attached to it."""
        self._call("lease/revoke", {"ID": str(lease_id)})

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: float
    ) -> bool:
        """Waits for a write under `prefix` after `after_revision`."""
        request = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _prefix_end(prefix),
                "start_revision": str(after_revision + 1),
            }
        }
        self.calls["watch"] += 1
        try:
            stream = self.client.open(
                "POST",
                f"http://{self.address}/v3/watch",
                msgspec.json.encode(request),
                timeout_ms=timeout_ms,
            )
        except base.DeadlineExceededError:
            return False
        except base.EndpointFailedError as exc:
            raise base.KvUnavailableError(str(exc)) from exc
        try:
            if stream.status != 200:
                raise base.KvUnavailableError(f"watch: {stream.status}")
            return any(b"events" in chunk for chunk in stream.chunks())
        except base.DeadlineExceededError:
            return False
        except base.EndpointFailedError as exc:
            raise base.KvUnavailableError(str(exc)) from exc
        finally:
            stream.close()

    def _call_read_only(
        self, path: str, request: dict[str, Any]
    ) -> dict[str, Any]:
        try:
            return self._call(path, request)
        except base.KvAnswerLostError as exc:
            raise base.KvUnavailableError(exc.detail) from exc

    def _call(self, path: str, request: dict[str, Any]) -> dict[str, Any]:
        self.calls[path] += 1
        try:
            response = self.client.send(
                "POST",
                f"http://{self.address}/v3/{path}",
                msgspec.json.encode(request),
                timeout_ms=self.timeout_ms,
            )
        except base.EndpointUnreachableError as exc:
            raise base.KvUnavailableError(path) from exc
        except (base.EndpointFailedError, base.DeadlineExceededError) as exc:
            raise base.KvAnswerLostError(path) from exc
        if response.status in _REJECTION_STATUSES:
            raise base.KvUnavailableError(f"{path}: {response.status}")
        if response.status != 200:
            raise base.KvAnswerLostError(f"{path}: {response.status}")
        try:
            return response.json()
        except base.EndpointFailedError as exc:
            raise base.KvAnswerLostError(path) from exc
