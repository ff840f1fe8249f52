"""The entry's side of permits."""

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

_PRESENT_INTERVAL_MS = 2_000.0
_FLUSH_DELAY_MS = 10.0
_GATHER_S = 0.25
_REPORT_TIMEOUT_MS = 1_000
_MAX_OWNERS = 4
_ERRORS: dict[str, type[base.HollycartError]] = {
    "overloaded": base.OverloadedError,
    "rate_limited": base.RateLimitedError,
    "deadline_exceeded": base.DeadlineExceededError,
    "not_found": base.NotFoundError,
    "payload_too_large": base.PayloadTooLargeError,
}


class HeldPermit(NamedTuple):
    """A permit in use at this instance.

    Attributes:
        permit: The permit.
        addresses: `host:port` of its endpoints.
    """

    permit: scheduling.Permit
    addresses: tuple[str, ...]


class _Outbox:
    def __init__(self) -> None:
        self.first_tokens: list[peers.FirstToken] = []
        self.released: list[str] = []


class PermitClient:
    """Asks owners for permits, reports on them and presents them again.

    Args:
        directory: Instances and endpoints.
        owner: The pools at this instance, used when it owns the pool or no
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
        self.live: dict[str, tuple[str, scheduling.LivePermit]] = {}
        self._outbox: dict[str, _Outbox] = {}
        self._wake = event.Event()
        self._presented_ms = 0.0
        self._owner_of: dict[str, str] = {}

    def start(self) -> None:
        """Starts to send reports."""
        eventlet.spawn(self._run)

    def acquire(
        self,
        model: str,
        req: scheduling.PermitRequest,
        deadline: base.Deadline,
    ) -> HeldPermit:
        """Waits for a permit.

        Raises:
            OverloadedError: If the request is refused for load.
            RateLimitedError: If the row's limit is reached.
            DeadlineExceededError: If the deadline passes.
            NotFoundError: If the cell has no endpoint of the model.
        """
        now_ms = self.clock.now_ms()
        owners = self.directory.view.owners(f"pool/{model}", now_ms)
        own_id = self.directory.view.own_entry.entry_id
        tried = [*owners[:_MAX_OWNERS], own_id]
        for owner_id in tried:
            left_ms = deadline.remaining_ms(self.clock)
            if left_ms <= 0:
                break
            message = peers.AcquireMessage(
                model, req._replace(time_left_ms=left_ms)
            )
            try:
                reply = self._ask(owner_id, message, left_ms)
            except base.PeerUnreachableError:
                self.directory.view.suspect(owner_id, self.clock.now_ms())
                self.metrics.count("permit.owner_unreachable")
                continue
            return self._accept(model, req, reply)
        raise base.DeadlineExceededError("waiting for a permit", 1000.0)

    def mark_first_token(
        self, model: str, permit_id: str, cached_tokens: int
    ) -> None:
        """Reports that the prompt has been processed."""
        held = self.live.get(permit_id)
        if held is None:
            return
        live = held[1]
        permit = live.permit._replace(cached_tokens=cached_tokens)
        self.live[permit_id] = (
            model,
            live._replace(first_token_seen=True, permit=permit),
        )
        self._box(model).first_tokens.append(
            peers.FirstToken(permit_id, cached_tokens)
        )
        self._notify(live.request)

    def release(self, model: str, permit_id: str) -> None:
        """Ends a permit; the owner is told soon."""
        held = self.live.pop(permit_id, None)
        self._box(model).released.append(permit_id)
        if held is not None:
            self._notify(held[1].request)

    def handle_confirm(
        self, message: peers.ConfirmMessage
    ) -> peers.ConfirmReply:
        """Answers which attempts are not in use."""
        unused = [a for a in message.attempt_ids if a not in self.live]
        return peers.ConfirmReply(tuple(unused))

    def _ask(
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
            kind = _ERRORS.get(reply.code, base.OverloadedError)
            raise kind(model, reply.retry_after_ms or None)
        live = scheduling.LivePermit(req, reply.permit, False)
        self.live[req.permit_id] = (model, live)
        return HeldPermit(reply.permit, reply.addresses)

    def _box(self, model: str) -> _Outbox:
        return self._outbox.setdefault(model, _Outbox())

    def _notify(self, req: scheduling.PermitRequest) -> None:
        """Sends news of long prompts soon.

        The owner's estimate covers short ones well enough to gather them.
        """
        if not req.is_short and not self._wake.ready():
            self._wake.send()

    def _run(self) -> None:
        while True:
            self._wake.wait(timeout=_GATHER_S)
            self.clock.sleep_ms(_FLUSH_DELAY_MS)
            self._wake = event.Event()
            self._flush()

    def _flush(self) -> None:
        now_ms = self.clock.now_ms()
        due = now_ms - self._presented_ms >= _PRESENT_INTERVAL_MS
        boxes, self._outbox = self._outbox, {}
        models = set(boxes) | {model for model, _ in self.live.values()}
        if due:
            self._presented_ms = now_ms
        for model in models:
            owner_id = self.directory.view.owners(f"pool/{model}", now_ms)[0]
            changed = self._owner_of.get(model) != owner_id
            self._owner_of[model] = owner_id
            box = boxes.get(model, _Outbox())
            live: tuple[scheduling.LivePermit, ...] = ()
            if due or changed:
                live = tuple(p for m, p in self.live.values() if m == model)
            if live or box.first_tokens or box.released:
                message = peers.ReportMessage(
                    model, tuple(box.first_tokens), tuple(box.released), live
                )
                eventlet.spawn_n(self._send, owner_id, message)

    def _send(self, owner_id: str, message: peers.ReportMessage) -> None:
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
