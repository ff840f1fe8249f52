"""Stand-in for an engine, which keeps a journal of the requests it runs."""

import hashlib
import os
import pathlib
from typing import Any
from typing import NamedTuple
from typing import NoReturn

from eventlet import semaphore
import msgspec

from hollycart_bench.soak import _endless
from hollycart_bench.soak import _unframed
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement
from hollycart_core import routing
import hollycart_standins

_MAX_QUEUED = 16  # requests that wait for a slot
_PLAIN_SERVICE_TIME_MS = 60.0
_MIN_EVENTS = 5
_EVENT_COUNT_RANGE = 20
_UNFRAMED_INTERVAL = 4  # one in so many streams has no length and no chunks
_CRASH_DELAY_MS = 60.0  # from the start of the decode
_CRASH_CODE = 139
LARGE_PATH = "/again/large/"  # requests of an answer of `LARGE_BYTES`
LARGE_BYTES = 1 << 20
HELD_PATH = b"/control/held"
FAULTS_PATH = b"/control/faults"


class EngineFaults(msgspec.Struct):
    """Faults that the engine simulates.

    Attributes:
        closes_inside_event: Whether streams end inside an event, by an orderly
            close and without a declared length.
        says_leaving: Whether its responses state that it is leaving.
        pause_s: Pause that it asks for with each rejection of all requests, in
            s; 0 accepts them.
        limit_per_s: Limit that its responses name, in requests a second; 0 for
            none.
        endless: Kind of response that it sends without end, one of
            `_endless.KINDS`; empty for none.
    """

    closes_inside_event: bool = False
    says_leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float = 0.0
    endless: str = ""


class _Reservation(NamedTuple):
    tokens: int
    expires_ms: float


