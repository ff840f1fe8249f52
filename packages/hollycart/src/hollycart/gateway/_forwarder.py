"""Forwards requests: admission, placement, attempts, retries, response."""

import itertools
import random

from absl import logging

from hollycart import observe
from hollycart.gateway import _admission
from hollycart.gateway import _attempt
from hollycart.gateway import _attempt_placer
from hollycart.gateway import _attribution
from hollycart.gateway import _chooser
from hollycart.gateway import _codec
from hollycart.gateway import _cold
from hollycart.gateway import _crash_guard
from hollycart.gateway import _crash_watch
from hollycart.gateway import _delegate
from hollycart.gateway import _delegator
from hollycart.gateway import _evacuation
from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _liveness
from hollycart.gateway import _messages
from hollycart.gateway import _monitor
from hollycart.gateway import _notices
from hollycart.gateway import _outcomes
from hollycart.gateway import _peers
from hollycart.gateway import _permits
from hollycart.gateway import _reported_load
from hollycart.gateway import _reserver
from hollycart.gateway import _retries
from hollycart.gateway import _settings
from hollycart.gateway import _share_guard
from hollycart.gateway import _spill
from hollycart.gateway import _state
from hollycart.gateway import _stream_watch
from hollycart.gateway import _survey
from hollycart.gateway import _waiting
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

_CONNECT_TIMEOUT_MS = 250.0  # far above a round trip, below the shortest target
# After these failures, other endpoints of the attempt may have failed as well.
_ENDPOINT_LOSSES = (
    _failures.HelperRejectedError,
    base.EndpointUnreachableError,
)


