"""Sends one attempt to an endpoint and relays the response."""

from collections.abc import Callable

from absl import logging

from hollycart import observe
from hollycart.gateway import _codec
from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _liveness
from hollycart.gateway import _monitor
from hollycart.gateway import _notices
from hollycart.gateway import _waiting
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement
from hollycart_core import routing

_SEND_TIMEOUT_MS = 2000.0
_MAX_BODY_BYTES = 8 << 20  # responses that are not streams
# Body of a rejection, whose head says all that counts.
_REJECTION_BODY_TIMEOUT_MS = 100.0
_MAX_REJECTION_BYTES = 65536
# Time for the body of an answer whose head came late, in ms.
_MIN_BODY_TIMEOUT_MS = 100.0
# Bytes of a stream for each token that the request allows, and at least.
_STREAM_BYTES_PER_TOKEN = 512
_MIN_STREAM_LIMIT_BYTES = 4 << 20
MIN_REMAINING_MS = 20.0  # no attempt is sent with less time left
# All endpoints of an attempt are probed if the response head takes longer than
# this multiple of the predicted prefill time plus a margin for its error.
_PROBE_FACTOR = 1.3
_PROBE_MARGIN_MS = 150.0
# Without a response head, an attempt with a prompt times out after at least
# this multiple of the predicted time to its first event, although its endpoint
# accepts connections. A shorter timeout would retry work that is only late.
_FIRST_EVENT_TIMEOUT_FACTOR = 4.0
# An endpoint is probed if the next event takes longer than this multiple of the
# longest gap that the route allows, but not before the minimum.
_GAP_PROBE_FACTOR = 2.0
_MIN_GAP_PROBE_MS = 500.0
# Share of the route's timeout after which an idempotent request without a
# prompt is retried at another endpoint.
_RETRY_TIMEOUT_SHARE = 0.55
_MAX_MISMATCHED_RESPONSES = 3  # with the id of another request