class SoakEngine:
    """Runs requests in slots, with the times of the published step model.

    Args:
        address: `IP:PORT` to listen on.
        engine_id: Id of this incarnation of the engine.
        parameters: Step model; None for endpoints without prompts.
        slots: Number of requests that run concurrently.
        journal: File of the journal, which survives a crash.
        clock: Source of time.
        crash_segment: Segment on which the process ends as soon as it starts to
            decode; empty for none.
        crash_body: Body of a request on which the process ends while it runs;
            empty for none.
        cold_ms: Time for which the engine is cold after its start, in ms.
    """

    def __init__(
        self,
        address: str,
        engine_id: str,
        parameters: routing.EngineParameters | None,
        slots: int,
        journal: pathlib.Path,
        clock: base.Clock,
        crash_segment: str = "",
        crash_body: bytes = b"",
        cold_ms: float = 0.0,
    ) -> None:
        self.crash_segment = crash_segment
        self.crash_body = crash_body
        self.cold_ms = cold_ms
        self.engine_id = engine_id
        self.parameters = parameters
        self.slots = slots
        self.clock = clock
        self.faults = EngineFaults()
        self.engine_codec = hollycart_standins.EngineCodec()
        self.server = connections.HttpExchangeServer(
            address, self.handle, clock
        )
        self._slots = semaphore.Semaphore(slots)
        self._waiting = 0
        self._reservations: dict[str, _Reservation] = {}
        self._journal = journal
        self._journal_file: Any = None
        self._cold_until_ms = 0.0

    def start(self) -> None:
        """Opens the journal and starts to listen."""
        self._journal_file = self._journal.open(
            "a", buffering=1, encoding="utf-8"
        )
        self._cold_until_ms = self.clock.now_ms() + self.cold_ms
        self.server.start()

    def close(self) -> None:
        """Closes the server and the journal."""
        self.server.close()
        self._journal_file.close()

    def handle(self, exchange: connections.Exchange) -> None:
        """Handles one request."""
        if exchange.head.target == HELD_PATH:
            held = str(len(self._active_reservations())).encode()
            exchange.respond(200, (), held)
            return
        if exchange.head.target == FAULTS_PATH:
            self.faults = msgspec.json.decode(exchange.body, type=EngineFaults)
            exchange.respond(200, (), b"")
            return
        if self.engine_codec.is_report(exchange.head):
            fields, body = self.engine_codec.encode_report(
                self.slots - self._slots.counter, self.faults.says_leaving
            )
            exchange.respond(200, fields, body)
            return
        req = self.engine_codec.decode_engine_request(
            exchange.head, exchange.body
        )
        if self._cold_left_ms() and req.endpoint_id in ("", self.engine_id):
            self._write_journal("cold", req)
        if req.operation:
            self._handle_reservation(exchange, req)
            return
        self._write_journal("arrived", req)
        if self._has_crash_segment(req):
            self._write_journal("crashing", req)
        if self._has_crash_body(exchange):
            self._write_journal("repeated", req)
        wrong_incarnation = req.endpoint_id not in ("", self.engine_id)
        pause_s = 0.0 if wrong_incarnation else self.faults.pause_s
        if wrong_incarnation or pause_s or self._waiting >= _MAX_QUEUED:
            status, fields = self.engine_codec.encode_rejection(
                req, wrong_incarnation, pause_s
            )
            if pause_s:
                self._write_journal("pause", req)
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
        self._write_journal("run", req)
        if self.faults.says_leaving:
            self._write_journal("leaving", req)
        if self.faults.endless:
            fields = self._encode_success(req, req.prompt_tokens > 0)
            _endless.send_without_end(exchange, self.faults.endless, fields)
            return
        try:
            if req.prompt_tokens and self.parameters is not None:
                self._stream(exchange, req, self.parameters)
            else:
                self.clock.sleep_ms(_PLAIN_SERVICE_TIME_MS)
                if self._has_crash_body(exchange):
                    self._crash("repeated_crash", req)
                fields = self._encode_success(req, False)
                body = response_body(req.request_id)
                if exchange.head.target.startswith(LARGE_PATH.encode()):
                    body *= LARGE_BYTES // len(body)
                exchange.respond(200, fields, body)
        except connections.CallerGoneError:
            self._write_journal("gone", req)
            raise
        self._write_journal("end", req)

    def _cold_left_ms(self) -> float:
        return max(0.0, self._cold_until_ms - self.clock.now_ms())

    def _has_crash_segment(self, req: hollycart_standins.EngineRequest) -> bool:
        return bool(self.crash_segment) and self.crash_segment in req.segments

    def _has_crash_body(self, exchange: connections.Exchange) -> bool:
        return bool(self.crash_body) and exchange.body == self.crash_body

    def _crash(
        self, event: str, req: hollycart_standins.EngineRequest
    ) -> NoReturn:
        self.clock.sleep_ms(_CRASH_DELAY_MS)
        self._write_journal(event, req)
        os._exit(_CRASH_CODE)

    def _encode_success(
        self, req: hollycart_standins.EngineRequest, stream: bool
    ) -> connections.Headers:
        if self.faults.limit_per_s:
            self._write_journal("limited", req)
        return self.engine_codec.encode_success(
            req,
            stream,
            self.faults.says_leaving,
            self.faults.limit_per_s,
            self._cold_left_ms(),
        )

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
        if self._has_crash_segment(req):
            self._crash("crash", req)
        if self._has_crash_body(exchange):
            self._crash("repeated_crash", req)
        last_number = event_count(req.request_id)
        closes_inside_event = self.faults.closes_inside_event
        response: connections.Exchange | _unframed.UnframedResponse = exchange
        if closes_inside_event or last_number % _UNFRAMED_INTERVAL == 0:
            response = _unframed.UnframedResponse(exchange)
        fields = self._encode_success(req, True)
        response.start(200, fields, None)
        for number in range(req.resume_after + 1, last_number + 1):
            self.clock.sleep_ms(model.decode_step_ms(1, req.prompt_tokens))
            event = self.engine_codec.encode_event(
                number, event_data(req.request_id, number)
            )
            if closes_inside_event and number > req.resume_after + 1:
                response.write(event[: len(event) // 2])
                break
            response.write(event)
        response.finish()

    def _handle_reservation(
        self,
        exchange: connections.Exchange,
        req: hollycart_standins.EngineRequest,
    ) -> None:
        active = self._active_reservations()
        if req.operation == "release":
            self._reservations.pop(req.ticket, None)
        else:
            other_tokens = sum(
                r.tokens for i, r in active.items() if i != req.ticket
            )
            memory = self.parameters.memory_tokens if self.parameters else 0
            if other_tokens + req.tokens > memory:
                exchange.respond(409, (), b"{}")
                return
            self._reservations[req.ticket] = _Reservation(
                req.tokens, self.clock.now_ms() + req.hold_ms
            )
        exchange.respond(200, (), b"{}")

    def _active_reservations(self) -> dict[str, _Reservation]:
        now_ms = self.clock.now_ms()
        self._reservations = {
            name: reservation
            for name, reservation in self._reservations.items()
            if reservation.expires_ms > now_ms
        }
        return self._reservations

    def _write_journal(
        self, event: str, req: hollycart_standins.EngineRequest
    ) -> None:
        line = f"{self.clock.wall_ms()}\t{self.engine_id}\t{event}"
        self._journal_file.write(f"{line}\t{req.request_id}\t{req.team}\n")


def response_body(request_id: str) -> bytes:
    """Returns the body of the response to a request without a prompt."""
    return hashlib.blake2b(request_id.encode()).hexdigest().encode()


def event_count(request_id: str) -> int:
    """Returns the number of events in the response to a prompt."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=2).digest()
    return _MIN_EVENTS + int.from_bytes(digest, "big") % _EVENT_COUNT_RANGE


def event_data(request_id: str, number: int) -> str:
    """Returns the data of one event of a response."""
    return hashlib.blake2b(
        f"{request_id}/{number}".encode(), digest_size=16
    ).hexdigest()
