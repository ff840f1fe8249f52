"""Decides whether a request is tried again after a failed attempt."""

from hollycart import observe
from hollycart.gateway import _attempt
from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _peers
from hollycart.gateway import _settings
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement

# A request that endpoints reject more often than this fails.
_MAX_REJECTIONS = 3
# The same for refused connections where the loss of an availability zone must
# be borne: all endpoints of a zone refuse at once, until one after the other is
# known to be unreachable. Nothing is sent to them.
_MAX_UNREACHABLE = 24
# Delay before a prompt is placed again when KV-cache memory was not available.
# Batch steps, after which memory may become free, end more often than this.
MEMORY_RETRY_INTERVAL_MS = 100.0


class RetryControl:
    """Admits retries within the retry budget.

    Args:
        platform_state: Configuration in force.
        peers: Counts the instances that share the budget.
        budget: Budget of retries.
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time.
        policy: What the deployment asks of policies under load.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        peers: _peers.PeerExchange,
        budget: placement.SharedRetryBudget,
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
        policy: _settings.PolicySettings,
    ) -> None:
        self.platform_state = platform_state
        self.peers = peers
        self.budget = budget
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.policy = policy

    def may_wait_for_memory(self, request: _job.AdmittedRequest) -> bool:
        """Returns whether a prompt may wait for KV-cache memory.

        It waits up to its target latency. After that it is better for the
        caller to retry later than to wait for memory that other requests hold.
        """
        elapsed_ms = self.clock.now_ms() - request.exchange.received_ms
        remaining_ms = request.deadline_ms - self.clock.now_ms()
        return (
            elapsed_ms < request.route.target_ms
            and remaining_ms > MEMORY_RETRY_INTERVAL_MS
        )

    def admit_retry(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        exc: base.HollycartError,
    ) -> bool:
        """Returns whether to retry; if so, charges the retry budget."""
        now_ms = self.clock.now_ms()
        if progress.rejections > self._max_rejections(exc):
            return False
        if request.deadline_ms - now_ms < _attempt.MIN_REMAINING_MS:
            return False
        # The route may have been removed since the request was admitted.
        cfg = self.platform_state.config
        assert cfg is not None
        if cfg.find_route(request.meta.host, request.meta.path) is None:
            return False
        service, instances = request.service.name, self.peers.fleet_size()
        # The budget bounds arrivals; if nothing was sent there was none.
        is_arrival = not isinstance(
            exc,
            (base.EndpointUnreachableError, _failures.EndpointEvacuatedError),
        )
        if is_arrival and not self.budget.take(service, now_ms, instances):
            self.metrics.count("retry_budget_empty")
            return False
        self.metrics.count(f"repeated.{exc.code}")
        self.log.write(
            observe.decisions.Repeated(
                request.meta.request_id,
                exc.code,
                exc.detail,
                progress.possible_executions,
                progress.rejections,
                round(self.budget.left(service, now_ms, instances), 1),
                progress.events.last_id,
            )
        )
        return True

    def _max_rejections(self, exc: base.HollycartError) -> int:
        is_unreachable = isinstance(exc, base.EndpointUnreachableError)
        if is_unreachable and self.policy.tolerated_zones:
            return _MAX_UNREACHABLE
        return _MAX_REJECTIONS

    def has_retries(self, service: str) -> bool:
        """Returns whether the retry budget of a service has room."""
        left = self.budget.left(
            service, self.clock.now_ms(), self.peers.fleet_size()
        )
        return left >= 1.0


def final_failure(
    exc: base.HollycartError, progress: _job.Progress
) -> base.HollycartError:
    """Returns the failure of a request whose last attempt failed.

    The failure states that the request was not executed only if no attempt can
    have been executed.
    """
    if progress.may_have_executed:
        return base.EndpointFailedError(
            "an earlier attempt may have been executed, the last one failed: "
            f"{exc.detail}"
        )
    if isinstance(exc, base.EndpointUnreachableError):
        return base.NoEndpointError(exc.detail, _failures.RETRY_AFTER_MS)
    return exc
