"""Sends calls to endpoints of services."""

from typing import NamedTuple

from hollycart import observe
from hollycart.entry import _directory
from hollycart.entry import _retry_budget
from hollycart_core import base
from hollycart_core import http
from hollycart_core import membership

RESPONSE_RESERVE_MS = 100.0  # of a deadline, for the response to the caller
_LOOKUP_TIMEOUT_MS = 1_000.0
_NOT_RUN_RETRY_AFTER_MS = 1_000.0


class ServiceCall(NamedTuple):
    """A parsed call.

    Attributes:
        service: Name of the service.
        path: Path at the service, with the query.
        method: HTTP method.
        body: Request body.
        key: Idempotency key scoped by team and service,
            `<team>/<service>/<key>`; empty if the caller sent none.
        digest: SHA-256 of method, path and body in hexadecimal.
        headers: Header fields to forward.
        deadline: Time by which the caller must have its response.
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
    """Sends each call to the endpoint with the fewest calls in flight.

    Args:
        directory: Known endpoints.
        client: HTTP client.
        budget: Limits the retries.
        clock: Source of time.
        metrics: Receives the counters.
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
        self._in_flight: dict[str, int] = {}

    def send_repeatable(self, call: ServiceCall) -> base.Done:
        """Sends an idempotent call; retries it at other endpoints.

        Raises:
            EndpointFailedError: If every attempt failed.
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
                can_retry = self.has_endpoint(call.service, tried)
                if not can_retry or not self.budget.take():
                    raise

    def send(
        self,
        call: ServiceCall,
        entry: membership.ListEntry,
        headers: dict[str, str],
    ) -> base.Done:
        """Sends a call once to one endpoint.

        Args:
            call: The call.
            entry: List entry of the endpoint.
            headers: Header fields in addition to those of the call.

        Raises:
            EndpointUnreachableError: If no byte of the call was sent.
            EndpointFailedError: If the connection broke or the status is 500
                or higher.
            DeadlineExceededError: If the deadline passed.
        """
        in_flight = self._in_flight
        in_flight[entry.entry_id] = in_flight.get(entry.entry_id, 0) + 1
        try:
            response = self.client.send(
                call.method,
                f"http://{entry.address}/{call.path}",
                call.body or None,
                {**call.headers, **headers},
                call.deadline.remaining_ms(self.clock)
                - RESPONSE_RESERVE_MS / 2,
            )
        finally:
            in_flight[entry.entry_id] -= 1
        if response.status >= 500:
            raise base.EndpointFailedError(f"status {response.status}")
        return base.Done(response.status, response.body)

    def look_up(
        self, entry: membership.ListEntry, key: str, left_ms: float
    ) -> base.Done | base.NotRun | None:
        """Looks a call up by its key at one endpoint.

        Args:
            entry: List entry of the endpoint.
            key: Scoped idempotency key.
            left_ms: Time left of the caller's deadline, in ms.

        Returns:
            `Done` with the stored response, `NotRun` if the endpoint does not
            know the key, None if it has no lookup or does not answer it.
        """
        if not entry.lookup_path:
            return None
        url = f"http://{entry.address}{entry.lookup_path}{key}"
        try:
            response = self.client.send(
                "GET",
                url,
                timeout_ms=min(_LOOKUP_TIMEOUT_MS, left_ms),
            )
        except base.HollycartError:
            return None
        if response.status == 404:
            return base.NotRun("not_found", _NOT_RUN_RETRY_AFTER_MS)
        return base.Done(200, response.body) if response.status == 200 else None

    def choose(self, service: str, tried: list[str]) -> membership.ListEntry:
        """Returns the untried endpoint with the fewest calls in flight.

        Raises:
            EndpointUnreachableError: If no endpoint is left.
        """
        self.directory.refresh_if_stale()
        usable = self._usable(service, tried)
        if not usable:
            raise base.EndpointUnreachableError(service)
        return min(usable, key=lambda e: self._in_flight.get(e.entry_id, 0))

    def has_endpoint(self, service: str, tried: list[str]) -> bool:
        """Returns whether an untried endpoint is left."""
        return bool(self._usable(service, tried))

    def _usable(
        self, service: str, tried: list[str]
    ) -> list[membership.ListEntry]:
        return [
            e
            for e in self.directory.services(service)
            if not e.leaving and e.entry_id not in tried
        ]
