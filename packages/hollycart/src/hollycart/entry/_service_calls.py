"""HTTP interface for calls to services."""

from collections.abc import Iterator
import hashlib
from typing import Any

from hollycart.entry import _auth
from hollycart.entry import _claimed_calls
from hollycart.entry import _request
from hollycart.entry import _service_sender
from hollycart_core import base
from hollycart_core import http

PREFIX = "/v1/services/"
_SAFE_METHODS = ("GET", "HEAD")
_METHODS = (*_SAFE_METHODS, "POST", "PUT", "PATCH", "DELETE")
_MAX_KEY_LENGTH = 128  # characters


class ServiceHandler:
    """Serves `/v1/services/<service>/<path>`.

    Args:
        sender: Sends idempotent calls.
        claimed_calls: Runs non-idempotent calls.
        attempt_ids: Generates attempt ids.
        max_body_bytes: Maximum size of a request body, in bytes.
        body_timeout_ms: Time for a caller to send the body, in ms.
    """

    def __init__(
        self,
        sender: _service_sender.ServiceSender,
        claimed_calls: _claimed_calls.ClaimedCalls,
        attempt_ids: base.AttemptIdGenerator,
        max_body_bytes: int,
        body_timeout_ms: float,
    ) -> None:
        self.sender = sender
        self.claimed_calls = claimed_calls
        self.attempt_ids = attempt_ids
        self.max_body_bytes = max_body_bytes
        self.body_timeout_ms = body_timeout_ms

    def handle(
        self,
        environ: dict[str, Any],
        start_response: Any,
        caller: _auth.Caller,
    ) -> Iterator[bytes]:
        """Handles one call.

        A call is idempotent if its method is safe or if all endpoints of the
        service are listed as repeatable. Any other call needs an idempotency
        key and runs at most once.

        Raises:
            HollycartError: If the request is invalid or no response of the
                service is available.
        """
        call = self._parse(environ, caller)
        entries = self.sender.directory.services(call.service)
        if not entries:
            raise base.NotFoundError(f"service {call.service[:64]!r}")
        repeatable = all(e.repeatable for e in entries)
        if call.method in _SAFE_METHODS or repeatable:
            done = self.sender.send_repeatable(call)
            return iter(_respond(start_response, done))
        if not call.key:
            raise base.InvalidRequestError("Idempotency-Key is required")
        attempt_id = self.attempt_ids.next_id()
        outcome = self.claimed_calls.run(call, attempt_id)
        if isinstance(outcome, base.Done):
            return iter(_respond(start_response, outcome))
        exc: base.HollycartError
        if isinstance(outcome, base.NotRun):
            exc = base.NotRunError(outcome.reason, outcome.retry_after_ms)
        else:
            exc = base.OutcomeUnknownError(outcome.reason)
        exc.attempt_id = attempt_id
        raise exc

    def _parse(
        self, environ: dict[str, Any], caller: _auth.Caller
    ) -> _service_sender.ServiceCall:
        clock = self.sender.clock
        limit_ms = _request.parse_deadline_ms(environ, caller.row.deadline_ms)
        deadline = base.Deadline(clock.now_ms() + limit_ms)
        method = environ["REQUEST_METHOD"]
        if method not in _METHODS:
            raise base.MethodNotAllowedError(method)
        body = http.read_body(
            environ, self.max_body_bytes, min(self.body_timeout_ms, limit_ms)
        )
        service_path = environ["PATH_INFO"].removeprefix(PREFIX)
        service, _, path = service_path.partition("/")
        if environ.get("QUERY_STRING"):
            path = f"{path}?{environ['QUERY_STRING']}"
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if len(key) > _MAX_KEY_LENGTH or not key.isprintable() or "/" in key:
            raise base.InvalidRequestError("Idempotency-Key")
        content_type = environ.get("CONTENT_TYPE") or "application/json"
        scoped_key = f"{caller.row.team}/{service}/{key}" if key else ""
        digest_input = f"{method} {path}\0".encode() + body
        return _service_sender.ServiceCall(
            service,
            path,
            method,
            body,
            scoped_key,
            hashlib.sha256(digest_input).hexdigest(),
            {"Content-Type": content_type},
            deadline,
        )


def _respond(start_response: Any, done: base.Done) -> list[bytes]:
    headers = [("Hollycart-Outcome", "done")]
    return http.respond(start_response, done.status, done.body, headers)
