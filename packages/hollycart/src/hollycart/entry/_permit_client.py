"""Acquires, renews and releases the permits of this instance."""

import functools
from typing import NamedTuple

import eventlet
from eventlet import event

from hollycart import observe
from hollycart import peers
from hollycart.entry import _directory
from hollycart.entry import _pool_owner
from hollycart_core import base
from hollycart_core import scheduling

_RENEW_INTERVAL_MS = 2_000.0
_REPORT_DELAY_MS = 10.0  # changes within this time share one report
_REPORT_INTERVAL_S = 0.25
_REPORT_TIMEOUT_MS = 1_000
_MAX_OWNERS = 4  # instances asked for a permit before this instance itself
_ERRORS_BY_CODE: dict[str, type[base.HollycartError]] = {
    "overloaded": base.OverloadedError,
    "rate_limited": base.RateLimitedError,
    "deadline_exceeded": base.DeadlineExceededError,
    "not_found": base.NotFoundError,
    "payload_too_large": base.PayloadTooLargeError,
}


class HeldPermit(NamedTuple):
    """A permit that this instance holds for an attempt.

    Attributes:
        permit: The permit.
        addresses: `host:port` of its endpoints.
    """

    permit: scheduling.Permit
    addresses: tuple[str, ...]


class _PendingReport:
    """Changes of the permits of one model since the last report."""

    def __init__(self) -> None:
        self.first_tokens: list[peers.FirstToken] = []
        self.released: list[str] = []


