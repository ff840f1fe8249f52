"""An admitted request and what has happened to it."""

from typing import NamedTuple

from hollycart.gateway import _codec
from hollycart.gateway import _events
from hollycart_core import connections
from hollycart_core import routing


class Job(NamedTuple):
    """One admitted request.

    Attributes:
        exchange: The request and the way to its caller.
        meta: What the request says about itself.
        route: Its route.
        service: Its service.
        team: Who is billed; None on public routes.
        deadline_ms: Instant at which the caller or the route gives up.
    """

    exchange: connections.Exchange
    meta: _codec.RequestMeta
    route: routing.Route
    service: routing.Service
    team: routing.Team | None
    deadline_ms: float


class Progress:
    """What has happened to a request so far.

    Attributes:
        runs: Attempts that may have run.
        rejections: Attempts that certainly have not run.
        may_have_run: Whether an attempt failed that may have run.
        begun: Whether an answer was begun towards the caller.
        events: Events of the stream.
        excluded: Endpoints that are not tried again.
        longest_pause_ms: Longest pause between events.
        last_event_ms: Instant of the last event; None before the first.
        answered_by: Endpoint whose answer is passed on.
    """

    def __init__(self, last_event_id: str) -> None:
        self.runs = 0
        self.rejections = 0
        self.may_have_run = False
        self.begun = False
        self.events = _events.EventBuffer()
        self.events.last_id = last_event_id
        self.excluded: set[str] = set()
        self.longest_pause_ms = 0.0
        self.last_event_ms: float | None = None
        self.answered_by = ""
        self.status = 0
