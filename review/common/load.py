"""Configurations and plain requests of the scripts."""

import asyncio
import itertools
import time
from typing import NamedTuple

from common import case
from common import http1
from common import system

HOST = "guild.example"
KEY = "key-of-tenant"
TENANT = "studio"
PLAIN_SERVICE = "member-desk"
MODEL_SERVICE = "lm-pool"
# The services of cpig-render, with the words and figures of the pages.
SERVICES: list[dict[str, object]] = [
    {
        "name": MODEL_SERVICE,
        "health-path": "/health",
        "max-conns": 354,
        "engine": {
            "slots": 8,
            "kv-capacity-tokens": 450000,
            "stride": 46,
            "step_ms": 0.925,
            "per_seq_ms": 0.00966,
            "context_per_k": 0.00254,
            "read_per_s": 256000.0,
            "pairs_per_m": 0.0917,
            "chunk": 2048,
            "report_lag_ms": 200.0,
            "usual": {"prompt": 13199, "answer": 1541},
            "hop-ms": 0.1,
        },
    },
    {"name": PLAIN_SERVICE, "health-path": "/health", "max-conns": 96},
]


class Route(NamedTuple):
    """A route, as the operator writes it."""

    prefix: str
    service: str
    kind: str = "idempotent"
    public: bool = False


def make_config(
    version: int, routes: list[Route], max_body_bytes: int = 4 << 20
) -> dict[str, object]:
    """Returns a configuration with a tenant that has one key."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"route-{route.prefix}",
                "host": HOST,
                "path-prefix": f"/{route.prefix}/",
                "service": route.service,
                "kind": route.kind,
                "timeout-ms": 10000 if route.kind == "streaming" else 1500,
                "target-latency-ms": 300,
                "priority": 2,
                "max-attempts": 1 if route.kind == "non_idempotent" else 2,
                "public": route.public,
                "affinity": route.kind == "streaming",
                "stream-resume": route.kind == "streaming",
                "gap-aim-ms": 200 if route.kind == "streaming" else 0,
            }
            for route in routes
        ],
        "services": SERVICES,
        "tenants": [{"name": TENANT, "api-keys": [KEY]}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": max_body_bytes,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


class Sent(NamedTuple):
    """A request of a consumer.

    Attributes:
        at_s: Instant at which it was sent, in seconds of the steady clock.
        prefix: Prefix of its path.
    """

    at_s: float
    prefix: str


class Load:
    """Sends requests at a fixed rate and keeps what became of them.

    Args:
        record: Record of the case.
        instances: Instances that take the requests, in turn.
        per_s: Requests a second.

    Attributes:
        sent: What was sent, by the id of the request.
        statuses: What was answered; 0 for no answer.
    """

    def __init__(
        self,
        record: case.Record,
        instances: list[system.Instance],
        per_s: float,
    ) -> None:
        self.record = record
        self.instances = instances
        self.per_s = per_s
        self.sent: dict[str, Sent] = {}
        self.statuses: dict[str, int] = {}
        self._numbers = itertools.count()
        self._turns = itertools.cycle(range(len(instances)))
        self._tasks: set[asyncio.Task] = set()

    async def run(self, prefixes: list[str], for_s: float) -> None:
        """Sends a request for each prefix to each instance in turn."""
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            instance = self.instances[next(self._turns)]
            for prefix in prefixes:
                task = asyncio.create_task(
                    self._send(prefix, next(self._numbers), instance)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(len(prefixes) / self.per_s)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _send(
        self, prefix: str, number: int, instance: system.Instance
    ) -> None:
        request_id = f"r{number:06d}"
        sent = Sent(time.monotonic(), prefix)
        self.sent[request_id] = sent
        response = await http1.exchange(
            instance.front,
            "GET",
            f"/{prefix}/{number}",
            {
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "3000",
                "X-Api-Key": KEY,
            },
        )
        self.statuses[request_id] = response.status
        elapsed_ms = (time.monotonic() - sent.at_s) * 1000.0
        seal = response.headers.get("x-server-seal", "none")
        self.record.write(
            f"{request_id} /{prefix}/ at {instance.name}: sent "
            f"{elapsed_ms:.0f} ms ago, answered {response.status}, seal {seal}"
        )
