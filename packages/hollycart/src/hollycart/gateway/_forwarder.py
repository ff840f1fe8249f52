"""Forwards requests: admits, places, sends, repeats, answers."""

import itertools

from absl import logging

from hollycart import observe
from hollycart.gateway import _admission
from hollycart.gateway import _attempt
from hollycart.gateway import _chooser
from hollycart.gateway import _codec
from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _monitor
from hollycart.gateway import _peers
from hollycart.gateway import _reserver
from hollycart.gateway import _state
from hollycart.gateway import _stream_watch
from hollycart.gateway import _waiting
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

_CONNECT_TIMEOUT_MS = 250.0  # far above a round trip, below the shortest target
# Rejections by endpoints after which a request is given up.
_MAX_REJECTIONS = 3
# Wait before memory is asked for again; passes end more often than that.
_MEMORY_WAIT_MS = 100.0


class Forwarder:
    """Answers the exchanges of the front server.

    Args:
        codec: Translates the platform's messages.
        platform_state: Configuration and endpoints.
        peers: Shares the work with other instances.
        placer: Chooses endpoints for prompts.
        health: Outcomes by endpoint.
        budget: Budget of repeated attempts.
        log: Receives the decisions.
        metrics: Receives counts and times.
        clock: Source of time.
        zone: Availability zone of this instance.
        stall_ms: Time for which an engine waits for a lost one, in ms.
        hold_max_ms: Longest reservation of memory, in ms.
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
        zone: str,
        stall_ms: float,
        hold_max_ms: float,
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
        self.pool = connections.ConnectionPool(clock)
        self.reserver = _reserver.Reserver(codec, clock, hold_max_ms)
        self.waiting = _waiting.WaitingAttempts()
        self.monitor = _monitor.EndpointMonitor(
            platform_state,
            health,
            clock,
            log,
            self.waiting.end,
            peers.broadcast_suspect,
        )
        self.admission = _admission.Admission(platform_state, clock)
        self.chooser = _chooser.EndpointChooser(
            platform_state, placer, health, zone
        )
        self._relay = _attempt.AttemptRelay(
            codec, self.monitor, self.waiting, log, clock, stall_ms
        )
        self._ids = itertools.count()

    def start(self) -> None:
        """Starts the checks of endpoints."""
        self.monitor.start()

    def close(self) -> None:
        """Stops the checks and closes idle connections."""
        self.monitor.close()
        self.pool.close()

    def handle(self, exchange: connections.Exchange) -> None:
        """Answers one request."""
        request_id = ""
        progress = _job.Progress("")
        try:
            meta = self.codec.decode_request(exchange.head)
            request_id = meta.request_id
            progress = _job.Progress(meta.last_event_id)
            job = self.admission.admit(exchange, meta)
            self._run(job, progress)
            self._note_answer(job, progress)
        except connections.CallerGoneError:
            total_ms = self.clock.now_ms() - exchange.received_ms
            self.metrics.count("caller_left")
            self.log.write(
                observe.decisions.CallerLeft(request_id, round(total_ms, 1))
            )
            raise
        except base.HollycartError as exc:
            self._fail(exchange, request_id, progress, exc)
        except Exception as exc:
            logging.exception("fault in request %s", request_id)
            failure = base.HollycartError(f"{type(exc).__name__}: {exc}")
            self._fail(exchange, request_id, progress, failure)

    def _watch(
        self,
        job: _job.Job,
        progress: _job.Progress,
        chosen: placement.Placement,
    ) -> _stream_watch.StreamWatch:
        """Returns what notes the events of an attempt that is sent now."""
        sent_ms = self.clock.now_ms()

        def on_first(now_ms: float) -> None:
            self._note_first_event(job, chosen, now_ms, sent_ms)

        def on_pause(pause_ms: float, now_ms: float) -> None:
            self.chooser.record_gap(job, chosen.endpoint.id, pause_ms, now_ms)

        return _stream_watch.StreamWatch(
            self.clock, progress, on_first, on_pause
        )

    def _note_first_event(
        self,
        job: _job.Job,
        chosen: placement.Placement,
        now_ms: float,
        sent_ms: float,
    ) -> None:
        if chosen.assignments:
            self.waiting.keep_writer(
                chosen.assignments[0].attempt, chosen.assignments
            )
            self.peers.start_decoding(chosen.assignments[0].attempt)
        total_ms = now_ms - job.exchange.received_ms
        team = job.team.name if job.team else ""
        self.metrics.record("first_event", team, job.route.name, total_ms)
        self.log.write(
            observe.decisions.FirstEvent(
                job.meta.request_id,
                chosen.endpoint.id,
                round(chosen.first_event_ms, 1),
                round(now_ms - sent_ms, 1),
                round(total_ms, 1),
            )
        )

    def _run(self, job: _job.Job, progress: _job.Progress) -> None:
        self.budget.record_request(job.service.name, self.clock.now_ms())
        while True:
            try:
                self._attempt(job, progress)
                return
            except connections.CallerGoneError:
                raise
            except _failures.MemoryUnavailableError as exc:
                if not self._may_wait(job):
                    raise _final(exc, progress) from exc
                self.clock.sleep_ms(_MEMORY_WAIT_MS)
            except (
                base.NotExecutedError,
                base.EndpointUnreachableError,
            ) as exc:
                progress.rejections += 1
                if not self._may_repeat(job, progress, exc):
                    raise _final(exc, progress) from exc
            except (
                base.NoEndpointError,
                base.OverloadedError,
                base.StaleConfigError,
                base.UnauthorizedError,
            ) as exc:
                raise _final(exc, progress) from exc
            except base.EndpointFailedError as exc:
                progress.may_have_run = True
                if (
                    not job.route.repeatable
                    or progress.runs >= job.route.max_attempts
                    or not self._may_repeat(job, progress, exc)
                ):
                    raise

    def _may_wait(self, job: _job.Job) -> bool:
        """Returns whether a prompt may still wait for memory.

        Longer than its target it is not kept: the caller does better to come
        back than to wait for what others hold.
        """
        waited_ms = self.clock.now_ms() - job.exchange.received_ms
        left_ms = job.deadline_ms - self.clock.now_ms()
        return waited_ms < job.route.target_ms and left_ms > _MEMORY_WAIT_MS

    def _may_repeat(
        self,
        job: _job.Job,
        progress: _job.Progress,
        exc: base.HollycartError,
    ) -> bool:
        now_ms = self.clock.now_ms()
        if progress.rejections > _MAX_REJECTIONS:
            return False
        if job.deadline_ms - now_ms < _attempt.MIN_LEFT_MS:
            return False
        # The configuration may have changed meanwhile.
        cfg = self.platform_state.config
        assert cfg is not None
        if cfg.find_route(job.meta.host, job.meta.path) is None:
            return False
        service, instances = job.service.name, len(self.peers.live()) + 1
        if not self.budget.take(service, now_ms, instances):
            self.metrics.count("retry_budget_empty")
            return False
        self.metrics.count(f"repeated.{exc.code}")
        self.log.write(
            observe.decisions.Repeated(
                job.meta.request_id,
                exc.code,
                exc.detail,
                progress.runs,
                progress.rejections,
                round(self.budget.left(service, now_ms, instances), 1),
                progress.events.last_id,
            )
        )
        return True

    def _attempt(self, job: _job.Job, progress: _job.Progress) -> None:
        now_ms = self.clock.now_ms()
        if job.deadline_ms - now_ms < _attempt.MIN_LEFT_MS:
            raise base.DeadlineExceededError("no time left")
        ticket = f"{self.peers.incarnation:x}.{next(self._ids)}"
        chosen = self.chooser.choose(job, progress, ticket, now_ms)
        self._note_placement(job, chosen, ticket, now_ms)
        endpoint = chosen.endpoint
        if chosen.assignments:
            self.peers.add(chosen.assignments)
        self.chooser.running[endpoint.id] += 1
        conn: connections.ClientConnection | None = None
        try:
            if chosen.send_delay_ms:
                self.clock.sleep_ms(chosen.send_delay_ms)
            if chosen.reservations:
                self.reserver.reserve(ticket, chosen.reservations)
            conn = self._connect(endpoint, job)
            self.admission.check_before_send(job, endpoint)
            watch = self._watch(job, progress, chosen)
            self._relay.run(job, progress, chosen, conn, ticket, watch)
            self.health.record_success(endpoint.id)
        except base.HollycartError as exc:
            self._blame(progress, chosen, exc)
            raise
        finally:
            self.waiting.remove(ticket)
            if conn is not None:
                self.pool.release_connection(conn)
            self.chooser.running[endpoint.id] -= 1
            if chosen.reservations:
                self.reserver.release(ticket, chosen.reservations)
            if chosen.assignments:
                self.peers.remove(ticket)

    def _connect(
        self, endpoint: placement.Endpoint, job: _job.Job
    ) -> connections.ClientConnection:
        left_ms = job.deadline_ms - self.clock.now_ms()
        return self.pool.acquire(
            endpoint.address,
            min(_CONNECT_TIMEOUT_MS, left_ms),
            new_only=not job.route.repeatable,
        )

    def _blame(
        self,
        progress: _job.Progress,
        chosen: placement.Placement,
        exc: base.HollycartError,
    ) -> None:
        """Notes which endpoint is to blame for an attempt that failed."""
        endpoint_id = chosen.endpoint.id
        now_ms = self.clock.now_ms()
        if isinstance(exc, _failures.HelperRejectedError):
            progress.excluded.add(exc.endpoint_id)
            self.monitor.schedule_probe(exc.endpoint_id)
        elif isinstance(exc, base.EndpointUnreachableError):
            progress.excluded.add(endpoint_id)
            self.monitor.condemn(endpoint_id)
        elif isinstance(exc, base.SilentEndpointError):
            progress.excluded.add(endpoint_id)
            self.health.record_timeout(endpoint_id, now_ms)
            for assignment in chosen.assignments:
                self.monitor.schedule_probe(assignment.endpoint)
        elif isinstance(exc, _failures.EndpointLostError):
            return
        elif isinstance(exc, base.EndpointFailedError):
            progress.excluded.add(endpoint_id)
            self.health.record_failure(endpoint_id, now_ms)
            self.monitor.schedule_probe(endpoint_id)
        elif isinstance(exc, base.NotExecutedError) and not isinstance(
            exc, _failures.MemoryUnavailableError
        ):
            progress.excluded.add(endpoint_id)

    def _note_placement(
        self,
        job: _job.Job,
        chosen: placement.Placement,
        ticket: str,
        now_ms: float,
    ) -> None:
        cfg = self.platform_state.config
        self.log.write(
            observe.decisions.Placed(
                job.meta.request_id,
                ticket,
                chosen.endpoint.id,
                tuple(h.id for h in chosen.helpers),
                job.meta.prompt_tokens,
                round(chosen.first_event_ms, 1),
                round(chosen.cost, 3),
                cfg.version if cfg else 0,
                round(self.platform_state.freshness.age_ms(now_ms), 1),
                sum(r.tokens for r in chosen.reservations),
            )
        )

    def _note_answer(self, job: _job.Job, progress: _job.Progress) -> None:
        total_ms = self.clock.now_ms() - job.exchange.received_ms
        team = job.team.name if job.team else ""
        self.metrics.count(f"answered.{progress.status}")
        self.metrics.record("answer", team, job.route.name, total_ms)
        self.log.write(
            observe.decisions.Answered(
                job.meta.request_id,
                progress.status,
                progress.answered_by,
                progress.runs,
                progress.events.count,
                round(progress.longest_pause_ms, 1),
                round(total_ms, 1),
            )
        )

    def _fail(
        self,
        exchange: connections.Exchange,
        request_id: str,
        progress: _job.Progress,
        exc: base.HollycartError,
    ) -> None:
        now_ms = self.clock.now_ms()
        cfg = self.platform_state.config
        age_ms = self.platform_state.freshness.age_ms(now_ms)
        status = 0 if exchange.response_started else exc.http_status
        self.metrics.count(f"failed.{exc.code}")
        self.log.write(
            observe.decisions.Failed(
                request_id,
                status,
                exc.code,
                exc.detail,
                progress.runs,
                exc.retry_after_ms,
                cfg.version if cfg else 0,
                round(age_ms, 1) if cfg else None,
                round(now_ms - exchange.received_ms, 1),
            )
        )
        if exchange.response_started:
            exchange.abort()
            return
        headers = self.codec.encode_failure(request_id, exc.retry_after_ms)
        exchange.respond(status, headers, b"")


def _final(
    exc: base.HollycartError, progress: _job.Progress
) -> base.HollycartError:
    """Returns the failure that a request ends with after its last attempt.

    "Not run" is only said if no attempt can have run.
    """
    if progress.may_have_run:
        return base.EndpointFailedError(f"an attempt failed, then {exc.detail}")
    if isinstance(exc, base.EndpointUnreachableError):
        return base.NoEndpointError(exc.detail, _failures.RETRY_AFTER_MS)
    return exc
