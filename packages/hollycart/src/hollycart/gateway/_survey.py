"""Asks endpoints for their load when no instance knows of any."""

from typing import Any

from absl import logging
import eventlet
from eventlet import greenpool

from hollycart import observe
from hollycart.gateway import _codec
from hollycart.gateway import _messages
from hollycart.gateway import _notices
from hollycart.gateway import _peers
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

# Time for the peers' replies to the first heartbeat, in ms.
_PEER_REPLY_MS = 20.0
_QUERY_TIMEOUT_MS = 400.0
_MAX_BODY_BYTES = 1 << 20


class LoadSurvey:
    """Queries the endpoints of the own cell once after the start.

    It is skipped if a peer announces requests, since the load is known then. Of
    the instances that start at the same time, one queries and announces the
    result to its cell.

    Args:
        peers: Exchange of datagrams with the other instances.
        platform_state: Configuration and endpoints in force.
        codec: Translates the platform's messages.
        notices: Records what endpoints ask for in their responses.
        log: Decision log.
        clock: Source of time.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        platform_state: _state.PlatformState,
        codec: _codec.RequestCodec,
        notices: _notices.EndpointNotices,
        log: observe.DecisionLog,
        clock: base.Clock,
    ) -> None:
        self.peers = peers
        self.platform_state = platform_state
        self.codec = codec
        self.notices = notices
        self.log = log
        self.clock = clock
        self._thread: Any = None

    def start(self) -> None:
        """Starts the survey in the background."""
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stops the survey."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def _run(self) -> None:
        self.clock.sleep_ms(_PEER_REPLY_MS)
        if self.peers.view.is_empty() and self.is_chosen():
            self.run()

    def is_chosen(self) -> bool:
        """Returns whether this instance queries for all live ones."""
        names = [self.peers.name, *self.peers.live()]
        return base.rendezvous_rank("survey", names)[0] == self.peers.name

    def run(self) -> None:
        """Queries the endpoints and announces the load that they report."""
        queried = self.endpoints()
        reports = [
            _messages.EndpointReport(endpoint, r.requests, r.memory_tokens)
            for endpoint, r in self.query(queried, _QUERY_TIMEOUT_MS).items()
            if r.requests
        ]
        self.log.write(
            observe.decisions.LoadSurveyed(
                len(queried), sum(r.requests for r in reports)
            )
        )
        self.peers.add_unaccounted(reports)

    def endpoints(self) -> list[placement.Endpoint]:
        """Returns the engines of the own cell that may be queried.

        Endpoints that are leaving, paused, limited, cold or in an evacuated
        availability zone are not.
        """
        snapshot = self.platform_state.snapshot
        if snapshot is None or snapshot.config is None:
            return []
        services, now_ms = snapshot.config.services, self.clock.now_ms()
        return [
            e
            for e in self.platform_state.endpoints.values()
            if self.notices.restrictions.accepts(e, now_ms)
            and not self.notices.limits_rate(e)
            and self.platform_state.evacuations.access(e.zone, now_ms)
            is placement.ZoneAccess.OPEN
            and self.peers.book.is_in_cell(e.zone)
            and e.service in services
            and services[e.service].engine is not None
        ]

    def query(
        self, endpoints: list[placement.Endpoint], timeout_ms: float
    ) -> dict[str, _codec.EndpointLoad]:
        """Returns the load of the endpoints that report it in time, by id.

        Args:
            endpoints: The endpoints to query, all at once.
            timeout_ms: Time until the last report is awaited, in ms.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        pool = greenpool.GreenPool(max(1, len(endpoints)))
        answers = pool.imap(lambda e: self._query(e, end_ms), endpoints)
        return {
            e.id: load
            for e, load in zip(endpoints, answers, strict=True)
            if load is not None
        }

    def _query(
        self, endpoint: placement.Endpoint, end_ms: float
    ) -> _codec.EndpointLoad | None:
        def left_ms() -> float:
            return max(1.0, end_ms - self.clock.now_ms())

        conn = connections.ClientConnection(endpoint.address, self.clock)
        try:
            conn.start(left_ms())
            sent_ms = self.clock.now_ms()
            conn.send(self.codec.encode_load_query(), b"", left_ms())
            head = conn.read_head(left_ms())
            self.notices.record(endpoint, head, sent_ms)
            body = conn.read_body(left_ms(), _MAX_BODY_BYTES)
            return self.codec.decode_load(head, body)
        except (base.EndpointFailedError, base.InvalidRequestError) as exc:
            logging.info("load of %s is unknown: %s", endpoint.id, exc.detail)
            return None
        finally:
            conn.close()
