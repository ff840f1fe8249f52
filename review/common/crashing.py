"""Engines that crash on certain requests and are back after some seconds."""

import asyncio
import contextlib
import socket
import struct
import time

from common import case
from common import engine
from common import http1
from common import store

_ENTRY_LAPSES_S = 3.6  # three status report intervals


class CrashingEngine:
    """An engine at one address, over all of its lifetimes.

    Args:
        name: Start of the ids of its lifetimes.
        service: Name of its service.
        address: `IP:PORT`.
        zone: Its zone.
        deadly: Start of the paths on which a lifetime ends.
        back_s: Time after which the next lifetime starts.
        records: The store in which it registers.
        record: Record of the case.

    Attributes:
        arrivals: Requests that reached it, in order.
        crashes: Instants of its crashes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        zone: str,
        deadly: str,
        back_s: float,
        records: store.Store,
        record: case.Record,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.deadly = deadly
        self.back_s = back_s
        self.records = records
        self.record = record
        self.arrivals: list[engine.Arrival] = []
        self.crashes: list[float] = []
        self._lifetime = 0
        self._life: engine.Engine | None = None
        self._server: asyncio.Server | None = None
        self._channels: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts the next lifetime and registers it."""
        self._lifetime += 1
        life = engine.Engine(
            f"{self.name}-{self._lifetime}",
            self.service,
            self.address,
            self.zone,
        )
        life.arrivals = self.arrivals
        self._life = life
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=256
        )
        self.records.put_json(f"servers/{life.id}", life.entry())
        self.record.write(f"{life.id} starts")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    request = await http1.read_request(reader)
                    life = self._life
                    if request is None or life is None:
                        break
                    expected = request.headers.get("x-expect-instance")
                    if (
                        request.path.startswith(self.deadly)
                        and expected == life.id
                    ):
                        self._crash(life, request)
                        break
                    await life.handle(request, http1.Channel(reader, writer))
        finally:
            self._channels.discard(writer)
            writer.close()

    def _crash(self, life: engine.Engine, request: http1.Request) -> None:
        now_s = time.monotonic()
        request_id = request.headers.get("x-request-id", "")
        self.arrivals.append(
            engine.Arrival(
                now_s,
                life.id,
                request_id,
                request.target,
                request.headers.get("x-tenant", ""),
                True,
            )
        )
        self.crashes.append(now_s)
        self.record.write(f"{life.id} begins to run {request_id} and crashes")
        self._life = None
        assert self._server is not None
        self._server.close()
        for writer in list(self._channels):
            sock = writer.get_extra_info("socket")
            if isinstance(sock, socket.socket) or sock is not None:
                # The end of a process that has unread bytes is a reset.
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
            writer.transport.abort()
        self._spawn(self._come_back())
        self._spawn(self._lapse(life.id))

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back(self) -> None:
        await asyncio.sleep(self.back_s)
        await self.start()

    async def _lapse(self, engine_id: str) -> None:
        await asyncio.sleep(_ENTRY_LAPSES_S)
        self.records.remove(f"servers/{engine_id}")
