"""Sends calls to endpoints of plain services."""

from typing import NamedTuple

from hollycart import observe
from hollycart.entry import _directory
from hollycart.entry import _retry_budget
from hollycart_core import base
from hollycart_core import http
from hollycart_core import membership

RESERVE_MS = 100.0  # kept of a deadline to answer the caller
_LOOKUP_TIMEOUT_MS = 1_000.0
_NOT_RUN_RETRY_MS = 1_000.0


class ServiceCall(NamedTuple):
    """A parsed call.

    Attributes:
        service: Name of the service.
        path: Path and query at the service.
        method: HTTP method.
        body: Body.
        key: Team, service and idempotency key; empty without a key.
        digest: Digest of method, path and body.
        headers: Header fields to pass on.
        deadline: Latest instant of the final answer.
    """

    service: str
    path: str
    method: str
    body: bytes
    key: str
    digest: str
    headers: dict[str, str]
    deadline: base.Deadline


class ServiceSender:
    """Sends one call at a time to an endpoint with few of them running.

    Args:
        directory: Endpoints.
        client: HTTP client.
        budget: Bounds repeated attempts.
        clock: Source of time.
        metrics: Counters.
    """

    def __init__(
        self,
        directory: _directory.Directory,
        client: http.HttpClient,
        budget: _retry_budget.RetryBudget,
        clock: base.Clock,
        metrics: observe.Metrics,
    ) -> None:
        self.directory = directory
        self.client = client
        self.budget = budget
        self.clock = clock
        self.metrics = metrics
        self._running: dict[str, int] = {}

    def send_repeatable(self, call: ServiceCall) -> base.Done:
        """Sends a call that may be repeated at another endpoint.

        Raises:
            EndpointFailedError: If no endpoint answered.
            DeadlineExceededError: If the deadline passed.
        """
        self.budget.record_request()
        tried: list[str] = []
        while True:
            entry = self.choose(call.service, tried)
            tried.append(entry.entry_id)
            try:
                return self.send(call, entry, {})
            except base.EndpointFailedError:
                self.metrics.count("service.failed")
                more = self.has_endpoint(call.service, tried)
                if not more or not self.budget.take():
                    raise

    def send(
        self,
        call: ServiceCall,
        entry: membership.ListEntry,
        headers: dict[str, str],
    ) -> base.Done:
        running = self._running
        running[entry.entry_id] = running.get(entry.entry_id, 0) + 1
        try:
            reply = self.client.send(
                call.method,
                f"http://{entry.address}/{call.path}",
                call.body or None,
                {**call.headers, **headers},
                call.deadline.remaining_ms(self.clock) - RESERVE_MS / 2,
            )
        finally:
            running[entry.entry_id] -= 1
        if reply.status >= 500:
            raise base.EndpointFailedError(f"status {reply.status}")
        return base.Done(reply.status, reply.body)

    def look_up(
        self, entry: membership.ListEntry, key: str, left_ms: float
    ) -> base.Done | base.NotRun | None:
        """Asks one endpoint; None without an answer."""
        if not entry.lookup_path:
            return None
        url = f"http://{entry.address}{entry.lookup_path}{key}"
        try:
            reply = self.client.send(
                "GET",
                url,
                timeout_ms=min(_LOOKUP_TIMEOUT_MS, left_ms),
            )
        except base.HollycartError:
            return None
        if reply.status == 404:
            return base.NotRun("not_found", _NOT_RUN_RETRY_MS)
        return base.Done(200, reply.body) if reply.status == 200 else None

    def choose(self, service: str, tried: list[str]) -> membership.ListEntry:
        self.directory.refresh_if_stale()
        usable = self._usable(service, tried)
        if not usable:
            raise base.EndpointUnreachableError(service)
        return min(usable, key=lambda e: self._running.get(e.entry_id, 0))

    def has_endpoint(self, service: str, tried: list[str]) -> bool:
        return bool(self._usable(service, tried))

    def _usable(
        self, service: str, tried: list[str]
    ) -> list[membership.ListEntry]:
        return [
            e
            for e in self.directory.services(service)
            if not e.leaving and e.entry_id not in tried
        ]