class PermitClient:
    """Acquires permits from pool owners and reports on their use.

    Live permits are reported at intervals, which renews them. A new owner of
    a pool receives all of them with the next report.

    Args:
        directory: Instances and endpoints.
        owner: The pools of this instance, used if it owns the pool or if no
            owner can be reached.
        peer_client: Calls other instances.
        clock: Source of time.
        metrics: Counters.
    """

    def __init__(
        self,
        directory: _directory.Directory,
        owner: _pool_owner.PoolOwner,
        peer_client: peers.PeerClient,
        clock: base.Clock,
        metrics: observe.Metrics,
    ) -> None:
        self.directory = directory
        self.owner = owner
        self.peer_client = peer_client
        self.clock = clock
        self.metrics = metrics
        self.live_permits: dict[str, tuple[str, scheduling.LivePermit]] = {}
        self._pending_reports: dict[str, _PendingReport] = {}
        self._wake = event.Event()
        self._renewed_ms = 0.0
        self._last_owner_ids: dict[str, str] = {}

    def start(self) -> None:
        """Starts the green thread that sends reports."""
        eventlet.spawn(self._run_reports)

    def acquire(
        self,
        model: str,
        req: scheduling.PermitRequest,
        deadline: base.Deadline,
    ) -> HeldPermit:
        """Waits for a permit.

        Raises:
            OverloadedError: If the request is refused because of load.
            RateLimitedError: If the rate limit of the row is reached.
            PayloadTooLargeError: If the pool cannot hold the prompt.
            DeadlineExceededError: If the deadline passes before the grant.
            NotFoundError: If the cell has no endpoint for the model.
        """
        now_ms = self.clock.now_ms()
        owners = self.directory.view.owners(f"pool/{model}", now_ms)
        own_id = self.directory.view.own_entry.entry_id
        candidates = [*owners[:_MAX_OWNERS], own_id]
        for owner_id in candidates:
            left_ms = deadline.remaining_ms(self.clock)
            if left_ms <= 0:
                break
            message = peers.AcquireMessage(
                model, req._replace(time_left_ms=left_ms)
            )
            try:
                reply = self._acquire_from(owner_id, message, left_ms)
            except base.PeerUnreachableError:
                self.directory.view.suspect(owner_id, self.clock.now_ms())
                self.metrics.count("permit.owner_unreachable")
                continue
            return self._accept(model, req, reply)
        raise base.DeadlineExceededError("waiting for a permit", 1000.0)

    def mark_first_token(
        self, model: str, permit_id: str, cached_tokens: int
    ) -> None:
        """Records the first token of a permit, which ends its prefill."""
        held = self.live_permits.get(permit_id)
        if held is None:
            return
        live_permit = held[1]
        permit = live_permit.permit._replace(cached_tokens=cached_tokens)
        self.live_permits[permit_id] = (
            model,
            live_permit._replace(first_token_seen=True, permit=permit),
        )
        self._pending_report(model).first_tokens.append(
            peers.FirstToken(permit_id, cached_tokens)
        )
        self._request_report(live_permit.request)

    def release(self, model: str, permit_id: str) -> None:
        """Ends a permit; the next report notifies the owner."""
        held = self.live_permits.pop(permit_id, None)
        self._pending_report(model).released.append(permit_id)
        if held is not None:
            self._request_report(held[1].request)

    def handle_confirm(
        self, message: peers.ConfirmMessage
    ) -> peers.ConfirmReply:
        """Returns which of the attempts are not in use at this instance."""
        unused = [a for a in message.attempt_ids if a not in self.live_permits]
        return peers.ConfirmReply(tuple(unused))

    def _acquire_from(
        self,
        owner_id: str,
        message: peers.AcquireMessage,
        left_ms: float,
    ) -> peers.AcquireReply:
        if owner_id == self.directory.view.own_entry.entry_id:
            return self.owner.handle_acquire(message)
        return self.peer_client.call(
            self.directory.peer_address(owner_id),
            peers.ACQUIRE,
            message,
            left_ms,
            functools.partial(self.directory.peer_alive, owner_id),
        )

    def _accept(
        self,
        model: str,
        req: scheduling.PermitRequest,
        reply: peers.AcquireReply,
    ) -> HeldPermit:
        if reply.permit is None:
            kind = _ERRORS_BY_CODE.get(reply.code, base.OverloadedError)
            raise kind(model, reply.retry_after_ms or None)
        live_permit = scheduling.LivePermit(req, reply.permit, False)
        self.live_permits[req.permit_id] = (model, live_permit)
        return HeldPermit(reply.permit, reply.addresses)

    def _pending_report(self, model: str) -> _PendingReport:
        return self._pending_reports.setdefault(model, _PendingReport())

    def _request_report(self, req: scheduling.PermitRequest) -> None:
        """Makes the pending reports due, unless the prompt is short.

        Changes of short prompts wait for the next interval, since the owner's
        estimate of their load is accurate enough until then.
        """
        if not req.is_short and not self._wake.ready():
            self._wake.send()

    def _run_reports(self) -> None:
        guard = base.LoopGuard("reporting permits")
        while True:
            self._wake.wait(timeout=_REPORT_INTERVAL_S)
            self.clock.sleep_ms(_REPORT_DELAY_MS)
            self._wake = event.Event()
            with guard.turn():
                self._send_reports()

    def _send_reports(self) -> None:
        now_ms = self.clock.now_ms()
        renewal_due = now_ms - self._renewed_ms >= _RENEW_INTERVAL_MS
        pending_reports, self._pending_reports = self._pending_reports, {}
        models = set(pending_reports) | {
            model for model, _ in self.live_permits.values()
        }
        if renewal_due:
            self._renewed_ms = now_ms
        for model in models:
            owner_id = self.directory.view.owners(f"pool/{model}", now_ms)[0]
            changed = self._last_owner_ids.get(model) != owner_id
            self._last_owner_ids[model] = owner_id
            pending = pending_reports.get(model, _PendingReport())
            live_permits: tuple[scheduling.LivePermit, ...] = ()
            if renewal_due or changed:
                live_permits = tuple(
                    p for m, p in self.live_permits.values() if m == model
                )
            if live_permits or pending.first_tokens or pending.released:
                message = peers.ReportMessage(
                    model,
                    tuple(pending.first_tokens),
                    tuple(pending.released),
                    live_permits,
                )
                eventlet.spawn_n(self._send_report, owner_id, message)

    def _send_report(self, owner_id: str, message: peers.ReportMessage) -> None:
        if owner_id == self.directory.view.own_entry.entry_id:
            self.owner.handle_report(message)
            return
        try:
            self.peer_client.call(
                self.directory.peer_address(owner_id),
                peers.REPORT,
                message,
                _REPORT_TIMEOUT_MS,
            )
        except base.PeerUnreachableError:
            self.metrics.count("permit.report_failed")
