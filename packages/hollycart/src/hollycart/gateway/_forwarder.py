"""Forwards one request: admits, places, sends, repeats, answers."""

import itertools
from typing import Any
from typing import NamedTuple

from absl import logging
import eventlet
from eventlet import greenthread
import xxhash

from hollycart.gateway import _codec
from hollycart.gateway import _events
from hollycart.gateway import _monitor
from hollycart.gateway import _peers
from hollycart.gateway import _reserver
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement
from hollycart_core import routing

_CONNECT_TIMEOUT_MS = 250.0  # far above a round trip, below the shortest target
_SEND_TIMEOUT_MS = 2000.0
_MAX_BODY_BYTES = 8 << 20  # answers that are not streams
_MIN_LEFT_MS = 20.0  # with less time left nothing is sent
# Rejections by endpoints after which a request is given up.
_MAX_REJECTIONS = 3
# Silence before the first event after which all endpoints of an attempt are
# checked: this many times the prediction, and a time for its error, in ms.
_CHECK_FACTOR = 1.3
_CHECK_MARGIN_MS = 150.0
# Silence before the first event after which an endpoint is given up although
# it accepts connections; earlier would repeat work that only is late.
_FIRST_EVENT_FACTOR = 4.0
# Silence between events after which an endpoint is taken as lost, in pauses
# that the caller accepts, and the shortest, in ms.
_PAUSE_FACTOR = 3.0
_MIN_SILENCE_MS = 700.0
# Part of a request's time after which an idempotent one is tried elsewhere.
_HEDGE_SHARE = 0.55
_RETRY_AFTER_MS = 250.0  # a rejected request may come back after this time
_WAIT_DEFAULT_MS = 30000.0  # for callers that name no time
# Wait before memory is asked for again; passes end more often than that.
_MEMORY_WAIT_MS = 100.0
_FOREIGN_ANSWERS = 3  # answers to other requests that are skipped


class _Job(NamedTuple):
    """One admitted request."""

    exchange: connections.Exchange
    meta: _codec.RequestMeta
    route: routing.Route
    service: routing.Service
    team: routing.Team | None
    deadline_ms: float


class EndpointLostError(base.EndpointFailedError):
    """An endpoint that an attempt depends on was found to be gone."""

    code = "endpoint_lost"


class HelperRejectedError(base.NotExecutedError):
    """A request was rejected because of an endpoint that should help.

    Args:
        detail: What happened, for a person.
        endpoint_id: The endpoint at fault.
    """

    code = "helper_rejected"

    def __init__(self, detail: str, endpoint_id: str) -> None:
        super().__init__(detail, _RETRY_AFTER_MS)
        self.endpoint_id = endpoint_id


class _Waiting(NamedTuple):
    """An attempt that has no event yet and can be repeated."""

    thread: Any
    endpoints: frozenset[str]


class _Progress:
    """What has happened to a request so far."""

    def __init__(self, last_event_id: str) -> None:
        self.runs = 0
        self.rejections = 0
        self.may_have_run = False
        self.begun = False
        self.events = _events.EventBuffer()
        self.events.last_id = last_event_id
        self.excluded: set[str] = set()


def _fraction(request_id: str) -> float:
    """Returns a number in [0, 1) that is the same for a request everywhere."""
    return float(xxhash.xxh32_intdigest(request_id.encode())) / 2.0**32


def _final(
    exc: base.HollycartError, progress: _Progress
) -> base.HollycartError:
    """Returns the failure that a request ends with after its last attempt.

    "Not run" is only said if no attempt can have run.
    """
    if progress.may_have_run:
        return base.EndpointFailedError(f"an attempt failed, then {exc.detail}")
    if isinstance(exc, base.EndpointUnreachableError):
        return base.NoEndpointError(exc.detail, _RETRY_AFTER_MS)
    return exc


