"""An admitted request and the progress of its attempts."""

from typing import NamedTuple

from hollycart.gateway import _codec
from hollycart.gateway import _events
from hollycart_core import connections
from hollycart_core import crashes
from hollycart_core import routing


class AdmittedRequest(NamedTuple):
    """A request that passed admission control.

    Attributes:
        exchange: HTTP request of the caller and the way to respond to it.
        meta: Decoded fields of the request.
        route: Route that matches the request.
        service: Service that the request is sent to.
        team: Team that is billed; None on public routes.
        deadline_ms: Instant at which the caller's or the route's timeout ends.
        fingerprint: Digest by which it is recognised if it is sent again.
    """

    exchange: connections.Exchange
    meta: _codec.RequestMeta
    route: routing.Route
    service: routing.Service
    team: routing.Team | None
    deadline_ms: float
    fingerprint: str

    @property
    def traits(self) -> tuple[str, ...]:
        """What the request shares with others that may crash engines."""
        return (
            crashes.request_trait(self.fingerprint),
            *self.meta.shared_segments,
        )


class Progress:
    """State of a request over all of its attempts.

    Attributes:
        possible_executions: Attempts that an endpoint may have executed.
        rejections: Attempts that certainly were not executed.
        may_have_executed: Whether an attempt failed that may have been
            executed.
        response_started: Whether a response to the caller was started.
        events: Buffer of the stream's events.
        excluded: Endpoints that are not tried again.
        participants: Endpoints of the latest attempt at a prompt.
        attempt_id: Id of the latest attempt.
        attempts_sent: Attempts that were sent to an endpoint.
        trial: Quarantine whose trial the request is; None for others.
        suspected_crashes: Engines that crashed at an attempt which may have
            caused it.
        uncounted_attempts: Possible executions that do not count towards the
            route's maximum, since engines crashed on other prompts.
        is_isolated: Whether the prompt should not run beside others.
        longest_gap_ms: Longest gap between two events, in ms.
        last_event_ms: Instant of the last event; None before the first.
        responded_by: Endpoint whose response is relayed.
        status: HTTP status of the response; 0 before it.
        media_type: Content type of the response; empty before it.
        framing: How the endpoint declared the end of the response; empty
            before it.
        trailing_bytes: Bytes relayed after the last complete event.
        received_bytes: Bytes of the bodies of all responses.
    """

    def __init__(self, last_event_id: str) -> None:
        self.possible_executions = 0
        self.rejections = 0
        self.may_have_executed = False
        self.response_started = False
        self.events = _events.EventBuffer()
        self.events.last_id = last_event_id
        self.excluded: set[str] = set()
        self.participants: tuple[str, ...] = ()
        self.attempt_id = ""
        self.attempts_sent = 0
        self.trial: crashes.QuarantineEntry | None = None
        self.suspected_crashes = 0
        self.uncounted_attempts = 0
        self.is_isolated = False
        self.longest_gap_ms = 0.0
        self.last_event_ms: float | None = None
        self.responded_by = ""
        self.status = 0
        self.media_type = ""
        self.framing = ""
        self.trailing_bytes = 0
        self.received_bytes = 0

    @property
    def counted_executions(self) -> int:
        """Possible executions that count towards the route's maximum."""
        return self.possible_executions - self.uncounted_attempts
