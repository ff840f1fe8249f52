"""Serves the completion paths of the interface for callers."""

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

_SSE_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
]


class CompletionHandler:
    """Serves `/v1/completions` and `/v1/chat/completions`.

    Args:
        services: Dependencies of a relay.
        token_estimator: Estimates the length of prompts.
        max_body_bytes: Largest accepted body, in bytes.
        body_timeout_ms: Time in which the caller must send the body, in ms.
    """

    def __init__(
        self,
        services: _relay.RelayServices,
        token_estimator: _token_estimate.TokenEstimator,
        max_body_bytes: int,
        body_timeout_ms: float,
    ) -> None:
        self.services = services
        self.token_estimator = token_estimator
        self.max_body_bytes = max_body_bytes
        self.body_timeout_ms = body_timeout_ms

    def handle(
        self,
        environ: dict[str, Any],
        start_response: Any,
        caller: _auth.Caller,
    ) -> Iterator[bytes]:
        """Serves one request; returns when the response has started.

        Raises:
            HollycartError: If the request fails before the response starts.
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
        answer = _CompletionAnswer(self, req, row, started_ms)
        pieces = answer.record_timings(relay.pieces())
        if req.stream:
            return answer.stream(pieces, start_response, environ)
        return iter(answer.collect(pieces, start_response))

    def _relay(
        self,
        req: _request.CompletionRequest,
        row: table.LimitRow,
        deadline: base.Deadline,
    ) -> _relay.Relay:
        tokens = self.token_estimator.tokens(req.model, req.prompt_bytes)
        if tokens > row.max_prompt_tokens:
            raise base.PayloadTooLargeError(
                f"prompt of {tokens} tokens, at most {row.max_prompt_tokens}"
            )
        permit_request = scheduling.PermitRequest(
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
        return _relay.Relay(self.services, req, permit_request, deadline)


class _CompletionAnswer:
    """Formats one answer as the HTTP response to the caller."""

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
        self.completion_id = f"{prefix}-{time.time_ns():x}"
        self.created = int(time.time())

    def record_timings(
        self, pieces: Iterator[_relay.Piece]
    ) -> Iterator[_relay.Piece]:
        """Passes pieces on; records the time to first token and in total.

        The prompt length in the first piece corrects the token estimate.
        """
        metrics = self.handler.services.metrics
        clock = self.handler.services.clock
        first = True
        for piece in pieces:
            now_ms = clock.now_ms()
            if first:
                first = False
                self._record(metrics, "first_token", now_ms)
                self.handler.token_estimator.update(
                    self.req.model, self.req.prompt_bytes, piece.prompt_tokens
                )
            yield piece
        self._record(metrics, "request", clock.now_ms())

    def collect(
        self, pieces: Iterator[_relay.Piece], start_response: Any
    ) -> list[bytes]:
        """Responds with one JSON body that holds the full answer."""
        text = []
        last = None
        for piece in pieces:
            text.append(piece.text)
            last = piece
        if last is None:
            raise base.EndpointFailedError("empty answer")
        value = self._common_fields("chat.completion", "text_completion")
        value["choices"] = [
            self._choice("".join(text), last.finish_reason, is_full=True)
        ]
        value["usage"] = _usage(last)
        return http.json_response(start_response, 200, value)

    def stream(
        self,
        pieces: Iterator[_relay.Piece],
        start_response: Any,
        environ: dict[str, Any],
    ) -> Iterator[bytes]:
        """Responds with server-sent events.

        The status is sent after the first piece, so that a failure before it
        can still be reported by an error status.
        """
        first = next(pieces, None)
        if first is None:
            raise base.EndpointFailedError("empty answer")
        environ["eventlet.minimum_write_chunk_size"] = 0
        start_response("200 OK", _SSE_HEADERS)
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
            yield _encode_event({"error": error_value(exc)})
        else:
            if self.req.include_usage:
                value = self._common_fields(
                    "chat.completion.chunk", "text_completion"
                )
                yield _encode_event(
                    {**value, "choices": [], "usage": _usage(last)}
                )
            yield b"data: [DONE]\n\n"
        finally:
            pieces.close()  # type: ignore[attr-defined]

    def _event(self, piece: _relay.Piece) -> bytes:
        value = self._common_fields("chat.completion.chunk", "text_completion")
        value["choices"] = [
            self._choice(piece.text, piece.finish_reason, is_full=False)
        ]
        return _encode_event(value)

    def _common_fields(self, chat_kind: str, text_kind: str) -> dict[str, Any]:
        return {
            "id": self.completion_id,
            "object": chat_kind if self.req.is_chat else text_kind,
            "created": self.created,
            "model": self.req.model,
        }

    def _choice(self, text: str, reason: str, is_full: bool) -> dict[str, Any]:
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": reason or None,
        }
        if not self.req.is_chat:
            choice["text"] = text
        elif is_full:
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
    """Returns an error in the format of the OpenAI API."""
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


def _encode_event(value: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"