class Forwarder:
    """Handles the callers' requests.

    A request may take several attempts: it is placed again when an endpoint
    rejects it or fails, as far as its route and the retry budget allow.

    Args:
        codec: Translates the platform's messages.
        platform_state: Configuration and endpoints in force.
        peers: Announces the assignments to the other instances.
        placer: Chooses endpoints for prompts.
        health: Health of the endpoints.
        budget: Budget of retries.
        log: Decision log.
        metrics: Receives counts and times.
        clock: Source of time.
        rng: Source of randomness.
        zone: Availability zone of this instance.
        stall_ms: Time for which an engine waits for an unreachable engine,
            in ms.
        hold_max_ms: Longest memory reservation that engines accept, in ms.
        policy: What the deployment asks of policies under load.
    """

    def __init__(
        self,
        codec: _codec.RequestCodec,
        platform_state: _state.PlatformState,
        peers: _peers.PeerExchange,
        placer: placement.Placer,
        health: placement.EndpointHealth,
        budget: placement.SharedRetryBudget,
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
        rng: random.Random,
        zone: str,
        stall_ms: float,
        hold_max_ms: float,
        policy: _settings.PolicySettings | None = None,
    ) -> None:
        self.codec = codec
        self.platform_state = platform_state
        self.peers = peers
        self.placer = placer
        self.health = health
        self.budget = budget
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.zone = zone
        self.stall_ms = stall_ms
        self.policy = policy or _settings.PolicySettings()
        self.pool = connections.ConnectionPool(clock)
        self.restrictions = placement.EndpointRestrictions()
        self.limits = placement.EndpointRateLimits()
        self.cold = _cold.ColdEngines(
            platform_state, peers, lambda: self.policy, log, metrics, clock
        )
        placer.cold_ids = self.cold.cold_ids
        self.evacuation = _evacuation.EvacuationWatch(
            platform_state, log, metrics, clock, self.cold.record_zone_reopened
        )
        self.evacuation.set_bound(self.policy.evacuate_ms)
        self.notices = _notices.EndpointNotices(
            codec,
            self.restrictions,
            self.limits,
            platform_state,
            peers.broadcast_leaving,
            peers.broadcast_limit,
            peers.broadcast_replaced,
            log,
            metrics,
            clock,
            self.cold,
        )
        self.reserver = _reserver.Reserver(
            codec, self.notices, clock, hold_max_ms
        )
        self.crash_watch = _crash_watch.CrashWatch(
            log, metrics, clock, self._find_out_crash
        )
        self.guard = _crash_guard.CrashGuard(
            peers, self.crash_watch, log, metrics, clock, rng
        )
        self.dependencies = _waiting.AttemptDependencies()
        self.monitor = _monitor.EndpointMonitor(
            platform_state,
            health,
            clock,
            log,
            self.dependencies.abort_dependents,
            self.crash_watch.handle_refused,
            peers.broadcast_suspect,
        )
        self.admission = _admission.Admission(
            platform_state, self.restrictions, clock
        )
        self.permits = _permits.PermitExchange(
            peers, self.notices, log, metrics, clock, rng
        )
        self.spill = _spill.ZoneSpillControl(
            peers, lambda: self.policy, metrics, clock, rng
        )
        self.delegator = _delegator.Delegator(
            peers,
            platform_state,
            self.restrictions,
            self.permits,
            log,
            clock,
            rng,
            self.spill,
        )
        self.share_guard = _share_guard.ShareGuard(
            peers, platform_state, metrics, clock, self.policy
        )
        self.chooser = _chooser.EndpointChooser(
            platform_state,
            placer,
            health,
            self.restrictions,
            self.permits,
            peers.book,
            self.delegator,
            zone,
            self.share_guard,
            self.spill,
        )
        peers.count_open_endpoints = self.chooser.count_open_endpoints
        peers.rooms = self.spill.rooms = self.chooser.rooms
        self.notices.on_response = self._record_load
        self._delegate = _delegate.Delegate(
            peers, self.chooser, self.permits, platform_state, clock
        )
        self.survey = _survey.LoadSurvey(
            peers, platform_state, codec, self.notices, log, clock
        )
        self.reported_load = _reported_load.ReportedLoad(
            peers, platform_state, self.survey, log, metrics, clock
        )
        self._attempt_placer = _attempt_placer.AttemptPlacer(
            self.chooser,
            self.delegator,
            self.permits,
            self.reported_load,
            peers,
            log,
            clock,
        )
        self.retries = _retries.RetryControl(
            platform_state, peers, budget, log, metrics, clock, self.policy
        )
        self._attribution = _attribution.FailureAttribution(
            self.monitor,
            self.notices,
            self.crash_watch,
            self.dependencies,
            health,
            clock,
        )
        self.outcomes = _outcomes.OutcomeRecorder(
            platform_state, log, metrics, clock
        )
        self._liveness = _liveness.EndpointLiveness(codec, self.notices, clock)
        self._attempt_relay = _attempt.AttemptRelay(
            codec,
            self.notices,
            self._liveness,
            self.monitor,
            self.dependencies,
            log,
            clock,
            stall_ms,
            self.retries.has_retries,
        )
        self._ids = itertools.count()

    def apply_policy(self, policy: _settings.PolicySettings) -> None:
        """Applies what the deployment asks of policies under load."""
        self.policy = policy
        self.share_guard.policy = policy
        self.retries.policy = policy
        self.evacuation.set_bound(policy.evacuate_ms)

    def start(self) -> None:
        """Starts the probes of endpoints and the exchange with other cells."""
        self.monitor.start()
        self.evacuation.start()
        self._delegate.start()
        if self.policy.queries_load:
            self.reported_load.start()
        self.subscribe()

    def subscribe(self) -> None:
        """Sets the handlers of what other instances announce and reply."""
        self.delegator.start()
        self._delegate.subscribe()
        self.peers.subscribe(
            _messages.EndpointLeaving, self._handle_leaving_announced
        )
        self.peers.subscribe(
            _messages.EndpointReplaced, self._handle_replaced_announced
        )
        self.permits.subscribe()
        self.guard.subscribe()
        self.cold.subscribe()

    def _handle_leaving_announced(
        self, message: _messages.EndpointLeaving, ip: str
    ) -> None:
        del ip
        self.notices.record_announced(
            message.endpoint, message.born_ms, message.sender
        )

    def _handle_replaced_announced(
        self, message: _messages.EndpointReplaced, ip: str
    ) -> None:
        del ip
        self.notices.record_announced_replaced(
            message.endpoint, message.born_ms, message.written, message.sender
        )

    def close(self) -> None:
        """Stops the probes and closes idle connections."""
        self.monitor.close()
        self.evacuation.close()
        self.survey.close()
        self.reported_load.close()
        self._delegate.close()
        self.pool.close()

    def handle(self, exchange: connections.Exchange) -> None:
        """Responds to one request."""
        request_id = ""
        progress = _job.Progress("")
        try:
            meta = self.codec.decode_request(exchange.head)
            request_id = meta.request_id
            progress = _job.Progress(meta.last_event_id)
            if exchange.refusal is not None:
                raise exchange.refusal
            request = self.admission.admit(exchange, meta)
            try:
                self._run_attempts(request, progress)
            finally:
                self.guard.end_trial(progress)
            # No attempt holds anything at its endpoint while the caller reads.
            exchange.release_body()
            exchange.flush()
            self.outcomes.record_response(request, progress)
        except connections.CallerGoneError:
            self.outcomes.record_caller_left(exchange, request_id)
            raise
        except base.HollycartError as exc:
            self._fail_request(exchange, request_id, progress, exc)
        except Exception as exc:
            logging.exception("unexpected error in request %s", request_id)
            failure = base.HollycartError(f"{type(exc).__name__}: {exc}")
            self._fail_request(exchange, request_id, progress, failure)

    def _make_recorder(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        chosen: placement.Placement,
    ) -> _stream_watch.StreamRecorder:
        """Returns the recorder for an attempt that is sent now."""
        sent_ms = self.clock.now_ms()
        attempt_id = progress.attempt_id

        def on_first_event(now_ms: float) -> None:
            self.crash_watch.record_first_event(attempt_id, now_ms)
            self._record_first_event(request, chosen, now_ms, sent_ms)

        def on_gap(gap_ms: float, now_ms: float) -> None:
            self.chooser.record_gap(request, chosen.endpoint.id, gap_ms, now_ms)
            self.crash_watch.record_event(attempt_id, now_ms)

        return _stream_watch.StreamRecorder(
            self.clock, progress, on_first_event, on_gap
        )

    def _record_first_event(
        self,
        request: _job.AdmittedRequest,
        chosen: placement.Placement,
        now_ms: float,
        sent_ms: float,
    ) -> None:
        if chosen.assignments:
            self.dependencies.drop_finished_helpers(
                chosen.assignments[0].attempt_id, chosen.assignments
            )
            self.delegator.start_decoding(chosen.assignments[0].attempt_id)
        self.outcomes.record_first_event(request, chosen, now_ms, sent_ms)

    def _run_attempts(
        self, request: _job.AdmittedRequest, progress: _job.Progress
    ) -> None:
        self.budget.record_request(request.service.name, self.clock.now_ms())
        self.guard.admit(request, progress)
        while True:
            try:
                self._run_attempt(request, progress)
                return
            except connections.CallerGoneError:
                raise
            except _failures.MemoryUnavailableError as exc:
                if not self.retries.may_wait_for_memory(request):
                    raise _retries.final_failure(exc, progress) from exc
                self.clock.sleep_ms(_retries.MEMORY_RETRY_INTERVAL_MS)
            except (
                base.NotExecutedError,
                base.EndpointUnreachableError,
            ) as exc:
                progress.rejections += 1
                if not self.retries.admit_retry(request, progress, exc):
                    raise _retries.final_failure(exc, progress) from exc
                if isinstance(exc, _ENDPOINT_LOSSES):
                    self.monitor.probe_all(progress.participants)
            except (
                base.NoEndpointError,
                base.OverloadedError,
                base.QuarantinedError,
                base.StaleConfigError,
                base.UnauthorizedError,
            ) as exc:
                raise _retries.final_failure(exc, progress) from exc
            except base.EndpointFailedError as exc:
                progress.may_have_executed = True
                # Also tells the other instances of a crash.
                may_retry = self.guard.may_retry(request, progress)
                if (
                    not may_retry
                    or not request.route.repeatable
                    or progress.counted_executions >= request.route.max_attempts
                    or not self.retries.admit_retry(request, progress, exc)
                ):
                    raise

    def _find_out_crash(self, endpoint_id: str) -> None:
        """Finds out whether an engine that broke off an attempt has crashed.

        Behind a proxy, an engine that has crashed still accepts connections,
        but does not respond.
        """
        self.monitor.probe_all((endpoint_id,))
        endpoint = self.platform_state.endpoints.get(endpoint_id)
        if endpoint is None or self.crash_watch.has_crashed(endpoint_id):
            return
        cfg = self.platform_state.config
        service = cfg.services.get(endpoint.service) if cfg else None
        query = self.codec.encode_load_query()
        if service is not None and not service.engine and service.health_path:
            query = self.codec.encode_health_query(service.health_path)
        if self._liveness.find_failure(endpoint, query) is not None:
            self.health.record_timeout(endpoint_id, self.clock.now_ms())
            self.crash_watch.handle_refused(endpoint_id)

    def _run_attempt(
        self, request: _job.AdmittedRequest, progress: _job.Progress
    ) -> None:
        now_ms = self.check_deadline(request)
        self.guard.check(request, progress)
        attempt_id = f"{self.peers.incarnation:x}.{next(self._ids)}"
        progress.attempt_id = attempt_id
        progress.is_isolated = self.guard.should_isolate(request, progress)
        chosen = self._attempt_placer.place(request, progress, attempt_id)
        self.evacuation.record_placement(request.service.name, chosen)
        self.outcomes.record_placement(request, chosen, attempt_id, now_ms)
        endpoint = chosen.endpoint
        progress.participants = tuple(a.endpoint for a in chosen.assignments)
        self.chooser.in_flight[endpoint.id] += 1
        conn: connections.ClientConnection | None = None
        failure: base.HollycartError | None = None
        complete = False
        sent, received_bytes = progress.attempts_sent, progress.received_bytes
        try:
            if chosen.send_delay_ms:
                self.clock.sleep_ms(chosen.send_delay_ms)
            if chosen.reservations:
                self.reserver.reserve(attempt_id, chosen.reservations)
            conn = self._connect(endpoint, request, progress)
            self.admission.check_before_send(
                request, (endpoint, *chosen.helpers)
            )
            self.permits.check_before_send(attempt_id, endpoint, chosen.helpers)
            self.guard.check(request, progress)
            self.check_deadline(request)
            recorder = self._make_recorder(request, progress, chosen)
            progress.attempts_sent += 1
            self.crash_watch.start(attempt_id, request, chosen)
            self._attempt_relay.run(
                request, progress, chosen, conn, attempt_id, recorder
            )
            complete = True
            self.crash_watch.complete(attempt_id)
            self.health.record_success(endpoint.id)
        except base.HollycartError as exc:
            failure = exc
            self._attribution.attribute(progress, chosen, exc)
            raise
        finally:
            self.crash_watch.end(attempt_id, failure)
            self.permits.release(attempt_id, endpoint)
            self.dependencies.remove(attempt_id)
            if progress.attempts_sent > sent:
                self.spill.record_response(
                    request,
                    chosen,
                    progress.received_bytes - received_bytes,
                    complete,
                )
            if conn is not None:
                self.pool.release_connection(conn)
            self.chooser.in_flight[endpoint.id] -= 1
            if chosen.reservations:
                self.reserver.release(attempt_id, chosen.reservations)
            if chosen.assignments:
                self.delegator.remove(attempt_id)

    def _record_load(
        self, endpoint: placement.Endpoint, response: _codec.ResponseMeta
    ) -> None:
        self.spill.record_load(
            endpoint, response, self.chooser.in_flight[endpoint.id]
        )

    def check_deadline(self, request: _job.AdmittedRequest) -> float:
        """Returns the current instant, if time is left for an attempt.

        Raises:
            DeadlineExceededError: If there is not enough.
        """
        now_ms = self.clock.now_ms()
        if request.deadline_ms - now_ms < _attempt.MIN_REMAINING_MS:
            raise base.DeadlineExceededError(
                f"{request.deadline_ms - now_ms:.0f} ms left, an attempt needs "
                f"{_attempt.MIN_REMAINING_MS:.0f} ms"
            )
        return now_ms

    def _connect(
        self,
        endpoint: placement.Endpoint,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
    ) -> connections.ClientConnection:
        """Returns a connection to an endpoint.

        On a kept one, copies of earlier responses may arrive. Those to an
        attempt of the same request, or to a request without an id, could not
        be told from the response.
        """
        remaining_ms = request.deadline_ms - self.clock.now_ms()
        may_reuse = (
            request.route.repeatable
            and not progress.attempts_sent
            and bool(request.meta.request_id)
        )
        return self.pool.acquire(
            endpoint.address,
            min(_CONNECT_TIMEOUT_MS, remaining_ms),
            new_only=not may_reuse,
        )

    def _fail_request(
        self,
        exchange: connections.Exchange,
        request_id: str,
        progress: _job.Progress,
        exc: base.HollycartError,
    ) -> None:
        self.outcomes.record_failure(exchange, request_id, progress, exc)
        status = 0 if exchange.response_started else exc.http_status
        if isinstance(exc, connections.ResponseShedError):
            self.outcomes.record_shed(request_id, progress, exc)
        if exchange.response_started:
            if not isinstance(exc, connections.ResponseShedError):
                exchange.flush()  # events that arrived before the failure
            exchange.abort()
            return
        headers = self.codec.encode_failure(request_id, exc.retry_after_ms)
        exchange.respond(status, headers, b"")
