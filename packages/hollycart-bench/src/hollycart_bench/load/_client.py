"""Open-loop HTTP client that sends a plan and records each result."""

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

_MAX_CONNECT_ATTEMPTS = 20
_CONNECT_RETRY_INTERVAL_S = 0.1
# Time beyond a request's deadline after which the client stops waiting.
_DEADLINE_MARGIN_MS = 5_000


class CallResult(NamedTuple):
    """Result of one request as observed by the client.

    Attributes:
        req: The request.
        outcome: `ok`, `refused`, `deadline`, `failed`, `not_run`, `unknown`,
            `wrong` (the answer is not exactly the expected one), `lost` (the
            response did not complete) or `unreachable` (no connection).
        status: HTTP status; zero without a response.
        time_to_first_token_ms: Time to the first token, in ms; zero without
            one.
        total_ms: Time to the end of the request, in ms.
        longest_gap_ms: Longest gap between tokens, in ms.
        retry_after_ms: Time after which to retry, as given by the response, in
            ms; zero if not given.
        cached_tokens: Prompt tokens found in the prefix cache.
        idempotency_key: Idempotency key of a service call.
        body: Response body of a service call.
        end_wall_ms: Wall-clock time at the end of the request, in ms.
        address: Instance or load balancer that the last connection attempt was
            made to.
        start_wall_ms: Wall-clock time at the start of the request, in ms.
        attempt_id: Attempt named in the response header `Hollycart-Attempt`.
    """

    req: _plan.LoadRequest
    outcome: str
    status: int
    time_to_first_token_ms: float
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


