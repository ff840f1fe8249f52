"""The load client: sends a plan and records what callers saw."""

from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple

import eventlet
import msgspec

from hollycart_bench import engine
from hollycart_bench.load import _plan
from hollycart_core import base
from hollycart_core import http

_MAX_CONNECTS = 20
_CONNECT_PAUSE_S = 0.1
_SLACK_MS = 5_000  # the client waits this much beyond the deadline


class CallResult(NamedTuple):
    """What a caller saw of one request.

    Attributes:
        req: The request.
        outcome: `ok`, `refused`, `deadline`, `failed`, `not_run`, `unknown`,
            `wrong` (not its own whole answer) or `lost` (no final answer).
        status: HTTP status, zero without one.
        first_ms: Time to the first token, in ms; zero without one.
        total_ms: Time to the final answer, in ms.
        longest_gap_ms: Largest time between tokens, in ms.
        retry_after_ms: When to come back, in ms; zero if not told.
        cached_tokens: Prompt tokens found in the prefix cache.
        idempotency_key: Idempotency key of a service call.
        body: Body of a service call's answer.
        end_wall_ms: Wall clock at the final answer, in ms.
        address: The instance or balancer that was asked last.
        start_wall_ms: Wall clock at the start, in ms.
        attempt_id: The attempt that an answer `not run` is about.
    """

    req: _plan.LoadRequest
    outcome: str
    status: int
    first_ms: float
    total_ms: float
    longest_gap_ms: float
    retry_after_ms: float
    cached_tokens: int
    idempotency_key: str
    body: str
    end_wall_ms: float
    address: str
    start_wall_ms: float
    attempt_id: str


