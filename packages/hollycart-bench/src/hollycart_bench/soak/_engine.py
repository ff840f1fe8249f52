"""An engine on loopback that keeps a journal of what it runs."""

import hashlib
import pathlib
from typing import Any
from typing import NamedTuple

from eventlet import semaphore

from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement
from hollycart_core import routing
import hollycart_standins

_QUEUE = 16  # requests that wait for a slot at most
# Time of the work of a request without a prompt, in ms.
_WORK_MS = 60.0
_EVENTS_LEAST = 5
_EVENTS_MORE = 20
HELD_PATH = b"/control/held"


class _Ticket(NamedTuple):
    tokens: int
    ends_ms: float


class SoakEngine:
    """Runs requests in slots, by the published step model.

    Args:
        address: `IP:PORT` to listen on.
        engine_id: Id of its lifetime.
        parameters: Step model; None for endpoints without prompts.
        slots: Requests that it runs at the same time.
        journal: File that keeps what has run, over a crash.
        clock: Source of time.
    """

    def __init__(
        self,
        address: str,
        engine_id: str,
        parameters: routing.EngineParameters | None,
        slots: int,
        journal: pathlib.Path,
        clock: base.Clock,
    ) -> None:
        self.engine_id = engine_id
        self.parameters = parameters
        self.clock = clock
        self.engine_codec = hollycart_standins.EngineCodec()
        self.server = connections.HttpExchangeServer(
            address, self.handle, clock
        )
        self._slots = semaphore.Semaphore(slots)
        self._waiting = 0
        self._tickets: dict[str, _Ticket] = {}
        self._journal = journal
        self._file: Any = None

    def start(self) -> None:
        """Opens the journal and listens."""
        self._file = self._journal.open("a", buffering=1, encoding="utf-8")
        self.server.start()

    def close(self) -> None:
        """Stops."""
        self.server.close()
        self._file.close()

    def handle(self, exchange: connections.Exchange) -> None:
        """Answers one request."""
        if exchange.head.target == HELD_PATH:
            held = str(len(self._live_tickets())).encode()
            exchange.respond(200, (), held)
            return
        req = self.engine_codec.decode_engine_request(
            exchange.head, exchange.body
        )
        if req.operation:
            self._order(exchange, req)
            return
        wrong = req.endpoint_id not in ("", self.engine_id)
        if wrong or self._waiting >= _QUEUE:
            status, fields = self.engine_codec.encode_rejection(req, wrong)
            exchange.respond(status, fields, b"")
            return
        self._waiting += 1
        try:
            self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            self._run(exchange, req)
        finally:
            self._slots.release()

    def _run(
        self,
        exchange: connections.Exchange,
        req: hollycart_standins.EngineRequest,
    ) -> None:
        self._note("run", req)
        try:
            if req.prompt_tokens and self.parameters is not None:
                self._stream(exchange, req, self.parameters)
            else:
                self.clock.sleep_ms(_WORK_MS)
                fields = self.engine_codec.encode_success(req, False)
                exchange.respond(200, fields, answer_body(req.request_id))
        except connections.CallerGoneError:
            self._note("gone", req)
            raise
        self._note("end", req)

    def _stream(
        self,
        exchange: connections.Exchange,
        req: hollycart_standins.EngineRequest,
        parameters: routing.EngineParameters,
    ) -> None:
        model = placement.EngineModel(parameters)
        if req.resume_after == 0:
            self.clock.sleep_ms(
                model.prefill_ms(req.prompt_tokens, req.prefill_engine_count)
            )
        exchange.start(200, self.engine_codec.encode_success(req, True), None)
        last = event_count(req.request_id)
        for number in range(req.resume_after + 1, last + 1):
            self.clock.sleep_ms(model.decode_step_ms(1, req.prompt_tokens))
            data = event_data(req.request_id, number)
            exchange.write(self.engine_codec.encode_event(number, data))
        exchange.finish()

    def _order(
        self,
        exchange: connections.Exchange,
        req: hollycart_standins.EngineRequest,
    ) -> None:
        live = self._live_tickets()
        if req.operation == "release":
            self._tickets.pop(req.ticket, None)
        else:
            others = sum(t.tokens for i, t in live.items() if i != req.ticket)
            memory = self.parameters.memory_tokens if self.parameters else 0
            if others + req.tokens > memory:
                exchange.respond(409, (), b"{}")
                return
            self._tickets[req.ticket] = _Ticket(
                req.tokens, self.clock.now_ms() + req.hold_ms
            )
        exchange.respond(200, (), b"{}")

    def _live_tickets(self) -> dict[str, _Ticket]:
        now_ms = self.clock.now_ms()
        self._tickets = {
            name: ticket
            for name, ticket in self._tickets.items()
            if ticket.ends_ms > now_ms
        }
        return self._tickets

    def _note(self, what: str, req: hollycart_standins.EngineRequest) -> None:
        line = f"{self.clock.wall_ms()}\t{self.engine_id}\t{what}"
        self._file.write(f"{line}\t{req.request_id}\t{req.team}\n")


def answer_body(request_id: str) -> bytes:
    """Returns the whole body of a request without a prompt."""
    return hashlib.blake2b(request_id.encode()).hexdigest().encode()


def event_count(request_id: str) -> int:
    """Returns the number of events in the answer to a prompt."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=2).digest()
    return _EVENTS_LEAST + int.from_bytes(digest, "big") % _EVENTS_MORE


def event_data(request_id: str, number: int) -> str:
    """Returns the data of one event."""
    return hashlib.blake2b(
        f"{request_id}/{number}".encode(), digest_size=16
    ).hexdigest()
