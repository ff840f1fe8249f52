"""Learns from endpoints what instances that are not heard have placed."""

from collections.abc import Sequence
import math
from typing import Any

from absl import logging
from eventlet import event

from hollycart import observe
from hollycart.gateway import _messages
from hollycart.gateway import _peers
from hollycart.gateway import _state
from hollycart.gateway import _survey
from hollycart_core import base
from hollycart_core import placement
from hollycart_core import routing

_WATCH_INTERVAL_MS = 200.0
_SURVEY_INTERVAL_MS = 1000.0
# Time for which a placement waits for reports, in ms: round trips and the
# processing of 24 reports. Small beside the target of a long prompt.
_QUERY_TIMEOUT_MS = 40.0
_REPORTS_PER_DATAGRAM = 100


class ReportedLoad:
    """Fills the gaps in the load view while instances do not hear each other.

    An isolated instance queries endpoints before it places a long prompt.
    Otherwise, while the load of missing instances matters, one instance of the
    cell queries the endpoints periodically and announces what they report in
    excess of what is known. No endpoint is queried while all are heard.

    Args:
        peers: Exchange of datagrams with the other instances.
        platform_state: Configuration and instances in force.
        survey: Queries endpoints.
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        platform_state: _state.PlatformState,
        survey: _survey.LoadSurvey,
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
    ) -> None:
        self.peers = peers
        self.platform_state = platform_state
        self.survey = survey
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self._isolation = placement.Isolation()
        self._queries = placement.LoadQueries(peers.name)
        self._placed_ms: dict[str, float] = {}
        self._isolated_since_ms = 0.0
        self._surveyed_ms = float("-inf")
        self._round: Any = None
        self._task = base.PeriodicTask(
            self.watch, _WATCH_INTERVAL_MS, clock, self._log_fault
        )

    @property
    def contact(self) -> placement.CellContact:
        """Contact with the other instances of the cell."""
        return self._isolation.contact

    def start(self) -> None:
        """Starts to watch the contact with the other instances."""
        self._task.start(run_immediately=False)

    def close(self) -> None:
        """Stops to watch the contact."""
        self._task.close()

    def watch(self) -> None:
        """Judges the contact with the other instances, surveys if due."""
        now_ms, before = self.clock.now_ms(), self.contact
        contact = self._isolation.update(
            self._listed(),
            self.peers.heard(),
            self.peers.is_settled(now_ms),
            self.peers.draining,
            now_ms,
        )
        if contact.is_isolated != before.is_isolated:
            self._log_isolation(contact, now_ms)
        if contact.misses_load != before.misses_load:
            missing = contact.missing if contact.misses_load else 0
            self.log.write(
                observe.decisions.InstancesMissing(contact.listed, missing)
            )
        if not contact.is_isolated and not contact.misses_load:
            if before.is_isolated or before.misses_load:
                # All load is announced again.
                self.peers.view.clear_unaccounted()
                self._placed_ms.clear()
            if contact.listed and contact.heard == contact.listed:
                # Another instance may have surveyed for a little longer.
                self.peers.view.clear_unaccounted(repeated_only=True)
            return
        self._record_placed(
            now_ms, first=not (before.is_isolated or before.misses_load)
        )
        if (
            contact.misses_load
            and now_ms - self._surveyed_ms >= _SURVEY_INTERVAL_MS
            and self.survey.is_chosen()
        ):
            self._surveyed_ms = now_ms
            self._announce(self._query(()))

    def refresh(self, assignments: tuple[placement.Assignment, ...]) -> None:
        """Queries endpoints before a prompt is placed by an isolated instance.

        Args:
            assignments: Where the prompt would be placed by what is known.
        """
        if not self.contact.is_isolated or not placement.needs_queries(
            assignments
        ):
            return
        if self._round is not None:
            # Another prompt is waiting for reports already.
            self._round.wait()
            return
        self._round = event.Event()
        try:
            self._query([a.endpoint for a in assignments])
        finally:
            finished, self._round = self._round, None
            finished.send()

    def record_placed(self, attempt_id: str) -> None:
        """Records that this instance has placed an attempt."""
        if self.contact.is_isolated or self.contact.misses_load:
            self._placed_ms[attempt_id] = self.clock.now_ms()

    def _listed(self) -> list[str]:
        snapshot = self.platform_state.snapshot
        if snapshot is None:
            return []
        return [
            name
            for name, address in snapshot.peers.items()
            if name != self.peers.name
            and self.peers.book.is_in_cell(address.zone)
        ]

    def _record_placed(self, now_ms: float, first: bool) -> None:
        """Records since when the present attempts are known."""
        self._placed_ms = {
            attempt_id: self._placed_ms.get(
                attempt_id, float("-inf") if first else now_ms
            )
            for attempt_id in self.peers.view.attempt_ids()
        }

    def _query(
        self, preferred: Sequence[str]
    ) -> dict[str, placement.UnaccountedLoad]:
        """Queries endpoints that are due, records what they report.

        Returns:
            The unaccounted load of all endpoints about which something new is
            known or assumed, by id.
        """
        cfg = self.platform_state.config
        candidates = {e.id: e for e in self.survey.endpoints()}
        due = self._queries.take(preferred, candidates, self.clock.now_ms())
        if cfg is None or not due:
            return {}
        self.metrics.count("load_queries", len(due))
        reports = self.survey.query(
            [candidates[i] for i in due], _QUERY_TIMEOUT_MS
        )
        self.metrics.count("load_queries_unanswered", len(due) - len(reports))
        now_ms, view = self.clock.now_ms(), self.peers.view
        loads: dict[str, placement.UnaccountedLoad] = {}
        for service in {e.service for e in candidates.values()}:
            ids = [i for i, e in candidates.items() if e.service == service]
            max_gap_ms = _shortest_gap_ms(cfg, service)
            known = {
                i: placement.unaccounted_load(
                    reports[i].requests,
                    reports[i].memory_tokens,
                    view.on_endpoint(i),
                    self._placed_ms,
                    max_gap_ms,
                    now_ms,
                )
                for i in ids
                if i in reports
            }
            loads |= known
            if known:
                assumed = placement.assumed_load(
                    list(known.values()), max_gap_ms, now_ms
                )
                loads |= {
                    i: assumed
                    for i in ids
                    if i not in known and not view.has_recent_report(i, now_ms)
                }
        for endpoint, load in loads.items():
            view.set_unaccounted(endpoint, load)
        return loads

    def _announce(self, loads: dict[str, placement.UnaccountedLoad]) -> None:
        reports = [
            _messages.EndpointReport(
                endpoint,
                load.requests,
                load.memory_tokens,
                int(load.hold_ms),
                int(load.max_gap_ms) if math.isfinite(load.max_gap_ms) else 0,
            )
            for endpoint, load in loads.items()
        ]
        for start in range(0, len(reports), _REPORTS_PER_DATAGRAM):
            self.peers.add_unaccounted(
                reports[start : start + _REPORTS_PER_DATAGRAM]
            )

    def _log_isolation(
        self, contact: placement.CellContact, now_ms: float
    ) -> None:
        if contact.is_isolated:
            self._isolated_since_ms = now_ms
            self.log.write(
                observe.decisions.Isolated(contact.listed, contact.heard)
            )
            return
        self.log.write(
            observe.decisions.Rejoined(
                contact.listed,
                contact.heard,
                round(now_ms - self._isolated_since_ms, 1),
            )
        )

    def _log_fault(self, exc: Exception) -> None:
        logging.error("unexpected error in the load of instances: %r", exc)


def _shortest_gap_ms(cfg: routing.RoutingConfig, service: str) -> float:
    """Returns the shortest of the gaps that answers of a service accept."""
    gaps_ms = [
        r.max_gap_ms
        for r in cfg.routes
        if r.max_gap_ms and any(t.service == service for t in r.targets)
    ]
    return min(gaps_ms, default=float("inf"))
