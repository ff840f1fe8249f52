"""Calls to plain services."""

from collections.abc import Iterator
import hashlib
from typing import Any
from typing import NamedTuple

import eventlet

from hollycart import observe
from hollycart import peers
from hollycart.entry import _auth
from hollycart.entry import _bounded
from hollycart.entry import _claim_service
from hollycart.entry import _directory
from hollycart.entry import _request
from hollycart.entry import _retry_budget
from hollycart_core import base
from hollycart_core import claims
from hollycart_core import http
from hollycart_core import membership

PREFIX = "/v1/services/"
MAX_ANSWER_BYTES = 16_384
_SAFE_METHODS = ("GET", "HEAD")
_METHODS = (*_SAFE_METHODS, "POST", "PUT", "PATCH", "DELETE")
_PENDING_POLL_MS = 200.0
_LOOKUP_TIMEOUT_MS = 1_000.0
_LOOKUP_PAUSE_MS = 300.0
_SETTLE_RESERVE_MS = 100.0
_SETTLE_WAIT_MS = 1_000.0
_RELEASE_DELAY_S = 0.05
_REFUSE_RESERVE_MS = 1_200.0  # to ask the service after a claim timed out
_MAX_KEY = 128  # characters
_NOT_RUN_RETRY_MS = 1_000.0


class ServiceServices(NamedTuple):
    """What calls to plain services work with."""

    directory: _directory.Directory
    claim_service: _claim_service.ClaimService
    client: http.HttpClient
    attempt_ids: base.AttemptIds
    budget: _retry_budget.RetryBudget
    clock: base.Clock
    metrics: observe.Metrics


class _Call(NamedTuple):
    service: str
    path: str
    method: str
    body: bytes
    key: str
    digest: str
    headers: dict[str, str]
    deadline: base.Deadline


