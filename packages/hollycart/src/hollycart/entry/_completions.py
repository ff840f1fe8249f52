"""The completions interface for callers."""

from collections.abc import Iterator
import time
from typing import Any

import msgspec

from hollycart import observe
from hollycart.entry import _auth
from hollycart.entry import _relay
from hollycart.entry import _request
from hollycart.entry import _token_estimate
from hollycart_core import base
from hollycart_core import http
from hollycart_core import scheduling
from hollycart_core import table

_SSE = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
]


class CompletionHandler:
    """Serves `/v1/completions` and `/v1/chat/completions`.

    Args:
        services: What a relay works with.
        estimate: Estimates the length of prompts.
        max_body_bytes: Largest accepted body, in bytes.
        body_timeout_ms: Time to send the body, in ms.
    """

    def __init__(
        self,
        services: _relay.RelayServices,
        estimate: _token_estimate.TokenEstimate,
        max_body_bytes: int,
        body_timeout_ms: float,
    ) -> None:
        self.services = services
        self.estimate = estimate
        self.max_body_bytes = max_body_bytes
        self.body_timeout_ms = body_timeout_ms

    def handle(
        self,
        environ: dict[str, Any],
        start_response: Any,
        caller: _auth.Caller,
    ) -> Iterator[bytes]:
        """Answers one request; returns once the answer has begun.

        Raises:
            HollycartError: If there is no answer to begin.
        """
        row = caller.row
        started_ms = self.services.clock.now_ms()
        deadline_ms = _request.parse_deadline_ms(environ, row.deadline_ms)
        deadline = base.Deadline(started_ms + deadline_ms)
        body = http.read_body(
            environ,
            self.max_body_bytes,
            min(self.body_timeout_ms, deadline_ms),
        )
        req = _request.parse_completion(environ["PATH_INFO"], body)
        relay = self._relay(req, row, deadline)
        answer = _Answer(self, req, row, started_ms)
        pieces = answer.timed(relay.pieces())
        if req.stream:
            return answer.stream(pieces, start_response, environ)
        return iter(answer.collect(pieces, start_response))

    def _relay(
        self,
        req: _request.CompletionRequest,
        row: table.LimitRow,
        deadline: base.Deadline,
    ) -> _relay.Relay:
        tokens = self.estimate.tokens(req.model, req.prompt_bytes)
        if tokens > row.max_prompt_tokens:
            raise base.PayloadTooLargeError(
                f"prompt of {tokens} tokens, at most {row.max_prompt_tokens}"
            )
        ask = scheduling.PermitRequest(
            permit_id="",
            instance_id=self.services.attempt_ids.instance_id,
            team=row.team,
            kind=row.kind,
            weight=row.weight,
            priority=table.priority_level(row.priority),
            prompt_tokens=tokens,
            output_tokens=req.max_tokens,
            time_left_ms=deadline.remaining_ms(self.services.clock),
            max_running=row.max_running,
            tokens_per_minute=row.tokens_per_minute,
            prefix_hashes=req.prefix_hashes,
        )
        return _relay.Relay(self.services, req, ask, deadline)


class _Answer:
    """Formats the pieces of one answer for the caller."""

    def __init__(
        self,
        handler: CompletionHandler,
        req: _request.CompletionRequest,
        row: table.LimitRow,
        started_ms: float,
    ) -> None:
        self.handler = handler
        self.req = req
        self.row = row
        self.started_ms = started_ms
        prefix = "chatcmpl" if req.is_chat else "cmpl"
        self.answer_id = f"{prefix}-{time.time_ns():x}"
        self.created = int(time.time())

    def timed(self, pieces: Iterator[_relay.Piece]) -> Iterator[_relay.Piece]:
        """Passes pieces on and records the times of the request."""
        metrics = self.handler.services.metrics
        clock = self.handler.services.clock
        first = True
        for piece in pieces:
            now_ms = clock.now_ms()
            if first:
                first = False
                self._record(metrics, "first_token", now_ms)
                self.handler.estimate.learn(
                    self.req.model, self.req.prompt_bytes, piece.prompt_tokens
                )
            yield piece
        self._record(metrics, "request", clock.now_ms())

    def collect(
        self, pieces: Iterator[_relay.Piece], start_response: Any
    ) -> list[bytes]:
        """Answers with one JSON body."""
        text = []
        last = None
        for piece in pieces:
            text.append(piece.text)
            last = piece
        if last is None:
            raise base.EndpointFailedError("empty answer")
        value = self._head("chat.completion", "text_completion")
        value["choices"] = [
            self._choice("".join(text), last.finish_reason, whole=True)
        ]
        value["usage"] = _usage(last)
        return http.json_response(start_response, 200, value)

    def stream(
        self,
        pieces: Iterator[_relay.Piece],
        start_response: Any,
        environ: dict[str, Any],
    ) -> Iterator[bytes]:
        """Waits for the first piece, then answers with events."""
        first = next(pieces, None)
        if first is None:
            raise base.EndpointFailedError("empty answer")
        environ["eventlet.minimum_write_chunk_size"] = 0
        start_response("200 OK", _SSE)
        return self._events(first, pieces)

    def _events(
        self, first: _relay.Piece, pieces: Iterator[_relay.Piece]
    ) -> Iterator[bytes]:
        last = first
        try:
            yield self._event(first)
            for piece in pieces:
                last = piece
                yield self._event(piece)
        except base.HollycartError as exc:
            self.handler.services.metrics.count(f"stream.{exc.code}")
            yield _sse({"error": error_value(exc)})
        else:
            if self.req.include_usage:
                value = self._head("chat.completion.chunk", "text_completion")
                yield _sse({**value, "choices": [], "usage": _usage(last)})
            yield b"data: [DONE]\n\n"
        finally:
            pieces.close()  # type: ignore[attr-defined]

    def _event(self, piece: _relay.Piece) -> bytes:
        value = self._head("chat.completion.chunk", "text_completion")
        value["choices"] = [
            self._choice(piece.text, piece.finish_reason, whole=False)
        ]
        return _sse(value)

    def _head(self, chat_kind: str, text_kind: str) -> dict[str, Any]:
        return {
            "id": self.answer_id,
            "object": chat_kind if self.req.is_chat else text_kind,
            "created": self.created,
            "model": self.req.model,
        }

    def _choice(self, text: str, reason: str, whole: bool) -> dict[str, Any]:
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": reason or None,
        }
        if not self.req.is_chat:
            choice["text"] = text
        elif whole:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["delta"] = {"content": text}
        return choice

    def _record(
        self, metrics: observe.Metrics, name: str, now_ms: float
    ) -> None:
        metrics.record(
            name, self.row.team, self.row.kind, now_ms - self.started_ms
        )


def error_value(exc: base.HollycartError) -> dict[str, Any]:
    """Returns the body of an error in the usual shape."""
    value: dict[str, Any] = {
        "message": exc.detail or exc.code,
        "type": exc.code,
        "code": exc.code,
        "param": None,
    }
    if exc.retry_after_ms is not None:
        value["retry_after_ms"] = round(exc.retry_after_ms)
    return value


def _usage(piece: _relay.Piece) -> dict[str, Any]:
    return {
        "prompt_tokens": piece.prompt_tokens,
        "completion_tokens": piece.completion_tokens,
        "total_tokens": piece.prompt_tokens + piece.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": piece.cached_tokens},
    }


def _sse(value: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"
