"""A stand-in of a model engine: streams of events, weights of one version."""

import asyncio
import contextlib
import json
import time

from common import engine
from common import http1
from common import load
from common import store
from common import system

_MODEL_SLOTS = 8
_MEMORY_TOKENS = 450000
_EVENT = b"id: %d\ndata: piece %d of %s\n\n"


class ModelEngine(engine.Engine):
    """Streams the events of an answer at a fixed pace.

    It drops a request when its channel closes. The number of events is the
    second number of `X-Token-Usage` by 46 tokens, as the sheet says.

    Attributes:
        version: Version of its weights.
        gap_ms: Time between two events.
        dropped: Ids of the requests whose channel closed before their end.
    """

    def __init__(
        self, engine_id: str, address: str, zone: str, gap_ms: float = 60.0
    ) -> None:
        super().__init__(
            engine_id, load.MODEL_SERVICE, address, zone, _MODEL_SLOTS
        )
        self.version = 1
        self.gap_ms = gap_ms
        self.dropped: list[tuple[float, str]] = []

    def entry(self) -> dict[str, object]:
        """Returns its entry in the store."""
        models = [{"name": "m", "version": self.version, "adapters": []}]
        return {**super().entry(), "stage": "both", "models": models}

    async def handle(
        self, request: http1.Request, channel: http1.Channel
    ) -> None:
        """Answers a request, a report or a status check."""
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            await channel.respond(status, {"X-Instance-Id": self.id})
            return
        if request.path == "/v1/report":
            await channel.respond(200, {}, json.dumps(self.report()).encode())
            return
        if not await self.accept(request, channel):
            return
        self.running += 1
        try:
            await self.stream(request, channel)
        finally:
            self.running -= 1

    def report(self) -> dict[str, object]:
        """Returns the report of its load."""
        return {
            "stage": "both",
            "models": [{"name": "m", "version": self.version, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "in-flight": self.running,
            "kv-used": 0,
            "kv-total": _MEMORY_TOKENS,
            "handles": 0,
            "tickets": [],
        }

    async def accept(
        self, request: http1.Request, channel: http1.Channel
    ) -> bool:
        """Returns whether the request may run; answers it if not."""
        headers = request.headers
        expected = headers.get("x-expect-instance", self.id)
        version = headers.get("x-expect-version", str(self.version))
        request_id = headers.get("x-request-id", "")
        ran = expected == self.id and version == str(self.version)
        self.arrivals.append(
            engine.Arrival(
                time.monotonic(),
                self.id,
                request_id,
                request.target,
                headers.get("x-tenant", ""),
                ran,
            )
        )
        if not ran:
            await channel.respond(
                421, {"X-Instance-Id": self.id, "At-Server": self.id}
            )
        return ran

    async def stream(
        self, request: http1.Request, channel: http1.Channel
    ) -> None:
        """Streams the events after `Last-Event-Id`."""
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        tokens = int(headers.get("x-token-usage", "0,0").split(",")[1])
        after = int(headers.get("last-event-id") or 0)
        closed = asyncio.ensure_future(channel.wait_closed())
        try:
            await channel.start_chunked(
                200,
                {
                    "X-Request-Id": request_id,
                    "X-Server-Seal": f"{self.id}.{request_id}",
                    "X-Weight-Versions": str(self.version),
                    "Content-Type": "text/event-stream",
                },
            )
            for number in range(after + 1, max(1, tokens // 46) + 1):
                await asyncio.wait([closed], timeout=self.gap_ms / 1000.0)
                if closed.done():
                    self.dropped.append((time.monotonic(), request_id))
                    raise ConnectionResetError
                event = _EVENT % (number, number, request_id.encode())
                await channel.write_chunk(event)
            await channel.write_chunk(b"")
        finally:
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed


async def start_model_engines(
    records: store.Store, count: int, gap_ms: float = 60.0
) -> list[ModelEngine]:
    """Starts model engines in turn in all zones and registers them."""
    engines = []
    for number, port in enumerate(system.free_ports(count)):
        one = ModelEngine(
            f"m-{number}",
            f"127.0.0.1:{port}",
            system.ZONES[number % len(system.ZONES)],
            gap_ms,
        )
        await one.start()
        records.put_json(f"servers/{one.id}", one.entry())
        engines.append(one)
    return engines