class AttemptRelay:
    """Relays one response from an endpoint to a caller.

    Args:
        codec: Translates the platform's messages.
        notices: Records what endpoints ask for in their responses.
        liveness: Confirms responses without a declared end.
        monitor: Probes endpoints that are late.
        dependencies: Aborts the attempt if one of its endpoints becomes
            unreachable.
        log: Decision log.
        clock: Source of time.
        stall_ms: Time for which an engine waits for an unreachable engine,
            in ms.
        has_retries: Returns whether the retry budget of a service has room.
            Without a retry, an attempt that is late goes on: it may be slow
            but sound.
    """

    def __init__(
        self,
        codec: _codec.RequestCodec,
        notices: _notices.EndpointNotices,
        liveness: _liveness.EndpointLiveness,
        monitor: _monitor.EndpointMonitor,
        dependencies: _waiting.AttemptDependencies,
        log: observe.DecisionLog,
        clock: base.Clock,
        stall_ms: float,
        has_retries: Callable[[str], bool],
    ) -> None:
        self.codec = codec
        self.notices = notices
        self.liveness = liveness
        self.monitor = monitor
        self.dependencies = dependencies
        self.log = log
        self.clock = clock
        self.stall_ms = stall_ms
        self.has_retries = has_retries

    def run(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        attempt_id: str,
        listener: "EventListener",
    ) -> None:
        """Sends the request and relays the response.

        Args:
            request: The admitted request.
            progress: State of the request over all attempts.
            chosen: Placement of this attempt.
            conn: Connection to the endpoint.
            attempt_id: Id of the attempt and of its reservations.
            listener: Called for events of a stream.

        Raises:
            NotExecutedError: If the endpoint rejected the request.
            EndpointFailedError: If the attempt failed after the endpoint may
                have executed the request.
            CallerGoneError: If the caller disconnected.
        """
        request.exchange.hold(0)  # what an earlier attempt received is gone
        sent_head = self._encode_head(request, progress, chosen, attempt_id)
        progress.possible_executions += 1
        sent_ms = self.clock.now_ms()
        head_end_ms = sent_ms + self._head_timeout_ms(request, progress, chosen)
        conn.send(
            sent_head,
            request.exchange.body,
            _SEND_TIMEOUT_MS,
            self._send_end_ms(request, head_end_ms) - sent_ms,
        )
        if chosen.assignments and self._may_time_out(request, progress):
            self.dependencies.add(attempt_id, chosen.assignments)
        head, response = self._read_matching_head(
            request, chosen, conn, sent_head, sent_ms, head_end_ms
        )
        if response.not_executed:
            progress.possible_executions -= 1
            self._skip_rejection_body(conn)
            raise _rejection_failure(request, chosen, head, response)
        success = 200 <= head.status < 300
        if success and not response.sealed:
            raise base.EndpointFailedError(
                f"{chosen.endpoint.id} answered {head.status} without a seal"
            )
        if progress.response_started and not _continues(progress, head):
            raise _failures.NotResumedError(
                f"{chosen.endpoint.id} answered {head.status} "
                f"{_media_type(head)!r} instead of resuming the stream"
            )
        progress.responded_by = chosen.endpoint.id
        progress.framing = head.framing
        if success and request.route.kind is routing.RouteKind.STREAMING:
            self._relay_stream(request, progress, chosen, conn, head, listener)
            return
        now_ms = self.clock.now_ms()
        body_end_ms = request.deadline_ms
        if self.has_retries(request.service.name):
            body_end_ms = max(head_end_ms, now_ms + _MIN_BODY_TIMEOUT_MS)
        parts = conn.read_parts(
            body_end_ms - now_ms,
            _MAX_BODY_BYTES,
            lambda size: self._hold(request, size),
        )
        progress.received_bytes += sum(len(part) for part in parts)
        self._confirm_end(request, chosen, head)
        if not success and self._should_retry(request, progress, head):
            raise base.EndpointFailedError(
                f"{chosen.endpoint.id} answered {head.status}"
            )
        progress.status = head.status
        request.exchange.respond_parts(
            head.status, connections.end_to_end_headers(head.headers), parts
        )

    def _hold(self, request: _job.AdmittedRequest, size: int) -> None:
        """Counts what was received of a body; waits until there is room.

        Raises:
            DeadlineExceededError: If there was none before the deadline; the
                endpoint is not to blame.
            ResponseShedError: If the response was given up to free memory.
        """
        asked_ms = self.clock.now_ms()
        request.exchange.hold(size)
        if asked_ms <= request.deadline_ms < self.clock.now_ms():
            raise base.DeadlineExceededError(
                f"{size} bytes of the response received before the deadline"
            )

    def _send_end_ms(
        self, request: _job.AdmittedRequest, head_end_ms: float
    ) -> float:
        """Returns until when an endpoint may take the request."""
        if self.has_retries(request.service.name):
            return head_end_ms
        return request.deadline_ms

    def _encode_head(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        chosen: placement.Placement,
        attempt_id: str,
    ) -> connections.RequestHead:
        return self.codec.encode_attempt(
            request.exchange.head,
            _codec.AttemptMeta(
                chosen.endpoint.id,
                request.deadline_ms - self.clock.now_ms(),
                request.team.name if request.team else "",
                None,
                _helper_addresses(chosen, attempt_id),
                progress.events.last_id,
            ),
        )

    def _should_retry(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        head: connections.ResponseHead,
    ) -> bool:
        return (
            head.status >= 500
            and request.route.repeatable
            and progress.counted_executions < request.route.max_attempts
            and request.deadline_ms - self.clock.now_ms() > MIN_REMAINING_MS
        )

    def _skip_rejection_body(self, conn: connections.ClientConnection) -> None:
        """Reads the body of a rejection, so that the connection can be reused.

        The rejection counts whether or not its body is complete.
        """
        try:
            conn.read_body(_REJECTION_BODY_TIMEOUT_MS, _MAX_REJECTION_BYTES)
        except base.EndpointFailedError as exc:
            logging.info("body of a rejection is incomplete: %s", exc.detail)
            conn.close()

    def _read_matching_head(
        self,
        request: _job.AdmittedRequest,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        sent_head: connections.RequestHead,
        sent_ms: float,
        end_ms: float,
    ) -> tuple[connections.ResponseHead, _codec.ResponseMeta]:
        """Reads the head of the response to this request.

        Responses to other requests are logged and skipped. One without a
        request id may be a copy of an earlier response, unless the connection
        is new; then the endpoint has answered, and the request either was not
        executed or has failed.
        """
        for _ in range(_MAX_MISMATCHED_RESPONSES):
            try:
                head = self._read_head(chosen, conn, sent_ms, end_ms)
            except base.SilentEndpointError:
                if self.has_retries(request.service.name):
                    raise
                end_ms = request.deadline_ms
                head = conn.read_head(end_ms - self.clock.now_ms())
            response = self.notices.record(
                chosen.endpoint,
                head,
                sent_ms,
                request.meta.request_id,
                conn.is_new,
            )
            if response.belongs_to(request.meta.request_id, conn.is_new):
                if (
                    response.request_id != request.meta.request_id
                    and not response.not_executed
                ):
                    raise base.EndpointFailedError(
                        f"{chosen.endpoint.id} answered {head.status} without "
                        "a request id"
                    )
                return head, response
            self.log.write(
                observe.decisions.ForeignAnswer(
                    request.meta.request_id,
                    chosen.endpoint.id,
                    response.request_id,
                )
            )
            conn.skip_foreign_response(sent_head)
        raise base.EndpointFailedError(
            f"{chosen.endpoint.id} sent {_MAX_MISMATCHED_RESPONSES} responses "
            "to other requests"
        )

    def _read_head(
        self,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        sent_ms: float,
        end_ms: float,
    ) -> connections.ResponseHead:
        """Reads the next response head; probes the endpoints if it is late."""
        prefill_ms = chosen.first_event_ms - chosen.send_delay_ms
        probe_at_ms = sent_ms + _PROBE_FACTOR * prefill_ms + _PROBE_MARGIN_MS
        now_ms = self.clock.now_ms()
        if chosen.assignments and now_ms < probe_at_ms < end_ms:
            try:
                return conn.read_head(probe_at_ms - now_ms)
            except base.SilentEndpointError:
                for assignment in chosen.assignments:
                    self.monitor.schedule_probe(assignment.endpoint)
        return conn.read_head(end_ms - self.clock.now_ms())

    def _head_timeout_ms(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        chosen: placement.Placement,
    ) -> float:
        remaining_ms = request.deadline_ms - self.clock.now_ms()
        if not self._may_time_out(request, progress):
            return remaining_ms
        if chosen.assignments:
            head_timeout_ms = max(
                self.stall_ms,
                request.route.target_ms,
                _FIRST_EVENT_TIMEOUT_FACTOR * chosen.first_event_ms,
            )
        else:
            head_timeout_ms = _RETRY_TIMEOUT_SHARE * request.route.timeout_ms
        return min(remaining_ms, head_timeout_ms)

    def _may_time_out(
        self, request: _job.AdmittedRequest, progress: _job.Progress
    ) -> bool:
        """Returns whether an attempt may time out before the deadline.

        The last attempt may not, since no other one would follow it.
        """
        return (
            request.route.repeatable
            and progress.counted_executions < request.route.max_attempts
        )

    def _relay_stream(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        head: connections.ResponseHead,
        listener: "EventListener",
    ) -> None:
        events = progress.events
        events.start_attempt()
        limit_bytes = max(
            _MIN_STREAM_LIMIT_BYTES,
            _STREAM_BYTES_PER_TOKEN * request.meta.max_output_tokens,
        )
        relayed_bytes = 0
        event_ms = self.clock.now_ms()
        while True:
            data = self._read_data(request, progress, chosen, conn, event_ms)
            if data is None:
                break
            progress.received_bytes += len(data)
            complete = events.feed(data)
            request.exchange.hold(events.partial_bytes)
            relayed_bytes += len(complete)
            if events.overflowing or relayed_bytes > limit_bytes:
                raise base.EndpointFailedError(
                    f"stream or event from {chosen.endpoint.id} exceeds the "
                    "size limit"
                )
            if complete:
                event_ms = self.clock.now_ms()
                listener.on_event()
                self._start_response(request, progress, head)
                request.exchange.write(complete)
        trailing = events.finish(head.framing)
        self._confirm_end(request, chosen, head)
        self._start_response(request, progress, head)
        progress.trailing_bytes = len(trailing)
        if trailing:
            request.exchange.write(trailing)
        request.exchange.finish()

    def _confirm_end(
        self,
        request: _job.AdmittedRequest,
        chosen: placement.Placement,
        head: connections.ResponseHead,
    ) -> None:
        self.liveness.confirm_end(
            chosen.endpoint, head.framing, request.service.engine is not None
        )

    def _read_data(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        event_ms: float,
    ) -> bytes | None:
        """Reads more of a stream; probes the endpoint if an event is late.

        The times count from the last complete event: single bytes of the next
        one do not prolong them.
        """
        now_ms = self.clock.now_ms()
        if not self._may_time_out(request, progress):
            return conn.read_data(request.deadline_ms - now_ms)
        probe_at_ms = event_ms + max(
            _MIN_GAP_PROBE_MS, _GAP_PROBE_FACTOR * request.route.max_gap_ms
        )
        end_ms = min(request.deadline_ms, probe_at_ms + self.stall_ms)
        if now_ms < probe_at_ms < end_ms:
            try:
                return conn.read_data(probe_at_ms - now_ms)
            except base.SilentEndpointError:
                self.monitor.schedule_probe(chosen.endpoint.id)
        try:
            return conn.read_data(end_ms - self.clock.now_ms())
        except base.SilentEndpointError:
            if self.has_retries(request.service.name):
                raise
        return conn.read_data(request.deadline_ms - self.clock.now_ms())

    def _start_response(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        head: connections.ResponseHead,
    ) -> None:
        if not progress.response_started:
            progress.response_started = True
            progress.status = head.status
            progress.media_type = _media_type(head)
            request.exchange.start(
                head.status,
                connections.end_to_end_headers(head.headers),
                None,
            )