class ServiceHandler:
    """Serves `/v1/services/<service>/<path>`.

    A call that may not be repeated is claimed under its idempotency key
    before it is sent, and sent once. Its outcome is done, not run or unknown;
    `not run` is answered only where this instance has not sent the call and
    will not send it.

    Args:
        services: What the calls work with.
        max_body_bytes: Largest accepted body, in bytes.
        body_timeout_ms: Time to send the body, in ms.
    """

    def __init__(
        self,
        services: ServiceServices,
        max_body_bytes: int,
        body_timeout_ms: float,
    ) -> None:
        self.services = services
        self.max_body_bytes = max_body_bytes
        self.body_timeout_ms = body_timeout_ms
        self._running: dict[str, int] = {}

    def handle(
        self,
        environ: dict[str, Any],
        start_response: Any,
        caller: _auth.Caller,
    ) -> Iterator[bytes]:
        """Answers one call.

        Raises:
            HollycartError: If the outcome is not an answer of the service.
        """
        call = self._parse(environ, caller)
        entries = self.services.directory.services(call.service)
        if not entries:
            raise base.NotFoundError(f"service {call.service[:64]!r}")
        repeatable = all(e.repeatable for e in entries)
        if call.method in _SAFE_METHODS or repeatable:
            done = self._send_repeatable(call)
            return iter(_respond(start_response, done))
        if not call.key:
            raise base.InvalidRequestError("Idempotency-Key is required")
        attempt_id = self.services.attempt_ids.next_id()
        outcome = self._run_claimed(call, attempt_id)
        if isinstance(outcome, base.Done):
            return iter(_respond(start_response, outcome))
        exc: base.HollycartError
        if isinstance(outcome, base.NotRun):
            exc = base.NotRunError(outcome.reason, outcome.retry_after_ms)
        else:
            exc = base.OutcomeUnknownError(outcome.reason)
        exc.attempt_id = attempt_id
        raise exc

    def _parse(self, environ: dict[str, Any], caller: _auth.Caller) -> _Call:
        clock = self.services.clock
        limit_ms = _request.parse_deadline_ms(environ, caller.row.deadline_ms)
        deadline = base.Deadline(clock.now_ms() + limit_ms)
        method = environ["REQUEST_METHOD"]
        if method not in _METHODS:
            raise base.MethodNotAllowedError(method)
        body = http.read_body(
            environ, self.max_body_bytes, min(self.body_timeout_ms, limit_ms)
        )
        rest = environ["PATH_INFO"].removeprefix(PREFIX)
        service, _, path = rest.partition("/")
        if environ.get("QUERY_STRING"):
            path = f"{path}?{environ['QUERY_STRING']}"
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if len(key) > _MAX_KEY or not key.isprintable() or "/" in key:
            raise base.InvalidRequestError("Idempotency-Key")
        content_type = environ.get("CONTENT_TYPE") or "application/json"
        scoped = f"{caller.row.team}/{service}/{key}" if key else ""
        text = f"{method} {path}\0".encode() + body
        return _Call(
            service,
            path,
            method,
            body,
            scoped,
            hashlib.sha256(text).hexdigest(),
            {"Content-Type": content_type},
            deadline,
        )

    def _send_repeatable(self, call: _Call) -> base.Done:
        self.services.budget.earn()
        tried: list[str] = []
        while True:
            entry = self._choose(call.service, tried)
            tried.append(entry.entry_id)
            try:
                return self._send(call, entry, {})
            except base.EndpointFailedError:
                self.services.metrics.count("service.failed")
                more = self._has_endpoint(call.service, tried)
                if not more or not self.services.budget.take():
                    raise

    def _run_claimed(self, call: _Call, attempt_id: str) -> base.Outcome:
        services = self.services
        left_ms = call.deadline.remaining_ms(services.clock)
        call_end_ms = services.clock.wall_ms() + left_ms
        ask = claims.ClaimRequest(
            call.key, call.digest, attempt_id, call_end_ms
        )
        while not call.deadline.expired(services.clock):
            reply = self._claim(ask, call.deadline)
            if reply.decision == "granted":
                return self._run_granted(call, attempt_id)
            if reply.record is None:
                return self._refuse(call, reply)
            if reply.decision == "reused":
                raise base.KeyReusedError(call.key)
            if reply.decision == "settled":
                return self._replay(call, reply.record)
            outcome = self._resolve_abandoned(call, reply)
            if outcome is not None:
                return outcome
            services.clock.sleep_ms(
                min(
                    _PENDING_POLL_MS,
                    call.deadline.remaining_ms(services.clock),
                )
            )
        return base.Unknown("pending")

    def _claim(
        self, ask: claims.ClaimRequest, deadline: base.Deadline
    ) -> peers.ClaimReply:
        """Claims within the deadline; a later grant is released unused."""

        def release(late: peers.ClaimReply) -> None:
            if late.decision == "granted":
                outcome = base.NotRun("deadline_exceeded", 0.0)
                self.services.claim_service.settle(
                    _settlement(ask.key, ask.attempt_id, outcome)
                )

        left_ms = deadline.remaining_ms(self.services.clock)
        found = _bounded.run_bounded(
            lambda: self.services.claim_service.claim(ask),
            max(left_ms - _REFUSE_RESERVE_MS, left_ms / 2),
            release,
        )
        if found is None:
            return peers.ClaimReply("claim_timeout", None, _NOT_RUN_RETRY_MS)
        return found.value

    def _settle(
        self, call: _Call, attempt_id: str, outcome: base.Outcome
    ) -> None:
        """Stores an outcome, but answers the caller in time."""
        left_ms = call.deadline.remaining_ms(self.services.clock)
        _bounded.run_bounded(
            lambda: self.services.claim_service.settle(
                _settlement(call.key, attempt_id, outcome)
            ),
            min(_SETTLE_WAIT_MS, left_ms),
        )

    def _refuse(self, call: _Call, reply: peers.ClaimReply) -> base.Outcome:
        """Answers a call whose claim cannot be decided.

        This attempt is not sent. Whether an earlier attempt under the same
        key was executed only the service can tell; without its answer the
        outcome of the key is unknown.
        """
        left_ms = call.deadline.remaining_ms(self.services.clock)
        workers = eventlet.GreenPool()
        answers = list(
            workers.imap(
                lambda entry: self._look_up(entry, call.key, left_ms),
                self.services.directory.services(call.service),
            )
        )
        for answer in answers:
            if isinstance(answer, base.Done):
                return answer
        if any(a is None for a in answers):
            return base.Unknown(reply.decision)
        return base.NotRun(reply.decision, reply.retry_after_ms)

    def _run_granted(self, call: _Call, attempt_id: str) -> base.Outcome:
        outcome = self._send_once(call, attempt_id)
        if isinstance(outcome, base.Unknown):
            outcome = self._ask_service(call) or outcome
        self.services.metrics.count(f"outcome.{type(outcome).__name__.lower()}")
        if isinstance(outcome, base.NotRun):
            self._release_after_answer(call, attempt_id, outcome)
        else:
            self._settle(call, attempt_id, outcome)
        return outcome

    def _release_after_answer(
        self, call: _Call, attempt_id: str, outcome: base.NotRun
    ) -> None:
        """Releases a claim once its caller has been told `not run`.

        Until then no other call under the key may run.
        """
        eventlet.spawn_after(
            _RELEASE_DELAY_S,
            self.services.claim_service.settle,
            _settlement(call.key, attempt_id, outcome),
        )

    def _send_once(self, call: _Call, attempt_id: str) -> base.Outcome:
        """Sends a claimed call; only a proof of not sending lets it go on."""
        tried: list[str] = []
        headers = {
            "Idempotency-Key": call.key,
            "Hollycart-Attempt": attempt_id,
        }
        while self._has_endpoint(call.service, tried):
            left_ms = call.deadline.remaining_ms(self.services.clock)
            if left_ms <= _SETTLE_RESERVE_MS:
                return base.NotRun("deadline_exceeded", _NOT_RUN_RETRY_MS)
            entry = self._choose(call.service, tried)
            tried.append(entry.entry_id)
            try:
                return self._send(call, entry, headers)
            except base.EndpointUnreachableError:
                continue
            except base.HollycartError as exc:
                return base.Unknown(exc.code)
        return base.NotRun("endpoint_unreachable", _NOT_RUN_RETRY_MS)

    def _send(
        self,
        call: _Call,
        entry: membership.ListEntry,
        headers: dict[str, str],
    ) -> base.Done:
        running = self._running
        running[entry.entry_id] = running.get(entry.entry_id, 0) + 1
        try:
            reply = self.services.client.send(
                call.method,
                f"http://{entry.address}/{call.path}",
                call.body or None,
                {**call.headers, **headers},
                call.deadline.remaining_ms(self.services.clock)
                - _SETTLE_RESERVE_MS / 2,
            )
        finally:
            running[entry.entry_id] -= 1
        if reply.status >= 500:
            raise base.EndpointFailedError(f"status {reply.status}")
        if len(reply.body) > MAX_ANSWER_BYTES and headers:
            return base.Done(reply.status, b"")
        return base.Done(reply.status, reply.body)

    def _replay(self, call: _Call, record: claims.ClaimRecord) -> base.Outcome:
        outcome = record.outcome()
        if isinstance(outcome, base.Unknown):
            found = self._ask_service(call)
            if found is not None:
                self._settle(call, record.attempt_id, found)
                return found
        return outcome or base.Unknown("pending")

    def _resolve_abandoned(
        self, call: _Call, reply: peers.ClaimReply
    ) -> base.Outcome | None:
        """Asks about a call whose holder can no longer send it."""
        record = reply.record
        if record is None:
            return None
        if self.services.clock.wall_ms() <= record.call_end_ms:
            return None
        found = self._ask_service(call)
        if found is None:
            return base.Unknown("holder_lost")
        self._settle(call, record.attempt_id, found)
        return found

    def _ask_service(self, call: _Call) -> base.Done | None:
        """Looks a call up by its key; None if it cannot be learnt."""
        for _ in range(2):
            for entry in self.services.directory.services(call.service):
                if not entry.lookup_path:
                    continue
                left_ms = call.deadline.remaining_ms(self.services.clock)
                if left_ms <= _SETTLE_RESERVE_MS:
                    return None
                found = self._look_up(entry, call.key, left_ms)
                if isinstance(found, base.Done):
                    return found
            self.services.clock.sleep_ms(
                min(
                    _LOOKUP_PAUSE_MS,
                    call.deadline.remaining_ms(self.services.clock) / 4,
                )
            )
        return None

    def _look_up(
        self, entry: membership.ListEntry, key: str, left_ms: float
    ) -> base.Done | base.NotRun | None:
        """Asks one endpoint; None without an answer."""
        if not entry.lookup_path:
            return None
        url = f"http://{entry.address}{entry.lookup_path}{key}"
        try:
            reply = self.services.client.send(
                "GET",
                url,
                timeout_ms=min(_LOOKUP_TIMEOUT_MS, left_ms),
            )
        except base.HollycartError:
            return None
        if reply.status == 404:
            return base.NotRun("not_found", _NOT_RUN_RETRY_MS)
        return base.Done(200, reply.body) if reply.status == 200 else None

    def _choose(self, service: str, tried: list[str]) -> membership.ListEntry:
        self.services.directory.refresh_if_stale()
        usable = self._usable(service, tried)
        if not usable:
            raise base.EndpointUnreachableError(service)
        return min(usable, key=lambda e: self._running.get(e.entry_id, 0))

    def _has_endpoint(self, service: str, tried: list[str]) -> bool:
        return bool(self._usable(service, tried))

    def _usable(
        self, service: str, tried: list[str]
    ) -> list[membership.ListEntry]:
        return [
            e
            for e in self.services.directory.services(service)
            if not e.leaving and e.entry_id not in tried
        ]


def _settlement(
    key: str, attempt_id: str, outcome: base.Outcome
) -> claims.SettleRequest:
    if isinstance(outcome, base.Done):
        return claims.SettleRequest(
            key,
            attempt_id,
            claims.ClaimState.DONE,
            outcome.status,
            outcome.body,
        )
    state = claims.ClaimState.UNKNOWN
    if isinstance(outcome, base.NotRun):
        state = claims.ClaimState.NOT_RUN
    return claims.SettleRequest(key, attempt_id, state, reason=outcome.reason)


def _respond(start_response: Any, done: base.Done) -> list[bytes]:
    headers = [("Hollycart-Outcome", "done")]
    return http.respond(start_response, done.status, done.body, headers)
