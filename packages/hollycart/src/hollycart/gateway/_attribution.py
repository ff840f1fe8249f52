"""Attributes failed attempts to endpoints."""

from hollycart.gateway import _crash_watch
from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _monitor
from hollycart.gateway import _notices
from hollycart.gateway import _waiting
from hollycart_core import base
from hollycart_core import placement


class FailureAttribution:
    """Records failed attempts against the endpoints that caused them.

    Args:
        monitor: Probes endpoints.
        notices: Records what endpoints said.
        crash_watch: Learns of engines that have crashed.
        dependencies: Attempts by the endpoints that they depend on.
        health: Health of the endpoints.
        clock: Source of time.
    """

    def __init__(
        self,
        monitor: _monitor.EndpointMonitor,
        notices: _notices.EndpointNotices,
        crash_watch: _crash_watch.CrashWatch,
        dependencies: _waiting.AttemptDependencies,
        health: placement.EndpointHealth,
        clock: base.Clock,
    ) -> None:
        self.monitor = monitor
        self.notices = notices
        self.crash_watch = crash_watch
        self.dependencies = dependencies
        self.health = health
        self.clock = clock

    def attribute(
        self,
        progress: _job.Progress,
        chosen: placement.Placement,
        exc: base.HollycartError,
    ) -> None:
        """Records a failed attempt against the endpoint that caused it.

        The endpoint is excluded from further attempts of the request. There
        is nothing to record if a reservation failed, or if the monitor has
        already found the endpoint unreachable.
        """
        endpoint_id = chosen.endpoint.id
        now_ms = self.clock.now_ms()
        if isinstance(exc, _failures.EndpointEvacuatedError):
            return  # no endpoint of the zone is chosen again
        if isinstance(exc, _failures.HelperRejectedError):
            progress.excluded.add(exc.endpoint_id)
            self.monitor.schedule_probe(exc.endpoint_id)
        elif isinstance(exc, _failures.EndpointReplacedError):
            progress.excluded.add(endpoint_id)
            self.notices.record_replaced(chosen.endpoint)
            # What ran there has ended with the former process.
            self.crash_watch.handle_refused(endpoint_id)
            self.dependencies.abort_dependents(endpoint_id)
        elif isinstance(exc, base.EndpointUnreachableError):
            progress.excluded.add(endpoint_id)
            if isinstance(exc.__cause__, TimeoutError):
                # A single packet may be lost; what runs there goes on.
                self.health.record_timeout(endpoint_id, now_ms)
                self.monitor.schedule_probe(endpoint_id)
            else:
                self.monitor.report_unreachable(
                    endpoint_id, isinstance(exc.__cause__, ConnectionError)
                )
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