def _helper_addresses(chosen: placement.Placement) -> tuple[str, ...]:
    """Returns helpers with their tickets, the writing endpoint first."""
    ticket = chosen.works[0].attempt if chosen.works else ""
    reserved = {r.endpoint.id for r in chosen.reservations}
    listed = [
        f"{h.address}/{ticket}" if h.id in reserved else h.address
        for h in chosen.helpers
    ]
    if chosen.endpoint.id in reserved:
        listed.insert(0, f"{chosen.endpoint.address}/{ticket}")
    return tuple(listed)


class Forwarder:
    """Answers the exchanges of the front server.

    Args:
        codec: Translates the platform's messages.
        knowledge: Configuration and endpoints.
        peers: Shares the work with other instances.
        placer: Chooses endpoints for prompts.
        health: Outcomes by endpoint.
        budget: Budget of repeated attempts.
        clock: Source of time.
        zone: Availability zone of this instance.
    """

    def __init__(
        self,
        codec: _codec.RequestCodec,
        knowledge: _state.Knowledge,
        peers: _peers.PeerExchange,
        placer: placement.Placer,
        health: placement.EndpointHealth,
        budget: placement.SharedRetryBudget,
        clock: base.Clock,
        zone: str,
        stall_ms: float,
    ) -> None:
        self.codec = codec
        self.knowledge = knowledge
        self.peers = peers
        self.placer = placer
        self.health = health
        self.budget = budget
        self.clock = clock
        self.zone = zone
        self.stall_ms = stall_ms
        self.pool = connections.ConnectionPool(clock)
        self.reserver = _reserver.Reserver(codec, clock)
        self.monitor = _monitor.EndpointMonitor(
            knowledge, health, clock, self._on_lost, peers.tell_suspect
        )
        self._waiting: dict[str, _Waiting] = {}
        self._ids = itertools.count()
        self._running: dict[str, int] = {}
        self._models: dict[
            routing.EngineParameters, placement.EngineModel
        ] = {}

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
        try:
            meta = self.codec.decode_request(exchange.head)
            request_id = meta.request_id
            job = self._admit(exchange, meta)
            self._run(job)
        except connections.CallerGoneError:
            raise
        except base.HollycartError as exc:
            self._fail(exchange, request_id, exc)
        except Exception as exc:
            logging.exception("fault in request %s", request_id)
            self._fail(exchange, request_id, base.HollycartError(str(exc)))

    def _admit(
        self, exchange: connections.Exchange, meta: _codec.RequestMeta
    ) -> _Job:
        cfg = self.knowledge.config
        if cfg is None:
            raise base.StaleConfigError(
                "no configuration yet", _RETRY_AFTER_MS
            )
        route = cfg.find_route(meta.host, meta.path)
        if route is None:
            raise base.NotFoundError(f"no route for {meta.host}{meta.path}")
        team = self._authorize(cfg, route, meta)
        fraction = _fraction(meta.request_id)
        service = cfg.services.get(cfg.choose_service(route, fraction))
        if service is None:
            raise base.NoEndpointError("service is not configured")
        wait_ms = _WAIT_DEFAULT_MS if meta.wait_ms is None else meta.wait_ms
        deadline_ms = exchange.received_ms + min(wait_ms, route.timeout_ms)
        return _Job(exchange, meta, route, service, team, deadline_ms)

    def _authorize(
        self,
        cfg: routing.RoutingConfig,
        route: routing.Route,
        meta: _codec.RequestMeta,
    ) -> routing.Team | None:
        if not cfg.teams or route.public:
            return None
        if not self.knowledge.freshness.holds(self.clock.now_ms()):
            raise base.StaleConfigError(
                "keys are not proven to be in force", _RETRY_AFTER_MS
            )
        team = cfg.find_team(meta.api_key)
        if team is None:
            raise base.UnauthorizedError("unknown API key")
        return team

    def _run(self, job: _Job) -> None:
        self.budget.note_request(job.service.name, self.clock.now_ms())
        progress = _Progress(job.meta.last_event_id)
        while True:
            try:
                self._attempt(job, progress)
                return
            except connections.CallerGoneError:
                raise
            except _reserver.MemoryUnavailableError as exc:
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
            except (base.NoEndpointError, base.OverloadedError) as exc:
                raise _final(exc, progress) from exc
            except base.EndpointFailedError as exc:
                progress.may_have_run = True
                if (
                    not job.route.repeatable
                    or progress.runs >= job.route.max_attempts
                    or not self._may_repeat(job, progress, exc)
                ):
                    raise

    def _may_wait(self, job: _Job) -> bool:
        """Returns whether a prompt may still wait for memory.

        Longer than its target it is not kept: the caller does better to come
        back than to wait for what others hold.
        """
        waited_ms = self.clock.now_ms() - job.exchange.received_ms
        left_ms = job.deadline_ms - self.clock.now_ms()
        return waited_ms < job.route.target_ms and left_ms > _MEMORY_WAIT_MS

    def _may_repeat(
        self, job: _Job, progress: _Progress, exc: base.HollycartError
    ) -> bool:
        now_ms = self.clock.now_ms()
        if progress.rejections > _MAX_REJECTIONS:
            return False
        if job.deadline_ms - now_ms < _MIN_LEFT_MS:
            return False
        # The configuration may have changed meanwhile.
        cfg = self.knowledge.config
        assert cfg is not None
        if cfg.find_route(job.meta.host, job.meta.path) is None:
            return False
        instances = len(self.peers.live()) + 1
        if not self.budget.take(job.service.name, now_ms, instances):
            return False
        logging.info(
            "attempt repeated: request=%s reason=%s detail=%s",
            job.meta.request_id,
            exc.code,
            exc.detail,
        )
        return True

    def _attempt(self, job: _Job, progress: _Progress) -> None:
        now_ms = self.clock.now_ms()
        if job.deadline_ms - now_ms < _MIN_LEFT_MS:
            raise base.DeadlineExceededError("no time left")
        attempt = f"{self.peers.boot:x}.{next(self._ids)}"
        chosen = self._place(job, progress, attempt, now_ms)
        endpoint = chosen.endpoint
        if chosen.works:
            self.peers.add(chosen.works)
        self._running[endpoint.id] = self._running.get(endpoint.id, 0) + 1
        conn: connections.ClientConnection | None = None
        try:
            if chosen.reservations:
                self.reserver.reserve(attempt, chosen.reservations)
            conn = self._connect(endpoint, job)
            self._check_admitted(job, endpoint)
            head = self._encode(job, chosen, progress)
            progress.runs += 1
            sent_ms = self.clock.now_ms()
            conn.send(head, job.exchange.body, _SEND_TIMEOUT_MS)
            self._wait_for_event(job, chosen, attempt)
            self._relay(job, progress, chosen, conn, head, sent_ms)
            self.health.note_success(endpoint.id)
            self.pool.give_back(conn)
            conn = None
        except base.HollycartError as exc:
            self._note_failure(progress, chosen, exc)
            raise
        finally:
            self._waiting.pop(attempt, None)
            if conn is not None:
                conn.close()
            self._running[endpoint.id] -= 1
            if not self._running[endpoint.id]:
                del self._running[endpoint.id]
            if chosen.reservations:
                self.reserver.release(attempt, chosen.reservations)
            if chosen.works:
                self.peers.remove(attempt)

    def _wait_for_event(
        self, job: _Job, chosen: placement.Placement, attempt: str
    ) -> None:
        if job.route.repeatable and chosen.works:
            self._waiting[attempt] = _Waiting(
                eventlet.getcurrent(),
                frozenset(w.endpoint for w in chosen.works),
            )

    def _on_lost(self, endpoint_id: str) -> None:
        """Ends attempts that would only wait for a lost endpoint."""
        for attempt, waiting in list(self._waiting.items()):
            if endpoint_id in waiting.endpoints:
                self._waiting.pop(attempt, None)
                eventlet.spawn_n(
                    greenthread.kill,
                    waiting.thread,
                    EndpointLostError(f"{endpoint_id} is gone"),
                )

    def _note_failure(
        self,
        progress: _Progress,
        chosen: placement.Placement,
        exc: base.HollycartError,
    ) -> None:
        """Notes who is to blame for an attempt that failed."""
        endpoint_id = chosen.endpoint.id
        now_ms = self.clock.now_ms()
        if isinstance(exc, EndpointLostError | connections.CallerGoneError):
            return
        if isinstance(exc, HelperRejectedError):
            progress.excluded.add(exc.endpoint_id)
            self.monitor.suspect(exc.endpoint_id)
        elif isinstance(exc, base.EndpointUnreachableError):
            progress.excluded.add(endpoint_id)
            self.monitor.condemn(endpoint_id)
        elif isinstance(exc, base.SilentEndpointError):
            progress.excluded.add(endpoint_id)
            self.health.note_silent(endpoint_id, now_ms)
            for work in chosen.works:
                self.monitor.suspect(work.endpoint)
        elif isinstance(exc, base.EndpointFailedError):
            progress.excluded.add(endpoint_id)
            self.health.note_failure(endpoint_id, now_ms)
            self.monitor.suspect(endpoint_id)
        elif isinstance(exc, base.NotExecutedError) and not isinstance(
            exc, _reserver.MemoryUnavailableError
        ):
            progress.excluded.add(endpoint_id)

    def _connect(
        self, endpoint: placement.Endpoint, job: _Job
    ) -> connections.ClientConnection:
        left_ms = job.deadline_ms - self.clock.now_ms()
        return self.pool.take(
            endpoint.address,
            min(_CONNECT_TIMEOUT_MS, left_ms),
            fresh=not job.route.repeatable,
        )

    def _check_admitted(
        self, job: _Job, endpoint: placement.Endpoint
    ) -> None:
        """Checks again just before the send what may have changed."""
        cfg = self.knowledge.config
        assert cfg is not None
        if job.team is not None:
            self._authorize(cfg, job.route, job.meta)
        known = self.knowledge.endpoints.get(endpoint.id)
        if known is None or known.leaving:
            raise base.NotExecutedError("endpoint is leaving")

    def _place(
        self, job: _Job, progress: _Progress, attempt: str, now_ms: float
    ) -> placement.Placement:
        usable = [
            e
            for e in self.knowledge.endpoints.values()
            if e.service == job.service.name
            and not e.leaving
            and e.id not in progress.excluded
        ]
        if not usable:
            raise base.NoEndpointError(
                f"no endpoint of {job.service.name}", _RETRY_AFTER_MS
            )
        healthy = [e for e in usable if self.health.usable(e.id, now_ms)]
        candidates = healthy or usable
        if job.service.engine is None or not job.meta.prompt_tokens:
            endpoint = placement.least_busy(
                candidates, self._running, self.zone
            )
            assert endpoint is not None
            return placement.Placement(endpoint, (), (), 0.0, 0.0)
        model = self._model(job.service.engine)
        spent_ms = now_ms - job.exchange.received_ms
        prompt = placement.Prompt(
            attempt,
            job.meta.prompt_tokens,
            job.meta.output_tokens,
            job.route.target_ms - spent_ms,
            job.deadline_ms - now_ms,
            job.route.max_pause_ms,
            self.zone,
        )
        chosen = self.placer.choose(prompt, model, candidates, now_ms)
        if chosen is None:
            raise _reserver.MemoryUnavailableError(
                "no memory free", _RETRY_AFTER_MS
            )
        logging.info(
            "placed: request=%s tokens=%d at=%s helpers=%d first=%.0f"
            " cost=%.2f",
            job.meta.request_id,
            prompt.tokens,
            chosen.endpoint.id,
            len(chosen.helpers),
            chosen.first_event_ms,
            chosen.cost,
        )
        return chosen

    def _model(
        self, parameters: routing.EngineParameters
    ) -> placement.EngineModel:
        model = self._models.get(parameters)
        if model is None:
            model = placement.EngineModel(parameters)
            self._models[parameters] = model
        return model

    def _encode(
        self,
        job: _Job,
        chosen: placement.Placement,
        progress: _Progress,
    ) -> connections.RequestHead:
        return self.codec.encode_attempt(
            job.exchange.head,
            _codec.AttemptMeta(
                chosen.endpoint.id,
                job.deadline_ms - self.clock.now_ms(),
                job.team.name if job.team else "",
                None,
                _helper_addresses(chosen),
                progress.events.last_id,
            ),
        )

    def _relay(
        self,
        job: _Job,
        progress: _Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        sent: connections.RequestHead,
        sent_ms: float,
    ) -> None:
        head, answer = self._read_answer(job, chosen, conn, sent)
        if answer.not_executed:
            progress.runs -= 1
            conn.read_body(_SEND_TIMEOUT_MS, _MAX_BODY_BYTES)
            self.pool.give_back(conn)
            raise self._rejection(chosen, head, answer)
        success = 200 <= head.status < 300
        if success and not answer.sealed:
            raise base.EndpointFailedError("answer is not sealed")
        if success and job.route.kind is routing.RouteKind.STREAMING:
            self._relay_stream(job, progress, chosen, conn, head, sent_ms)
            return
        left_ms = job.deadline_ms - self.clock.now_ms()
        body = conn.read_body(left_ms, _MAX_BODY_BYTES)
        if not success and self._worth_repeating(job, progress, head):
            raise base.EndpointFailedError(
                f"{chosen.endpoint.id} answered {head.status}"
            )
        if progress.begun:
            raise base.EndpointFailedError("stream was not resumed")
        job.exchange.respond(
            head.status, connections.end_to_end_headers(head.headers), body
        )

    def _rejection(
        self,
        chosen: placement.Placement,
        head: connections.ResponseHead,
        answer: _codec.AnswerMeta,
    ) -> base.NotExecutedError:
        detail = f"{chosen.endpoint.id} answered {head.status}"
        for helper in chosen.helpers:
            if answer.at_fault in (helper.id, helper.address):
                return HelperRejectedError(
                    f"{detail} because of {helper.id}", helper.id
                )
        return base.NotExecutedError(
            detail, answer.retry_after_ms or _RETRY_AFTER_MS
        )

    def _worth_repeating(
        self, job: _Job, progress: _Progress, head: connections.ResponseHead
    ) -> bool:
        return (
            head.status >= 500
            and job.route.repeatable
            and progress.runs < job.route.max_attempts
            and job.deadline_ms - self.clock.now_ms() > _MIN_LEFT_MS
        )

    def _read_answer(
        self,
        job: _Job,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        sent: connections.RequestHead,
    ) -> tuple[connections.ResponseHead, _codec.AnswerMeta]:
        for _ in range(_FOREIGN_ANSWERS):
            head = self._read_head(job, chosen, conn)
            answer = self.codec.decode_answer(head)
            if answer.request_id == job.meta.request_id:
                return head, answer
            if answer.not_executed and not answer.request_id:
                return head, answer
            logging.info(
                "foreign answer: request=%s endpoint=%s answered=%s",
                job.meta.request_id,
                chosen.endpoint.id,
                answer.request_id,
            )
            conn.skip_foreign_answer(sent)
        raise base.EndpointFailedError("answers to other requests only")

    def _read_head(
        self,
        job: _Job,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
    ) -> connections.ResponseHead:
        """Waits for the head; checks the endpoints if it is late."""
        patience_ms = self._patience_ms(job, chosen)
        check_ms = _CHECK_FACTOR * chosen.first_event_ms + _CHECK_MARGIN_MS
        if not chosen.works or check_ms >= patience_ms:
            return conn.read_head(patience_ms)
        try:
            return conn.read_head(check_ms)
        except base.SilentEndpointError:
            for work in chosen.works:
                self.monitor.suspect(work.endpoint)
        return conn.read_head(patience_ms - check_ms)

    def _patience_ms(self, job: _Job, chosen: placement.Placement) -> float:
        left_ms = job.deadline_ms - self.clock.now_ms()
        if not job.route.repeatable:
            return left_ms
        if chosen.works:
            patience_ms = max(
                self.stall_ms, _FIRST_EVENT_FACTOR * chosen.first_event_ms
            )
        else:
            patience_ms = _HEDGE_SHARE * job.route.timeout_ms
        return min(left_ms, patience_ms)

    def _relay_stream(
        self,
        job: _Job,
        progress: _Progress,
        chosen: placement.Placement,
        conn: connections.ClientConnection,
        head: connections.ResponseHead,
        sent_ms: float,
    ) -> None:
        events = progress.events
        events.drop_partial()
        seen = False
        event_ms = 0.0
        while True:
            wait_ms = job.deadline_ms - self.clock.now_ms()
            if job.route.repeatable:
                wait_ms = min(wait_ms, self._silence_ms(job, chosen, seen))
            data = conn.read_data(wait_ms)
            if data is None:
                break
            whole = events.push(data)
            if events.overflowing:
                raise base.EndpointFailedError("event too long")
            if not whole:
                continue
            now_ms = self.clock.now_ms()
            if not seen:
                seen = True
                self._note_first_event(job, chosen, sent_ms)
            elif chosen.works:
                self._note_pace(job, chosen, now_ms - event_ms, now_ms)
            event_ms = now_ms
            self._begin(job, progress, head)
            job.exchange.write(whole)
        rest = events.take_rest()
        self._begin(job, progress, head)
        if rest:
            job.exchange.write(rest)
        job.exchange.finish()

    def _silence_ms(
        self, job: _Job, chosen: placement.Placement, seen: bool
    ) -> float:
        if not seen:
            return self._patience_ms(job, chosen)
        return max(_MIN_SILENCE_MS, _PAUSE_FACTOR * job.route.max_pause_ms)

    def _note_first_event(
        self, job: _Job, chosen: placement.Placement, sent_ms: float
    ) -> None:
        if chosen.works:
            self._waiting.pop(chosen.works[0].attempt, None)
            self.peers.start_writing(chosen.works[0].attempt)
        logging.info(
            "first event: request=%s predicted=%.0f seen=%.0f total=%.0f",
            job.meta.request_id,
            chosen.first_event_ms,
            self.clock.now_ms() - sent_ms,
            self.clock.now_ms() - job.exchange.received_ms,
        )

    def _note_pace(
        self,
        job: _Job,
        chosen: placement.Placement,
        gap_ms: float,
        now_ms: float,
    ) -> None:
        assert job.service.engine is not None
        expected_ms = self.placer.idle_pass_ms(
            chosen.endpoint.id, self._model(job.service.engine)
        )
        if expected_ms:
            ratio = gap_ms / expected_ms
            self.health.note_pace(chosen.endpoint.id, ratio, now_ms)

    def _begin(
        self, job: _Job, progress: _Progress, head: connections.ResponseHead
    ) -> None:
        if not progress.begun:
            progress.begun = True
            job.exchange.start(
                head.status,
                connections.end_to_end_headers(head.headers),
                None,
            )

    def _fail(
        self,
        exchange: connections.Exchange,
        request_id: str,
        exc: base.HollycartError,
    ) -> None:
        status = exc.http_status
        logging.info(
            "failed: request=%s status=%d reason=%s detail=%s",
            request_id,
            status,
            exc.code,
            exc.detail,
        )
        if exchange.answered:
            exchange.abort()
            return
        headers = self.codec.encode_failure(request_id, exc.retry_after_ms)
        exchange.respond(status, headers, b"")
