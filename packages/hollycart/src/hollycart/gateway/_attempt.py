"""Sends one attempt to an endpoint and passes its answer on."""

from hollycart import observe
from hollycart.gateway import _codec
from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _monitor
from hollycart.gateway import _waiting
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement
from hollycart_core import routing

_SEND_TIMEOUT_MS = 2000.0
_MAX_BODY_BYTES = 8 << 20  # answers that are not streams
MIN_LEFT_MS = 20.0  # with less time left nothing is sent
# Silence before the first event after which all endpoints of an attempt are
# checked: this many times the prediction, and a time for its error, in ms.
_CHECK_FACTOR = 1.3
_CHECK_MARGIN_MS = 150.0
# Silence before the first event after which an endpoint is given up although
# it accepts connections; earlier would repeat work that only is late.
_FIRST_EVENT_FACTOR = 4.0
# Silence between events after which the endpoint is checked, in pauses that the
# caller accepts, and the shortest, in ms.
_PAUSE_FACTOR = 2.0
_MIN_SILENCE_MS = 500.0
# Part of a request's time after which an idempotent one is tried elsewhere.
_HEDGE_SHARE = 0.55
_FOREIGN_ANSWERS = 3  # answers to other requests that are skipped


class AttemptRelay:
    """Passes one answer from an endpoint to a caller.

    Args:
        codec: Translates the platform's messages.
        monitor: Checks endpoints that are late.
        waiting: Attempts without an event yet.
        log: Receives the decisions.
        clock: Source of time.
        stall_ms: Time for which an engine waits for a lost one, in ms.
    """

    def __init__(
        self,
        codec: _codec.RequestCodec,
        monitor: _monitor.EndpointMonitor,
        waiting: _waiting.WaitingAttempts,
        log: observe.DecisionLog,
        clock: base.Clock,
        stall_ms: float,
    ) -> None:
        self.codec = codec
        self.monitor = monitor
        self.waiting = waiting
        self.log = log
        self.clock = clock
        self.stall_ms = stall_ms

    def run(
        self,
        job: _job.Job,
        progress: _job.Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        ticket: str,
        on_event: "EventSink",
    ) -> None:
        """Sends the request and passes the answer on.

        Raises:
            NotExecutedError: If the endpoint rejected the request.
            EndpointFailedError: If it failed; it may have run.
            CallerGoneError: If the caller left.
        """
        sent = self._encode(job, progress, chosen, ticket)
        progress.runs += 1
        conn.send(sent, job.exchange.body, _SEND_TIMEOUT_MS)
        if chosen.assignments and self._may_go_elsewhere(job, progress):
            self.waiting.add(ticket, chosen.assignments)
        head, answer = self._read_answer(job, progress, chosen, conn, sent)
        if answer.not_executed:
            progress.runs -= 1
            conn.read_body(_SEND_TIMEOUT_MS, _MAX_BODY_BYTES)
            raise _rejection(chosen, head, answer)
        success = 200 <= head.status < 300
        if success and not answer.sealed:
            raise base.EndpointFailedError("answer is not sealed")
        progress.answered_by = chosen.endpoint.id
        if success and job.route.kind is routing.RouteKind.STREAMING:
            self._relay_stream(job, progress, chosen, conn, head, on_event)
            return
        left_ms = job.deadline_ms - self.clock.now_ms()
        body = conn.read_body(left_ms, _MAX_BODY_BYTES)
        if not success and self._worth_repeating(job, progress, head):
            raise base.EndpointFailedError(
                f"{chosen.endpoint.id} answered {head.status}"
            )
        if progress.begun:
            raise base.EndpointFailedError("stream was not resumed")
        progress.status = head.status
        job.exchange.respond(
            head.status, connections.end_to_end_headers(head.headers), body
        )

    def _encode(
        self,
        job: _job.Job,
        progress: _job.Progress,
        chosen: placement.Placement,
        ticket: str,
    ) -> connections.RequestHead:
        return self.codec.encode_attempt(
            job.exchange.head,
            _codec.AttemptMeta(
                chosen.endpoint.id,
                job.deadline_ms - self.clock.now_ms(),
                job.team.name if job.team else "",
                None,
                _helper_addresses(chosen, ticket),
                progress.events.last_id,
            ),
        )

    def _worth_repeating(
        self,
        job: _job.Job,
        progress: _job.Progress,
        head: connections.ResponseHead,
    ) -> bool:
        return (
            head.status >= 500
            and job.route.repeatable
            and progress.runs < job.route.max_attempts
            and job.deadline_ms - self.clock.now_ms() > MIN_LEFT_MS
        )

    def _read_answer(
        self,
        job: _job.Job,
        progress: _job.Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        sent: connections.RequestHead,
    ) -> tuple[connections.ResponseHead, _codec.AnswerMeta]:
        for _ in range(_FOREIGN_ANSWERS):
            head = self._read_head(job, progress, chosen, conn)
            answer = self.codec.decode_answer(head)
            if answer.request_id == job.meta.request_id:
                return head, answer
            if answer.not_executed and not answer.request_id:
                return head, answer
            self.log.write(
                observe.decisions.ForeignAnswer(
                    job.meta.request_id, chosen.endpoint.id, answer.request_id
                )
            )
            conn.skip_foreign_response(sent)
        raise base.EndpointFailedError("answers to other requests only")

    def _read_head(
        self,
        job: _job.Job,
        progress: _job.Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
    ) -> connections.ResponseHead:
        """Waits for the head; checks the endpoints if it is late."""
        patience_ms = self._patience_ms(job, progress, chosen)
        prefill_ms = chosen.first_event_ms - chosen.send_delay_ms
        check_ms = _CHECK_FACTOR * prefill_ms + _CHECK_MARGIN_MS
        if not chosen.assignments or check_ms >= patience_ms:
            return conn.read_head(patience_ms)
        try:
            return conn.read_head(check_ms)
        except base.SilentEndpointError:
            for assignment in chosen.assignments:
                self.monitor.schedule_probe(assignment.endpoint)
        return conn.read_head(patience_ms - check_ms)

    def _patience_ms(
        self,
        job: _job.Job,
        progress: _job.Progress,
        chosen: placement.Placement,
    ) -> float:
        left_ms = job.deadline_ms - self.clock.now_ms()
        if not self._may_go_elsewhere(job, progress):
            return left_ms
        if chosen.assignments:
            patience_ms = max(
                self.stall_ms,
                job.route.target_ms,
                _FIRST_EVENT_FACTOR * chosen.first_event_ms,
            )
        else:
            patience_ms = _HEDGE_SHARE * job.route.timeout_ms
        return min(left_ms, patience_ms)

    def _may_go_elsewhere(self, job: _job.Job, progress: _job.Progress) -> bool:
        """Returns whether silence may end an attempt.

        The last attempt is never ended for its endpoint's silence.
        """
        return job.route.repeatable and progress.runs < job.route.max_attempts

    def _relay_stream(
        self,
        job: _job.Job,
        progress: _job.Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        head: connections.ResponseHead,
        on_event: "EventSink",
    ) -> None:
        events = progress.events
        events.drop_partial()
        while True:
            data = self._read_data(job, progress, chosen, conn)
            if data is None:
                break
            whole = events.push(data)
            if events.overflowing:
                raise base.EndpointFailedError("event too long")
            if whole:
                on_event.note()
                self._begin(job, progress, head)
                job.exchange.write(whole)
        rest = events.take_rest()
        self._begin(job, progress, head)
        if rest:
            job.exchange.write(rest)
        job.exchange.finish()

    def _read_data(
        self,
        job: _job.Job,
        progress: _job.Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
    ) -> bytes | None:
        """Waits for more of a stream; checks the endpoint if it is silent."""
        left_ms = job.deadline_ms - self.clock.now_ms()
        if not self._may_go_elsewhere(job, progress):
            return conn.read_data(left_ms)
        check_ms = max(_MIN_SILENCE_MS, _PAUSE_FACTOR * job.route.max_gap_ms)
        silence_ms = min(left_ms, check_ms + self.stall_ms)
        if check_ms >= silence_ms:
            return conn.read_data(silence_ms)
        try:
            return conn.read_data(check_ms)
        except base.SilentEndpointError:
            self.monitor.schedule_probe(chosen.endpoint.id)
        return conn.read_data(silence_ms - check_ms)

    def _begin(
        self,
        job: _job.Job,
        progress: _job.Progress,
        head: connections.ResponseHead,
    ) -> None:
        if not progress.begun:
            progress.begun = True
            progress.status = head.status
            job.exchange.start(
                head.status,
                connections.end_to_end_headers(head.headers),
                None,
            )


class EventSink:
    """Notes the events of one attempt; by default nothing."""

    def note(self) -> None:
        """Notes one event."""


def _rejection(
    chosen: placement.Placement,
    head: connections.ResponseHead,
    answer: _codec.AnswerMeta,
) -> base.NotExecutedError:
    """Returns the failure for a rejection, naming the endpoint at fault."""
    detail = f"{chosen.endpoint.id} answered {head.status}"
    for helper in chosen.helpers:
        if answer.faulty_endpoint in (helper.id, helper.address):
            return _failures.HelperRejectedError(
                f"{detail} because of {helper.id}", helper.id
            )
    return base.NotExecutedError(
        detail, answer.retry_after_ms or _failures.RETRY_AFTER_MS
    )


def _helper_addresses(
    chosen: placement.Placement, ticket: str
) -> tuple[str, ...]:
    """Returns helpers with their tickets, the writing endpoint first."""
    reserved = {r.endpoint.id for r in chosen.reservations}
    listed = [
        f"{h.address}/{ticket}" if h.id in reserved else h.address
        for h in chosen.helpers
    ]
    if chosen.endpoint.id in reserved:
        listed.insert(0, f"{chosen.endpoint.address}/{ticket}")
    return tuple(listed)
