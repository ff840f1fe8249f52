"""Non-idempotent calls, each sent at most once under a claim."""

import eventlet

from hollycart import observe
from hollycart import peers
from hollycart.entry import _bounded
from hollycart.entry import _claim_service
from hollycart.entry import _service_sender
from hollycart_core import base
from hollycart_core import claims

_MAX_STORED_BODY_BYTES = 16_384
_PENDING_POLL_INTERVAL_MS = 200.0
_LOOKUP_RETRY_DELAY_MS = 300.0
_SETTLE_TIMEOUT_MS = 1_000.0
_RELEASE_DELAY_S = 0.05
_LOOKUP_RESERVE_MS = 1_200.0  # for lookups at the service after a claim timeout
_NOT_RUN_RETRY_AFTER_MS = 1_000.0


class ClaimedCalls:
    """Runs a call at most once and returns its outcome.

    A call is claimed under its idempotency key before it is sent, and then
    sent once. The outcome `NotRun` is returned only if this instance has not
    sent the call and will not send it.

    Args:
        sender: Sends calls to endpoints.
        claim_service: Decides claims and stores outcomes.
        clock: Source of time.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        sender: _service_sender.ServiceSender,
        claim_service: _claim_service.ClaimService,
        clock: base.Clock,
        metrics: observe.Metrics,
    ) -> None:
        self.sender = sender
        self.claim_service = claim_service
        self.clock = clock
        self.metrics = metrics

    def run(
        self, call: _service_sender.ServiceCall, attempt_id: str
    ) -> base.Outcome:
        """Runs a call or returns the outcome of the first call with its key.

        Args:
            call: The call, with an idempotency key.
            attempt_id: Identifier of this attempt.

        Returns:
            The outcome.

        Raises:
            KeyReusedError: If the key was used with another request.
        """
        left_ms = call.deadline.remaining_ms(self.clock)
        call_deadline_ms = self.clock.wall_ms() + left_ms
        claim_request = claims.ClaimRequest(
            call.key, call.digest, attempt_id, call_deadline_ms
        )
        while not call.deadline.expired(self.clock):
            reply = self._claim(claim_request, call.deadline)
            if reply.decision == "granted":
                return self._run_granted(call, attempt_id)
            if reply.record is None:
                return self._resolve_undecided(call, reply)
            if reply.decision == "reused":
                raise base.KeyReusedError(call.key)
            if reply.decision == "settled":
                return self._replay(call, reply.record)
            outcome = self._resolve_expired(call, reply)
            if outcome is not None:
                return outcome
            self.clock.sleep_ms(
                min(
                    _PENDING_POLL_INTERVAL_MS,
                    call.deadline.remaining_ms(self.clock),
                )
            )
        return base.Unknown("pending")

    def _claim(
        self, claim_request: claims.ClaimRequest, deadline: base.Deadline
    ) -> peers.ClaimReply:
        """Claims within the deadline; releases a claim granted too late."""

        def release(late: peers.ClaimReply) -> None:
            if late.decision == "granted":
                outcome = base.NotRun("deadline_exceeded", 0.0)
                self.claim_service.settle(
                    _make_settle_request(
                        claim_request.key, claim_request.attempt_id, outcome
                    )
                )

        left_ms = deadline.remaining_ms(self.clock)
        found = _bounded.run_with_timeout(
            lambda: self.claim_service.claim(claim_request),
            max(left_ms - _LOOKUP_RESERVE_MS, left_ms / 2),
            release,
        )
        if found is None:
            return peers.ClaimReply(
                "claim_timeout", None, _NOT_RUN_RETRY_AFTER_MS
            )
        return found.value

    def _settle(
        self,
        call: _service_sender.ServiceCall,
        attempt_id: str,
        outcome: base.Outcome,
    ) -> None:
        """Stores an outcome and waits at most `_SETTLE_TIMEOUT_MS` for that.

        After this time the outcome is stored in the background, so that the
        caller gets its response within the deadline.
        """
        left_ms = call.deadline.remaining_ms(self.clock)
        _bounded.run_with_timeout(
            lambda: self.claim_service.settle(
                _make_settle_request(call.key, attempt_id, outcome)
            ),
            min(_SETTLE_TIMEOUT_MS, left_ms),
        )

    def _resolve_undecided(
        self, call: _service_sender.ServiceCall, reply: peers.ClaimReply
    ) -> base.Outcome:
        """Returns the outcome of a call whose claim could not be decided.

        This attempt is not sent. An earlier attempt with the same key may have
        been executed, and only a lookup at the service shows whether it was. If
        an endpoint has no lookup or does not answer it, the outcome is unknown.
        """
        left_ms = call.deadline.remaining_ms(self.clock)
        green_pool = eventlet.GreenPool()
        lookup_results = list(
            green_pool.imap(
                lambda entry: self.sender.look_up(entry, call.key, left_ms),
                self.sender.directory.services(call.service),
            )
        )
        for lookup_result in lookup_results:
            if isinstance(lookup_result, base.Done):
                return lookup_result
        if any(r is None for r in lookup_results):
            return base.Unknown(reply.decision)
        return base.NotRun(reply.decision, reply.retry_after_ms)

    def _run_granted(
        self, call: _service_sender.ServiceCall, attempt_id: str
    ) -> base.Outcome:
        outcome = self._send_once(call, attempt_id)
        if isinstance(outcome, base.Unknown):
            outcome = self._look_up_done(call) or outcome
        self.metrics.count(f"outcome.{type(outcome).__name__.lower()}")
        if isinstance(outcome, base.NotRun):
            self._release_after_response(call, attempt_id, outcome)
        else:
            self._settle(call, attempt_id, outcome)
        return outcome

    def _release_after_response(
        self,
        call: _service_sender.ServiceCall,
        attempt_id: str,
        outcome: base.NotRun,
    ) -> None:
        """Releases a claim after its caller has received `not-run`.

        Until then no other call with the key may run.
        """
        eventlet.spawn_after(
            _RELEASE_DELAY_S,
            self.claim_service.settle,
            _make_settle_request(call.key, attempt_id, outcome),
        )

    def _send_once(
        self, call: _service_sender.ServiceCall, attempt_id: str
    ) -> base.Outcome:
        """Sends a claimed call to one endpoint.

        The next endpoint is tried only after `EndpointUnreachableError`, which
        guarantees that no byte of the call was sent.
        """
        tried: list[str] = []
        headers = {
            "Idempotency-Key": call.key,
            "Hollycart-Attempt": attempt_id,
        }
        while self.sender.has_endpoint(call.service, tried):
            left_ms = call.deadline.remaining_ms(self.clock)
            if left_ms <= _service_sender.RESPONSE_RESERVE_MS:
                return base.NotRun("deadline_exceeded", _NOT_RUN_RETRY_AFTER_MS)
            entry = self.sender.choose(call.service, tried)
            tried.append(entry.entry_id)
            try:
                return self.sender.send(call, entry, headers)
            except base.EndpointUnreachableError:
                continue
            except base.HollycartError as exc:
                return base.Unknown(exc.code)
        return base.NotRun("endpoint_unreachable", _NOT_RUN_RETRY_AFTER_MS)

    def _replay(
        self, call: _service_sender.ServiceCall, record: claims.ClaimRecord
    ) -> base.Outcome:
        outcome = record.outcome()
        if isinstance(outcome, base.Unknown):
            found = self._look_up_done(call)
            if found is not None:
                self._settle(call, record.attempt_id, found)
                return found
        return outcome or base.Unknown("pending")

    def _resolve_expired(
        self, call: _service_sender.ServiceCall, reply: peers.ClaimReply
    ) -> base.Outcome | None:
        """Looks up a call whose claim holder can no longer send it.

        The holder does not send after its deadline. Before that, None is
        returned, and the caller of this method polls again.
        """
        record = reply.record
        if record is None:
            return None
        if self.clock.wall_ms() <= record.call_deadline_ms:
            return None
        found = self._look_up_done(call)
        if found is None:
            return base.Unknown("holder_lost")
        self._settle(call, record.attempt_id, found)
        return found

    def _look_up_done(
        self, call: _service_sender.ServiceCall
    ) -> base.Done | None:
        """Looks a call up by its key in two rounds over the endpoints.

        Returns:
            The outcome of the executed call, or None if no endpoint reports
            one in time.
        """
        for _ in range(2):
            for entry in self.sender.directory.services(call.service):
                if not entry.lookup_path:
                    continue
                left_ms = call.deadline.remaining_ms(self.clock)
                if left_ms <= _service_sender.RESPONSE_RESERVE_MS:
                    return None
                found = self.sender.look_up(entry, call.key, left_ms)
                if isinstance(found, base.Done):
                    return found
            self.clock.sleep_ms(
                min(
                    _LOOKUP_RETRY_DELAY_MS,
                    call.deadline.remaining_ms(self.clock) / 4,
                )
            )
        return None


def _make_settle_request(
    key: str, attempt_id: str, outcome: base.Outcome
) -> claims.SettleRequest:
    if isinstance(outcome, base.Done):
        is_storable = len(outcome.body) <= _MAX_STORED_BODY_BYTES
        return claims.SettleRequest(
            key,
            attempt_id,
            claims.ClaimState.DONE,
            outcome.status,
            outcome.body if is_storable else b"",
        )
    state = claims.ClaimState.UNKNOWN
    if isinstance(outcome, base.NotRun):
        state = claims.ClaimState.NOT_RUN
    return claims.SettleRequest(key, attempt_id, state, reason=outcome.reason)
