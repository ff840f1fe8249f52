"""Calls that must not be repeated, under a claim."""

import eventlet

from hollycart import observe
from hollycart import peers
from hollycart.entry import _bounded
from hollycart.entry import _claim_service
from hollycart.entry import _service_sender
from hollycart_core import base
from hollycart_core import claims

MAX_KEPT_BYTES = 16_384
_PENDING_POLL_MS = 200.0
_LOOKUP_PAUSE_MS = 300.0
_SETTLE_WAIT_MS = 1_000.0
_RELEASE_DELAY_S = 0.05
_REFUSE_RESERVE_MS = 1_200.0  # to ask the service after a claim timed out
_NOT_RUN_RETRY_MS = 1_000.0


class ClaimedCalls:
    """Runs a call at most once and says what happened.

    A call is claimed under its idempotency key before it is sent, and sent
    once. `not run` is answered only where this instance has not sent the call
    and will not send it.

    Args:
        sender: Sends calls.
        claim_service: Claims and outcomes.
        clock: Source of time.
        metrics: Counters.
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
        """Runs a call or learns the outcome of the first one under its key.

        Args:
            call: The call, with a key.
            attempt_id: This attempt.

        Returns:
            What happened.

        Raises:
            KeyReusedError: If the key was used with another request.
        """
        left_ms = call.deadline.remaining_ms(self.clock)
        call_deadline_ms = self.clock.wall_ms() + left_ms
        ask = claims.ClaimRequest(
            call.key, call.digest, attempt_id, call_deadline_ms
        )
        while not call.deadline.expired(self.clock):
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
            self.clock.sleep_ms(
                min(
                    _PENDING_POLL_MS,
                    call.deadline.remaining_ms(self.clock),
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
                self.claim_service.settle(
                    _settlement(ask.key, ask.attempt_id, outcome)
                )

        left_ms = deadline.remaining_ms(self.clock)
        found = _bounded.run_with_timeout(
            lambda: self.claim_service.claim(ask),
            max(left_ms - _REFUSE_RESERVE_MS, left_ms / 2),
            release,
        )
        if found is None:
            return peers.ClaimReply("claim_timeout", None, _NOT_RUN_RETRY_MS)
        return found.value

    def _settle(
        self,
        call: _service_sender.ServiceCall,
        attempt_id: str,
        outcome: base.Outcome,
    ) -> None:
        """Stores an outcome, but answers the caller in time."""
        left_ms = call.deadline.remaining_ms(self.clock)
        _bounded.run_with_timeout(
            lambda: self.claim_service.settle(
                _settlement(call.key, attempt_id, outcome)
            ),
            min(_SETTLE_WAIT_MS, left_ms),
        )

    def _refuse(
        self, call: _service_sender.ServiceCall, reply: peers.ClaimReply
    ) -> base.Outcome:
        """Answers a call whose claim cannot be decided.

        This attempt is not sent. Whether an earlier attempt under the same
        key was executed only the service can tell; without its answer the
        outcome of the key is unknown.
        """
        left_ms = call.deadline.remaining_ms(self.clock)
        workers = eventlet.GreenPool()
        answers = list(
            workers.imap(
                lambda entry: self.sender.look_up(entry, call.key, left_ms),
                self.sender.directory.services(call.service),
            )
        )
        for answer in answers:
            if isinstance(answer, base.Done):
                return answer
        if any(a is None for a in answers):
            return base.Unknown(reply.decision)
        return base.NotRun(reply.decision, reply.retry_after_ms)

    def _run_granted(
        self, call: _service_sender.ServiceCall, attempt_id: str
    ) -> base.Outcome:
        outcome = self._send_once(call, attempt_id)
        if isinstance(outcome, base.Unknown):
            outcome = self._ask_service(call) or outcome
        self.metrics.count(f"outcome.{type(outcome).__name__.lower()}")
        if isinstance(outcome, base.NotRun):
            self._release_after_answer(call, attempt_id, outcome)
        else:
            self._settle(call, attempt_id, outcome)
        return outcome

    def _release_after_answer(
        self,
        call: _service_sender.ServiceCall,
        attempt_id: str,
        outcome: base.NotRun,
    ) -> None:
        """Releases a claim once its caller has been told `not run`.

        Until then no other call under the key may run.
        """
        eventlet.spawn_after(
            _RELEASE_DELAY_S,
            self.claim_service.settle,
            _settlement(call.key, attempt_id, outcome),
        )

    def _send_once(
        self, call: _service_sender.ServiceCall, attempt_id: str
    ) -> base.Outcome:
        """Sends a claimed call; only a proof of not sending lets it go on."""
        tried: list[str] = []
        headers = {
            "Idempotency-Key": call.key,
            "Hollycart-Attempt": attempt_id,
        }
        while self.sender.has_endpoint(call.service, tried):
            left_ms = call.deadline.remaining_ms(self.clock)
            if left_ms <= _service_sender.RESERVE_MS:
                return base.NotRun("deadline_exceeded", _NOT_RUN_RETRY_MS)
            entry = self.sender.choose(call.service, tried)
            tried.append(entry.entry_id)
            try:
                return self.sender.send(call, entry, headers)
            except base.EndpointUnreachableError:
                continue
            except base.HollycartError as exc:
                return base.Unknown(exc.code)
        return base.NotRun("endpoint_unreachable", _NOT_RUN_RETRY_MS)

    def _replay(
        self, call: _service_sender.ServiceCall, record: claims.ClaimRecord
    ) -> base.Outcome:
        outcome = record.outcome()
        if isinstance(outcome, base.Unknown):
            found = self._ask_service(call)
            if found is not None:
                self._settle(call, record.attempt_id, found)
                return found
        return outcome or base.Unknown("pending")

    def _resolve_abandoned(
        self, call: _service_sender.ServiceCall, reply: peers.ClaimReply
    ) -> base.Outcome | None:
        """Asks about a call whose holder can no longer send it."""
        record = reply.record
        if record is None:
            return None
        if self.clock.wall_ms() <= record.call_deadline_ms:
            return None
        found = self._ask_service(call)
        if found is None:
            return base.Unknown("holder_lost")
        self._settle(call, record.attempt_id, found)
        return found

    def _ask_service(
        self, call: _service_sender.ServiceCall
    ) -> base.Done | None:
        """Looks a call up by its key; None if it cannot be learnt."""
        for _ in range(2):
            for entry in self.sender.directory.services(call.service):
                if not entry.lookup_path:
                    continue
                left_ms = call.deadline.remaining_ms(self.clock)
                if left_ms <= _service_sender.RESERVE_MS:
                    return None
                found = self.sender.look_up(entry, call.key, left_ms)
                if isinstance(found, base.Done):
                    return found
            self.clock.sleep_ms(
                min(
                    _LOOKUP_PAUSE_MS,
                    call.deadline.remaining_ms(self.clock) / 4,
                )
            )
        return None


def _settlement(
    key: str, attempt_id: str, outcome: base.Outcome
) -> claims.SettleRequest:
    if isinstance(outcome, base.Done):
        kept = len(outcome.body) <= MAX_KEPT_BYTES
        return claims.SettleRequest(
            key,
            attempt_id,
            claims.ClaimState.DONE,
            outcome.status,
            outcome.body if kept else b"",
        )
    state = claims.ClaimState.UNKNOWN
    if isinstance(outcome, base.NotRun):
        state = claims.ClaimState.NOT_RUN
    return claims.SettleRequest(key, attempt_id, state, reason=outcome.reason)
