"""Records what becomes of requests in the decision log and the metrics."""

from hollycart import observe
from hollycart.gateway import _job
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement


class OutcomeRecorder:
    """Writes placements, first events, responses and failures of requests.

    Args:
        platform_state: Configuration in force, whose version is written.
        log: Decision log.
        metrics: Receives counts and times.
        clock: Source of time.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
    ) -> None:
        self.platform_state = platform_state
        self.log = log
        self.metrics = metrics
        self.clock = clock

    def record_placement(
        self,
        request: _job.AdmittedRequest,
        chosen: placement.Placement,
        attempt_id: str,
        now_ms: float,
    ) -> None:
        """Records the placement of an attempt."""
        cfg = self.platform_state.config
        self.log.write(
            observe.decisions.Placed(
                request.meta.request_id,
                attempt_id,
                chosen.endpoint.id,
                tuple(h.id for h in chosen.helpers),
                request.meta.prompt_tokens,
                round(chosen.first_event_ms, 1),
                round(chosen.predicted_loss, 3),
                cfg.version if cfg else 0,
                round(self.platform_state.freshness.age_ms(now_ms), 1),
                sum(r.tokens for r in chosen.reservations),
                request.traits,
            )
        )

    def record_first_event(
        self,
        request: _job.AdmittedRequest,
        chosen: placement.Placement,
        now_ms: float,
        sent_ms: float,
    ) -> None:
        """Records the first event of an attempt."""
        total_ms = now_ms - request.exchange.received_ms
        team = request.team.name if request.team else ""
        self.metrics.record("first_event", team, request.route.name, total_ms)
        self.log.write(
            observe.decisions.FirstEvent(
                request.meta.request_id,
                chosen.endpoint.id,
                round(chosen.first_event_ms, 1),
                round(now_ms - sent_ms, 1),
                round(total_ms, 1),
            )
        )

    def record_response(
        self, request: _job.AdmittedRequest, progress: _job.Progress
    ) -> None:
        """Records that a request was answered."""
        total_ms = self.clock.now_ms() - request.exchange.received_ms
        team = request.team.name if request.team else ""
        self.metrics.count(f"answered.{progress.status}")
        self.metrics.count(f"answered_framing.{progress.framing}")
        self.metrics.record("answer", team, request.route.name, total_ms)
        self.log.write(
            observe.decisions.Answered(
                request.meta.request_id,
                progress.status,
                progress.responded_by,
                progress.possible_executions,
                progress.events.count,
                round(progress.longest_gap_ms, 1),
                round(total_ms, 1),
                progress.framing,
                progress.trailing_bytes,
            )
        )

    def record_caller_left(
        self, exchange: connections.Exchange, request_id: str
    ) -> None:
        """Records that a caller disconnected before its response ended."""
        total_ms = self.clock.now_ms() - exchange.received_ms
        self.metrics.count("caller_left")
        self.log.write(
            observe.decisions.CallerLeft(request_id, round(total_ms, 1))
        )

    def record_failure(
        self,
        exchange: connections.Exchange,
        request_id: str,
        progress: _job.Progress,
        exc: base.HollycartError,
    ) -> None:
        """Records that a request failed."""
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
                progress.possible_executions,
                exc.retry_after_ms,
                cfg.version if cfg else 0,
                round(age_ms, 1) if cfg else None,
                round(now_ms - exchange.received_ms, 1),
            )
        )

    def record_shed(
        self,
        request_id: str,
        progress: _job.Progress,
        exc: connections.ResponseShedError,
    ) -> None:
        """Records that a response was given up to free memory."""
        self.metrics.count("response_shed")
        self.log.write(
            observe.decisions.ResponseShed(
                request_id,
                progress.responded_by,
                exc.account_bytes,
                exc.held_bytes,
                round(exc.held_ms, 1),
                progress.status != 0,
            )
        )