class _Seen:
    """Progress of one request."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.first_ms = 0.0
        self.last_ms = 0.0
        self.gap_ms = 0.0
        self.status = 0
        self.retry_after_ms = 0.0
        self.cached = 0
        self.text: list[str] = []
        self.body = b""
        self.address = ""
        self.attempt_id = ""
        self.start_wall_ms = time.time() * 1000.0

    def elapsed_ms(self) -> float:
        return (time.monotonic() - self.started) * 1000.0

    def note_token(self, text: str) -> None:
        now_ms = self.elapsed_ms()
        if not self.text:
            self.first_ms = now_ms
        else:
            self.gap_ms = max(self.gap_ms, now_ms - self.last_ms)
        self.last_ms = now_ms
        self.text.append(text)


class LoadClient:
    """Sends requests as callers do.

    A connection that is refused is tried again elsewhere, as behind a
    balancer; nothing else is repeated.

    Args:
        model: Model to ask for.
        keys: Bearer key by team.
        choose_address: Returns the `host:port` for a request.
        seed: Seed of the prompts.
        path_of: Service path of a non-idempotent call.
    """

    def __init__(
        self,
        model: str,
        keys: dict[str, str],
        choose_address: Callable[[_plan.LoadRequest], str],
        seed: int,
        path_of: str = "cases/effects",
    ) -> None:
        self.model = model
        self.keys = keys
        self.choose_address = choose_address
        self.seed = seed
        self.path_of = path_of
        self.results: list[CallResult] = []
        self.in_flight: dict[str, _plan.LoadRequest] = {}
        self.client = http.HttpClient(pool_size=256)
        self.client.start()

    def run(
        self,
        plan: list[_plan.LoadRequest],
        on_result: Callable[[CallResult], None] | None = None,
    ) -> list[CallResult]:
        """Sends every request at its time and waits for all answers."""
        started = time.monotonic()
        threads = []
        for req in plan:
            wait_s = started + req.at_ms / 1000.0 - time.monotonic()
            eventlet.sleep(max(0.0, wait_s))
            threads.append(eventlet.spawn(self._one, req, on_result))
        for thread in threads:
            thread.wait()
        return self.results

    def send(
        self, req: _plan.LoadRequest, idempotency_key: str = ""
    ) -> CallResult:
        """Sends one request and returns what was seen."""
        seen = _Seen()
        outcome = "unreachable"
        tries = 0
        while outcome == "unreachable" and tries < _MAX_CONNECTS:
            tries += 1
            seen.address = self.choose_address(req)
            outcome = self._try(req, idempotency_key, seen)
        return CallResult(
            req,
            outcome,
            seen.status,
            seen.first_ms,
            seen.elapsed_ms(),
            seen.gap_ms,
            seen.retry_after_ms,
            seen.cached,
            idempotency_key,
            seen.body.decode(errors="replace"),
            time.time() * 1000.0,
            seen.address,
            seen.start_wall_ms,
            seen.attempt_id,
        )

    def _try(
        self, req: _plan.LoadRequest, idempotency_key: str, seen: _Seen
    ) -> str:
        try:
            if req.is_service_call:
                return self._call_service(req, idempotency_key, seen)
            return self._complete(req, seen)
        except base.EndpointUnreachableError:
            eventlet.sleep(_CONNECT_PAUSE_S)
            return "unreachable"
        except base.HollycartError:
            return "lost"

    def _one(
        self,
        req: _plan.LoadRequest,
        on_result: Callable[[CallResult], None] | None,
    ) -> None:
        idempotency_key = (
            f"k{self.seed}-{req.number}" if req.is_service_call else ""
        )
        result = self.send(req, idempotency_key)
        self.results.append(result)
        if on_result is not None:
            on_result(result)

    def _headers(self, req: _plan.LoadRequest) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self.keys[req.team]}",
            "Hollycart-Kind": req.kind,
            "Hollycart-Deadline-Ms": str(req.deadline_ms),
            "Content-Type": "application/json",
        }

    def _call_service(
        self, req: _plan.LoadRequest, idempotency_key: str, seen: _Seen
    ) -> str:
        reply = self.client.send(
            "POST",
            f"http://{seen.address}/v1/services/{self.path_of}",
            msgspec.json.encode({"number": req.number}),
            {**self._headers(req), "Idempotency-Key": idempotency_key},
            req.deadline_ms + _SLACK_MS,
        )
        seen.body = reply.body
        return self._classify(reply.status, reply.headers, reply.body, seen)

    def _complete(self, req: _plan.LoadRequest, seen: _Seen) -> str:
        prompt = _plan.prompt_of(req, self.seed)
        fields = msgspec.json.encode(
            {
                "model": self.model,
                "max_tokens": req.output_tokens,
                "stream": req.stream,
                "stream_options": {"include_usage": True},
            }
        )
        body = fields[:-1] + b',"prompt":"' + prompt + b'"}'
        digest = engine.prompt_digest(prompt)
        self.in_flight[digest] = req
        try:
            return self._exchange(req, body, digest, seen)
        finally:
            del self.in_flight[digest]

    def _exchange(
        self, req: _plan.LoadRequest, body: bytes, digest: str, seen: _Seen
    ) -> str:
        stream = self.client.open(
            "POST",
            f"http://{seen.address}/v1/completions",
            body,
            self._headers(req),
            req.deadline_ms + _SLACK_MS,
        )
        try:
            if stream.status != 200 or not req.stream:
                data = b"".join(stream.chunks())
                return self._whole(stream, data, req, digest, seen)
            return self._events(stream, req, digest, seen)
        finally:
            if req.stream:
                stream.close()
            else:
                stream.response.release_conn()

    def _whole(
        self,
        stream: http.HttpStream,
        data: bytes,
        req: _plan.LoadRequest,
        digest: str,
        seen: _Seen,
    ) -> str:
        if stream.status != 200:
            return self._classify(stream.status, stream.headers, data, seen)
        seen.status = 200
        value = msgspec.json.decode(data)
        seen.first_ms = seen.elapsed_ms()
        text = value["choices"][0]["text"]
        return _verify(text, req, digest)

    def _events(
        self,
        stream: http.HttpStream,
        req: _plan.LoadRequest,
        digest: str,
        seen: _Seen,
    ) -> str:
        seen.status = 200
        pending = b""
        for chunk in stream.chunks():
            *lines, pending = (pending + chunk).split(b"\n")
            for line in lines:
                if line == b"data: [DONE]":
                    return _verify("".join(seen.text), req, digest)
                if line.startswith(b"data: "):
                    outcome = self._event(msgspec.json.decode(line[6:]), seen)
                    if outcome:
                        return outcome
        return "lost"

    def _event(self, value: dict[str, Any], seen: _Seen) -> str:
        if "error" in value:
            code = value["error"]["code"]
            seen.retry_after_ms = value["error"].get("retry_after_ms", 0)
            return "deadline" if code == "deadline_exceeded" else "failed"
        if value["choices"]:
            seen.note_token(value["choices"][0]["text"])
        usage = value.get("usage")
        if usage:
            details = usage.get("prompt_tokens_details", {})
            seen.cached = details.get("cached_tokens", 0)
        return ""

    def _classify(
        self, status: int, headers: Any, body: bytes, seen: _Seen
    ) -> str:
        seen.status = status
        retry = headers.get("Retry-After")
        seen.retry_after_ms = float(retry) * 1000.0 if retry else 0.0
        told = headers.get("Hollycart-Outcome", "")
        seen.attempt_id = headers.get("Hollycart-Attempt", "")
        if told == "unknown":
            return "unknown"
        if told == "not-run":
            return "not_run"
        if status == 200:
            return "ok"
        if status == 504:
            return "deadline"
        return "refused" if status in (429, 503) else "failed"


def _verify(text: str, req: _plan.LoadRequest, digest: str) -> str:
    expected = "".join(
        engine.token_at(digest, i) for i in range(req.output_tokens)
    )
    return "ok" if text == expected else "wrong"