class EventListener:
    """Observes the events of one attempt; ignores them by default."""

    def on_event(self) -> None:
        """Called when one or more complete events have arrived."""


def _media_type(head: connections.ResponseHead) -> str:
    """Returns the type of a body, without parameters."""
    value = connections.find_header(head.headers, b"content-type")
    return value.partition(";")[0].strip().lower()


def _continues(progress: _job.Progress, head: connections.ResponseHead) -> bool:
    """Returns whether a response may go on with one that has started."""
    return (head.status, _media_type(head)) == (
        progress.status,
        progress.media_type,
    )


def _rejection_failure(
    request: _job.AdmittedRequest,
    chosen: placement.Placement,
    head: connections.ResponseHead,
    response: _codec.ResponseMeta,
) -> base.NotExecutedError:
    """Returns the failure for a rejection by the endpoint or by a helper."""
    detail = f"{chosen.endpoint.id} answered {head.status}"
    for helper in chosen.helpers:
        if response.faulty_endpoint in (helper.id, helper.address):
            return _failures.HelperRejectedError(
                f"{detail} because of helper {helper.id}", helper.id
            )
    # An endpoint with another version of the weights answers in the same way.
    if response.misdirected and not request.meta.pins_version:
        return _failures.EndpointReplacedError(detail, _failures.RETRY_AFTER_MS)
    # The endpoint's Retry-After binds this instance, not the caller: another
    # endpoint may accept the request sooner.
    return base.NotExecutedError(detail, _failures.RETRY_AFTER_MS)


def _helper_addresses(
    chosen: placement.Placement, reservation_id: str
) -> tuple[str, ...]:
    """Returns the addresses of the helpers as the endpoint expects them.

    Addresses of endpoints with a reservation carry its id. The primary is
    included, in the first place, only if it has a reservation.
    """
    reserved = {r.endpoint.id for r in chosen.reservations}
    listed = [
        f"{h.address}/{reservation_id}" if h.id in reserved else h.address
        for h in chosen.helpers
    ]
    if chosen.endpoint.id in reserved:
        listed.insert(0, f"{chosen.endpoint.address}/{reservation_id}")
    return tuple(listed)
