"""A stand-in of an engine of a service that serves no prompts."""

import asyncio
import json
import time
from typing import NamedTuple

from common import http1
from common import load
from common import store
from common import system

_IDLE_REPORT = {
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "busy": False,
    "sequence": 0,
    "queued": 0,
    "in-flight": 0,
    "kv-used": 0,
    "kv-total": 450000,
    "handles": 0,
    "tickets": [],
}


class Arrival(NamedTuple):
    """A request that reached an engine.

    Attributes:
        at_s: Instant, in seconds of the steady clock.
        engine: Id of the engine.
        request_id: Id of the consumer's attempt.
        target: Path and query.
        tenant: Value of `X-Tenant`.
        ran: Whether the engine ran the request.
    """

    at_s: float
    engine: str
    request_id: str
    target: str
    tenant: str
    ran: bool


class Engine:
    """Runs each request for some ms and returns a sealed answer.

    Args:
        engine_id: Id of this start of the engine.
        service: Name of its service.
        address: `IP:PORT`.
        zone: Its zone.
        slots: Number of requests that it serves at once.
        work_ms: Time that a request takes.

    Attributes:
        arrivals: Requests that reached it, in order.
        state: `ready` or `draining`.
        running: Number of requests that it runs now.
    """

    def __init__(
        self,
        engine_id: str,
        service: str,
        address: str,
        zone: str,
        slots: int = 6,
        work_ms: float = 20.0,
    ) -> None:
        self.id = engine_id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.work_ms = work_ms
        self.arrivals: list[Arrival] = []
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.running = 0

    async def start(self) -> None:
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        await http1.serve(host, int(port), self.handle)

    def entry(self) -> dict[str, object]:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": 1,
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": 0,
            "born": self.born,
        }

    async def handle(
        self, request: http1.Request, channel: http1.Channel
    ) -> None:
        """Answers a request or a status check."""
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            await channel.respond(status, {"X-Instance-Id": self.id})
            return
        if request.path == "/v1/report":
            await channel.respond(200, {}, json.dumps(_IDLE_REPORT).encode())
            return
        request_id = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-expect-instance", self.id)
        headers = {"X-Request-Id": request_id}
        ran = expected == self.id and self.running < self.slots + 24
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                self.id,
                request_id,
                request.target,
                request.headers.get("x-tenant", ""),
                ran,
            )
        )
        if not ran:
            status = 503 if expected == self.id else 421
            await channel.respond(status, {**headers, "X-Not-Executed": "1"})
            return
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000.0)
        finally:
            self.running -= 1
        headers["X-Server-Seal"] = f"{self.id}.{request_id}"
        headers["X-Server-Load"] = f"{self.running},0,{self.slots}"
        await channel.respond(200, headers, b"answer of " + self.id.encode())


async def start_engines(
    records: store.Store, service: str, count: int
) -> list[Engine]:
    """Starts engines in turn in all zones and registers them."""
    prefix = "m" if service == load.MODEL_SERVICE else "i"
    engines = []
    for number, port in enumerate(system.free_ports(count)):
        one = Engine(
            f"{prefix}-{number}",
            service,
            f"127.0.0.1:{port}",
            system.ZONES[number % len(system.ZONES)],
        )
        await one.start()
        records.put_json(f"servers/{one.id}", one.entry())
        engines.append(one)
    return engines


async def start_store(model_engines: int = 3) -> store.Store:
    """Starts a store, and the model engines that a deployment has."""
    records = store.Store("127.0.0.1", system.free_ports(1)[0])
    await records.start()
    await start_engines(records, load.MODEL_SERVICE, model_engines)
    return records
