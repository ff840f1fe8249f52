"""HTTP interface of the engine stand-in."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import eventlet
import msgspec

from hollycart_bench.engine import _batcher
from hollycart_bench.engine import _faults
from hollycart_bench.engine import _orders
from hollycart_bench.engine import _sequence
from hollycart_bench.engine import _text
from hollycart_core import base
from hollycart_core import http

_IDLE_POLL_INTERVAL_S = 0.1
_MAX_BODY_BYTES = 64 << 20
# Cache events are published late and with losses: the newest 50 are withheld
# and every 17th is dropped.
_UNPUBLISHED_EVENT_COUNT = 50
_LOST_EVENT_INTERVAL = 17
_SHARE_TIMEOUT_MS = 600_000


class EngineApp:
    """WSGI application of the engine stand-in.

    It serves completions, reservations, prompt shares, load reports, cache
    events and orders.

    Args:
        batcher: Scheduler of the engine.
        clock: Source of time.
        orders: Models and role of the engine, which orders set.
        report_lag_ms: Age of the load reports that are served, in ms.

    Attributes:
        faults: Faults injected into the responses.
        received: Wall-clock time, in ms, and attempt id of every completion
            request.
    """

    def __init__(
        self,
        batcher: _batcher.Batcher,
        clock: base.Clock,
        orders: _orders.OrderState,
        report_lag_ms: float = 300.0,
    ) -> None:
        self.batcher = batcher
        self.clock = clock
        self.orders = orders
        self.report_lag_ms = report_lag_ms
        self.faults = _faults.ResponseFaults()
        self.client = http.HttpClient()
        self.received: list[tuple[float, str]] = []
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self._wake = eventlet.event.Event()

    def start(self) -> None:
        """Starts the step loop."""
        self.client.start()
        eventlet.spawn(self._run_steps)

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handles one request."""
        environ["eventlet.minimum_write_chunk_size"] = 0
        try:
            return self._route(environ, start_response)
        except base.HollycartError as exc:
            return http.json_response(
                start_response, exc.http_status, {"error": exc.code}
            )

    def _route(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/v1/state":
            return http.json_response(
                start_response, 200, self._lagged_report()
            )
        if path == "/v1/truth":
            return http.json_response(start_response, 200, self._ground_truth())
        if path == "/v1/events":
            return http.json_response(
                start_response, 200, self._published_events()
            )
        data = http.read_body(environ, _MAX_BODY_BYTES)
        body = base.parse(msgspec.json.decode, data or b"{}").unwrap_or_raise(
            base.InvalidRequestError
        )
        if path in ("/v1/completions", "/v1/chat/completions"):
            return self._complete(body, start_response)
        if path == "/v1/cancel":
            found = self.batcher.cancel(body["request_id"])
            return http.json_response(start_response, 200, {"cancelled": found})
        if path == "/v1/reserve":
            return self._reserve(body, start_response)
        if path == "/v1/shares/run":
            return self._run_share(body, start_response)
        if path == "/v1/orders":
            status, reply = self.orders.handle(body)
            return http.json_response(start_response, status, reply)
        if path == "/control/faults":
            self.faults.set(body)
            return http.json_response(start_response, 200, {})
        raise base.NotFoundError(path)

    def _run_steps(self) -> None:
        while True:
            step = self.batcher.plan()
            if step is None:
                self._record_report()
                self._wake.wait(timeout=_IDLE_POLL_INTERVAL_S)
                self._wake = eventlet.event.Event()
                continue
            self.clock.sleep_ms(step.duration_ms * self.faults.slow_factor)
            self.batcher.apply_step(step)
            self._record_report()

    def _wake_step_loop(self) -> None:
        """Ends the wait of an idle step loop."""
        if not self._wake.ready():
            self._wake.send()

    def _complete(
        self, body: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        prompt = _prompt_bytes(body)
        attempt_id = str(body.get("request_id", ""))
        self.received.append((self.clock.wall_ms(), attempt_id))
        shares: list[str] = body.get("shares", [])
        count = 1 + len(shares)
        tokens = _text.prompt_tokens(prompt)
        share_tokens = -(-tokens // count)
        sequence = _sequence.Sequence(
            attempt_id,
            _text.prompt_digest(prompt),
            list(_text.block_hashes(prompt)) if count == 1 else [],
            share_tokens,
            int(body.get("max_tokens", 16)),
            int(body.get("resume_from", 0)),
            int(body.get("priority", 0)),
            self.batcher.next_arrival_number(),
        )
        if sequence.memory > self.batcher.capacity_tokens:
            raise base.PayloadTooLargeError("prompt")
        self.batcher.cancel(attempt_id)  # replaces its reservation, if any
        if not self.batcher.add(sequence):
            raise base.InvalidRequestError("request_id in use")
        self._wake_step_loop()
        helpers = [self._spawn_share(a, sequence) for a in shares]
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._stream(sequence, tokens, helpers)

    def _spawn_share(self, address: str, sequence: _sequence.Sequence) -> Any:
        body = {
            "request_id": sequence.attempt_id,
            "priority": sequence.priority,
        }
        return eventlet.spawn(
            self.client.send,
            "POST",
            f"http://{address}/v1/shares/run",
            msgspec.json.encode(body),
            None,
            _SHARE_TIMEOUT_MS,
        )

    def _stream(
        self, sequence: _sequence.Sequence, tokens: int, helpers: list[Any]
    ) -> Iterator[bytes]:
        frames = self._frames(sequence, tokens, helpers)
        try:
            yield b": accepted\n\n"
            for frame in self.faults.distort(frames, self.clock):
                yield b"data: " + msgspec.json.encode(frame) + b"\n\n"
            yield b"data: [DONE]\n\n"
            self.batcher.cancel(sequence.attempt_id)
        except _faults.ConnectionDropped:
            return

    def _frames(
        self, sequence: _sequence.Sequence, tokens: int, helpers: list[Any]
    ) -> Iterator[dict[str, Any]]:
        first = True
        while True:
            item = sequence.output.get()
            if item is None:
                return
            if first:
                first = False
                for helper in helpers:
                    if helper.wait().status != 200:
                        return
            token, offset, final = item
            frame: dict[str, Any] = {
                "id": sequence.attempt_id,
                "offset": offset,
                "choices": [
                    {
                        "index": 0,
                        "text": token,
                        "finish_reason": "length" if final else None,
                    }
                ],
                "usage": {
                    "prompt_tokens": tokens,
                    "completion_tokens": offset + 1,
                    "cached_tokens": sequence.cached,
                },
            }
            yield frame
            if final:
                return

    def _reserve(
        self, body: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        sequence = _sequence.Sequence(
            body["request_id"],
            "",
            [],
            int(body["tokens"]),
            0,
            0,
            9,
            self.batcher.next_arrival_number(),
        )
        if not self.batcher.reserve(sequence):
            return http.json_response(start_response, 409, {"error": "full"})
        return http.json_response(start_response, 200, {})

    def _run_share(
        self, body: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        attempt_id = body["request_id"]
        if not self.batcher.run_reserved(attempt_id, int(body["priority"])):
            return http.json_response(start_response, 409, {"error": "share"})
        self._wake_step_loop()
        item = self.batcher.sequences[attempt_id].output.get()
        status = 409 if item is None else 200
        return http.json_response(start_response, status, {})

    def _ground_truth(self) -> dict[str, Any]:
        return {
            "received": self.received[-20_000:],
            "held": self.batcher.held_tokens,
            "sequences": [
                [s.attempt_id, s.digest, s.memory]
                for s in self.batcher.sequences.values()
            ],
            "orders": self.orders.accepted,
            "faults": self.faults.counts,
            "models": list(self.orders.models),
        }

    def _record_report(self) -> None:
        now_ms = self.clock.now_ms()
        if self._reports and now_ms - self._reports[-1][0] < 50:
            return
        held = [
            [s.attempt_id, s.memory, s.prefill_left]
            for s in self.batcher.sequences.values()
        ]
        report = {
            "held": held,
            "models": list(self.orders.models),
            "role": self.orders.role,
        }
        self._reports.append((now_ms, report))
        while (
            len(self._reports) > 1
            and self._reports[1][0] <= now_ms - self.report_lag_ms
        ):
            self._reports.pop(0)

    def _lagged_report(self) -> dict[str, Any]:
        if not self._reports:
            self._record_report()
        at_ms, report = self._reports[0]
        return {**report, "age_ms": self.clock.now_ms() - at_ms}

    def _published_events(self) -> list[tuple[int, str, int]]:
        visible = list(self.batcher.cache.events)[:-_UNPUBLISHED_EVENT_COUNT]
        return [e for e in visible if e[0] % _LOST_EVENT_INTERVAL][-2000:]


def _prompt_bytes(body: dict[str, Any]) -> bytes:
    if "prompt" in body:
        return str(body["prompt"]).encode()
    return "\n".join(
        str(m.get("content", "")) for m in body.get("messages", [])
    ).encode()