class _RequestProgress:
    """What the client has observed so far of one request."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.time_to_first_token_ms = 0.0
        self.last_token_ms = 0.0
        self.longest_gap_so_far_ms = 0.0
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

    def record_token(self, text: str) -> None:
        now_ms = self.elapsed_ms()
        if not self.text:
            self.time_to_first_token_ms = now_ms
        else:
            self.longest_gap_so_far_ms = max(
                self.longest_gap_so_far_ms, now_ms - self.last_token_ms
            )
        self.last_token_ms = now_ms
        self.text.append(text)


class LoadClient:
    """Sends requests and checks the answers.

    After a refused connection, it chooses an address again and retries, as a
    load balancer would. It retries nothing else.

    Args:
        model: Model named in completion requests.
        keys: API key (bearer token) by team.
        choose_address: Returns the `host:port` that a request is sent to.
        seed: Seed of the prompt texts.
        service_path: Path of the service call, below `/v1/services/`.

    Attributes:
        results: Results of `run`, in order of completion.
        in_flight: Completion requests in flight, by digest of the prompt.
    """

    def __init__(
        self,
        model: str,
        keys: dict[str, str],
        choose_address: Callable[[_plan.LoadRequest], str],
        seed: int,
        service_path: str = "cases/effects",
    ) -> None:
        self.model = model
        self.keys = keys
        self.choose_address = choose_address
        self.seed = seed
        self.service_path = service_path
        self.results: list[CallResult] = []
        self.in_flight: dict[str, _plan.LoadRequest] = {}
        self.client = http.HttpClient(pool_size=256)
        self.client.start()

    def run(
        self,
        plan: list[_plan.LoadRequest],
        on_result: Callable[[CallResult], None] | None = None,
    ) -> list[CallResult]:
        """Sends each request at its planned time and waits for all results.

        Args:
            plan: Requests in order of `at_ms`.
            on_result: Called with each result when its request ends.
        """
        started = time.monotonic()
        threads = []
        for req in plan:
            wait_s = started + req.at_ms / 1000.0 - time.monotonic()
            eventlet.sleep(max(0.0, wait_s))
            threads.append(
                eventlet.spawn(self._send_and_record, req, on_result)
            )
        for thread in threads:
            thread.wait()
        return self.results

    def send(
        self, req: _plan.LoadRequest, idempotency_key: str = ""
    ) -> CallResult:
        """Sends one request and returns its result."""
        progress = _RequestProgress()
        outcome = "unreachable"
        connect_attempts = 0
        while (
            outcome == "unreachable"
            and connect_attempts < _MAX_CONNECT_ATTEMPTS
        ):
            connect_attempts += 1
            progress.address = self.choose_address(req)
            outcome = self._attempt(req, idempotency_key, progress)
        return CallResult(
            req,
            outcome,
            progress.status,
            progress.time_to_first_token_ms,
            progress.elapsed_ms(),
            progress.longest_gap_so_far_ms,
            progress.retry_after_ms,
            progress.cached,
            idempotency_key,
            progress.body.decode(errors="replace"),
            time.time() * 1000.0,
            progress.address,
            progress.start_wall_ms,
            progress.attempt_id,
        )

    def _attempt(
        self,
        req: _plan.LoadRequest,
        idempotency_key: str,
        progress: _RequestProgress,
    ) -> str:
        try:
            if req.is_service_call:
                return self._call_service(req, idempotency_key, progress)
            return self._complete(req, progress)
        except base.EndpointUnreachableError:
            eventlet.sleep(_CONNECT_RETRY_INTERVAL_S)
            return "unreachable"
        except base.HollycartError:
            return "lost"

    def _send_and_record(
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
        self,
        req: _plan.LoadRequest,
        idempotency_key: str,
        progress: _RequestProgress,
    ) -> str:
        reply = self.client.send(
            "POST",
            f"http://{progress.address}/v1/services/{self.service_path}",
            msgspec.json.encode({"number": req.number}),
            {**self._headers(req), "Idempotency-Key": idempotency_key},
            req.deadline_ms + _DEADLINE_MARGIN_MS,
        )
        progress.body = reply.body
        return self._classify(reply.status, reply.headers, reply.body, progress)

    def _complete(
        self, req: _plan.LoadRequest, progress: _RequestProgress
    ) -> str:
        prompt = _plan.make_prompt(req, self.seed)
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
            return self._send_completion(req, body, digest, progress)
        finally:
            del self.in_flight[digest]

    def _send_completion(
        self,
        req: _plan.LoadRequest,
        body: bytes,
        digest: str,
        progress: _RequestProgress,
    ) -> str:
        stream = self.client.open(
            "POST",
            f"http://{progress.address}/v1/completions",
            body,
            self._headers(req),
            req.deadline_ms + _DEADLINE_MARGIN_MS,
        )
        try:
            if stream.status != 200 or not req.stream:
                data = b"".join(stream.chunks())
                return self._read_body(stream, data, req, digest, progress)
            return self._read_stream(stream, req, digest, progress)
        finally:
            if req.stream:
                stream.close()
            else:
                stream.response.release_conn()

    def _read_body(
        self,
        stream: http.HttpStream,
        data: bytes,
        req: _plan.LoadRequest,
        digest: str,
        progress: _RequestProgress,
    ) -> str:
        if stream.status != 200:
            return self._classify(stream.status, stream.headers, data, progress)
        progress.status = 200
        value = msgspec.json.decode(data)
        progress.time_to_first_token_ms = progress.elapsed_ms()
        text = value["choices"][0]["text"]
        return _verify(text, req, digest)

    def _read_stream(
        self,
        stream: http.HttpStream,
        req: _plan.LoadRequest,
        digest: str,
        progress: _RequestProgress,
    ) -> str:
        progress.status = 200
        pending = b""
        for chunk in stream.chunks():
            *lines, pending = (pending + chunk).split(b"\n")
            for line in lines:
                if line == b"data: [DONE]":
                    return _verify("".join(progress.text), req, digest)
                if line.startswith(b"data: "):
                    outcome = self._handle_event(
                        msgspec.json.decode(line[6:]), progress
                    )
                    if outcome:
                        return outcome
        return "lost"

    def _handle_event(
        self, value: dict[str, Any], progress: _RequestProgress
    ) -> str:
        if "error" in value:
            code = value["error"]["code"]
            progress.retry_after_ms = value["error"].get("retry_after_ms", 0)
            return "deadline" if code == "deadline_exceeded" else "failed"
        if value["choices"]:
            progress.record_token(value["choices"][0]["text"])
        usage = value.get("usage")
        if usage:
            details = usage.get("prompt_tokens_details", {})
            progress.cached = details.get("cached_tokens", 0)
        return ""

    def _classify(
        self, status: int, headers: Any, body: bytes, progress: _RequestProgress
    ) -> str:
        progress.status = status
        retry_after = headers.get("Retry-After")
        progress.retry_after_ms = (
            float(retry_after) * 1000.0 if retry_after else 0.0
        )
        reported_outcome = headers.get("Hollycart-Outcome", "")
        progress.attempt_id = headers.get("Hollycart-Attempt", "")
        if reported_outcome == "unknown":
            return "unknown"
        if reported_outcome == "not-run":
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
