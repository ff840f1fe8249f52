"""Places prompts of other cells in the own cell."""

from absl import logging
import eventlet

from hollycart.gateway import _chooser
from hollycart.gateway import _messages
from hollycart.gateway import _peers
from hollycart.gateway import _permits
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement
from hollycart_core import routing

_EXPIRY_INTERVAL_MS = 1000.0
# A delegated attempt whose end was not reported is dropped after this multiple
# of its predicted duration: the instance that runs it may have failed.
_EXPIRY_FACTOR = 2.0


class Delegate:
    """Answers the offers of other cells.

    A prompt that is accepted is announced in the own cell at once, and counts
    there until its end is reported or overdue.

    Args:
        peers: Exchange of datagrams with the other instances.
        chooser: Places prompts in the own cell.
        permits: Permits for endpoints that limit their rate.
        platform_state: Configuration in force.
        clock: Source of time.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        chooser: _chooser.EndpointChooser,
        permits: _permits.PermitExchange,
        platform_state: _state.PlatformState,
        clock: base.Clock,
    ) -> None:
        self.peers = peers
        self.chooser = chooser
        self.permits = permits
        self.platform_state = platform_state
        self.clock = clock
        self._overdue_ms: dict[str, float] = {}
        self._task = base.PeriodicTask(
            self.remove_overdue, _EXPIRY_INTERVAL_MS, clock, self._log_fault
        )

    def start(self) -> None:
        """Starts to remove overdue attempts."""
        self._task.start()

    def subscribe(self) -> None:
        """Sets the handlers of offers and of the progress of attempts."""
        self.peers.subscribe(_messages.PlacementRequest, self._handle_request)
        self.peers.subscribe(_messages.DelegatedProgress, self._handle_progress)

    def close(self) -> None:
        """Stops to remove overdue attempts."""
        self._task.close()

    def remove_overdue(self) -> None:
        """Removes attempts whose end was not reported in time."""
        now_ms = self.clock.now_ms()
        for attempt_id, overdue_ms in list(self._overdue_ms.items()):
            if now_ms >= overdue_ms:
                self._remove(attempt_id)

    def _handle_request(
        self, message: _messages.PlacementRequest, ip: str
    ) -> None:
        chosen = self._place(message, self.clock.now_ms())
        if chosen is not None and self._is_limited(chosen):
            # The receive loop must not wait for the permit.
            eventlet.spawn_n(self._acquire_and_reply, message, chosen, ip)
        elif chosen is not None and self._needs_confirmation(chosen):
            eventlet.spawn_n(self._confirm_and_reply, message, chosen, ip)
        else:
            self._reply(message, chosen, ip)

    def _is_limited(self, chosen: placement.Placement) -> bool:
        return self.permits.needs_permit(chosen.endpoint)

    def _needs_confirmation(self, chosen: placement.Placement) -> bool:
        return placement.needs_confirmation(
            chosen.assignments, chosen.endpoint.slots, self.peers.view
        )

    def _confirm_and_reply(
        self,
        message: _messages.PlacementRequest,
        chosen: placement.Placement,
        ip: str,
    ) -> None:
        """Announces a placement, and replies once no other one conflicts."""
        view = self.peers.view
        known = placement.attempts_at(chosen.assignments, view)
        self._accept(message, chosen, self.clock.now_ms())
        self.clock.sleep_ms(placement.ANNOUNCEMENT_LAG_MS)
        if message.attempt_id not in self._overdue_ms:
            return  # its caller has left
        if placement.find_conflicts(
            chosen.assignments, chosen.endpoint.slots, known, view
        ):
            self._remove(message.attempt_id)
            self._reply(message, self._place(message, self.clock.now_ms()), ip)
        else:
            self._send_reply(message, chosen, ip)

    def _acquire_and_reply(
        self,
        message: _messages.PlacementRequest,
        chosen: placement.Placement | None,
        ip: str,
    ) -> None:
        if chosen is not None and not self.permits.acquire(
            message.attempt_id, chosen.endpoint
        ):
            chosen = self._place(message, self.clock.now_ms())
            if chosen is not None and self._is_limited(chosen):
                chosen = None  # a second query would outlast the offer
        self._reply(message, chosen, ip)
        if chosen is not None:
            self.permits.release(message.attempt_id, chosen.endpoint)

    def _reply(
        self,
        message: _messages.PlacementRequest,
        chosen: placement.Placement | None,
        ip: str,
    ) -> None:
        """Announces the placement of a prompt, if there is one, and replies."""
        if chosen is not None:
            self._accept(message, chosen, self.clock.now_ms())
        self._send_reply(message, chosen, ip)

    def _send_reply(
        self,
        message: _messages.PlacementRequest,
        chosen: placement.Placement | None,
        ip: str,
    ) -> None:
        now_ms = self.clock.now_ms()
        reply = _messages.PlacementReply(
            self.peers.name,
            message.attempt_id,
            _messages.pack_report(self.peers.make_report(), now_ms),
        )
        if chosen is not None:
            # Its endpoint may have named a limit while it was confirmed.
            reply.permitted = self.permits.holds(
                message.attempt_id, chosen.endpoint, now_ms
            )
            reply.assignments = _messages.pack(chosen.assignments, now_ms)
            reply.first_event_ms = chosen.first_event_ms
            reply.predicted_loss = chosen.predicted_loss
            reply.send_delay_ms = chosen.send_delay_ms
            reply.reservations = [
                (r.endpoint.id, r.tokens) for r in chosen.reservations
            ]
        self.peers.send(reply, ip)

    def _place(
        self, message: _messages.PlacementRequest, now_ms: float
    ) -> placement.Placement | None:
        cfg = self.platform_state.config
        service = cfg.services.get(message.service) if cfg else None
        if service is None or service.engine is None:
            return None
        prompt = self._make_prompt(message, service.engine)
        chosen = self.chooser.place_in_cell(
            service, prompt, set(message.excluded), now_ms
        )
        if (
            chosen is None
            or chosen.retry_after_ms(prompt) is not None
            or chosen.predicted_loss > message.max_loss
        ):
            return None
        return chosen

    def _make_prompt(
        self,
        message: _messages.PlacementRequest,
        engine: routing.EngineParameters,
    ) -> placement.Prompt:
        return placement.Prompt(
            message.attempt_id,
            message.tokens,
            message.output_tokens,
            message.target_ms,
            message.remaining_ms,
            message.max_gap_ms,
            usual_tokens=engine.usual_prompt_tokens,
            team=message.team,
        )

    def _accept(
        self,
        message: _messages.PlacementRequest,
        chosen: placement.Placement,
        now_ms: float,
    ) -> None:
        """Announces a prompt that was placed in the own cell."""
        cfg = self.platform_state.config
        assert cfg is not None
        engine = cfg.services[message.service].engine
        assert engine is not None
        duration_ms = chosen.first_event_ms + self.chooser.model(
            engine
        ).decode_ms(message.output_tokens)
        self._overdue_ms[message.attempt_id] = (
            now_ms + _EXPIRY_FACTOR * duration_ms
        )
        self.peers.add(chosen.assignments)
        self.chooser.record_placement(
            message.service, self._make_prompt(message, engine), chosen
        )

    def _handle_progress(
        self, message: _messages.DelegatedProgress, ip: str
    ) -> None:
        del ip
        if message.attempt_id not in self._overdue_ms:
            return
        if message.ended:
            self._remove(message.attempt_id)
        else:
            self.peers.start_decoding(message.attempt_id)

    def _remove(self, attempt_id: str) -> None:
        del self._overdue_ms[attempt_id]
        self.peers.remove(attempt_id)

    def _log_fault(self, exc: Exception) -> None:
        logging.error("unexpected error in delegated attempts: %r", exc)
