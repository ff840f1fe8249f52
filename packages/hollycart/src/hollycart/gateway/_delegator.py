"""Has prompts placed by instances of other cells."""

import random

from eventlet import event

from hollycart import observe
from hollycart.gateway import _messages
from hollycart.gateway import _peers
from hollycart.gateway import _permits
from hollycart.gateway import _spill
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement

# Time for which a reply is awaited, in ms: a few round trips between zones and
# the search for a placement. Small beside the shortest target.
_REPLY_TIMEOUT_MS = 25.0
# Number of the latest heard instances of a cell that are asked in turn.
_MAX_CONTACTS = 8
# Number of cells that a prompt is offered to.
_MAX_OFFERS = 2


class Delegator:
    """Offers prompts to other cells and announces the attempts' progress.

    The instance that is asked places the prompt in its cell and announces it
    there, as if the attempt were its own. Messages are never awaited for long:
    without a reply the prompt is placed in the own cell.

    Args:
        peers: Exchange of datagrams with the other instances.
        platform_state: Endpoints in force.
        restrictions: What the endpoints asked for in their responses.
        permits: Permits for endpoints that limit their rate.
        log: Decision log.
        clock: Source of time.
        rng: Source of randomness.
        spill: Decides by gain and cost where that is asked for.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        platform_state: _state.PlatformState,
        restrictions: placement.EndpointRestrictions,
        permits: _permits.PermitExchange,
        log: observe.DecisionLog,
        clock: base.Clock,
        rng: random.Random,
        spill: _spill.ZoneSpillControl | None = None,
    ) -> None:
        self.peers = peers
        self.platform_state = platform_state
        self.restrictions = restrictions
        self.permits = permits
        self.log = log
        self.clock = clock
        self.rng = rng
        self.spill = spill
        self._awaited: dict[str, tuple[str, event.Event]] = {}
        self._delegated: dict[str, str] = {}

    def start(self) -> None:
        """Starts to receive replies."""
        self.peers.subscribe(_messages.PlacementReply, self._handle_reply)

    def offer(
        self,
        request_id: str,
        service: str,
        prompt: placement.Prompt,
        excluded: set[str],
        own: placement.Placement | None,
        body_bytes: int = 0,
    ) -> placement.Placement | None:
        """Offers a prompt to another cell if the own one serves it badly.

        Args:
            request_id: Id of the request, for the log.
            service: Service of the prompt.
            prompt: The prompt.
            excluded: Ids of endpoints that are not to be tried.
            own: Best placement in the own cell; None if there is none.
            body_bytes: Bytes of the request's body.

        Returns:
            The placement in another cell; None if there is none, or none that
            is better.
        """
        own_cost = round(own.predicted_loss, 3) if own else None
        if self.spill is not None and self.spill.in_force:
            cells = self.open_cells(self.clock.now_ms())
            for _ in range(_MAX_OFFERS):
                offer = self.spill.decide(
                    service, prompt, own, cells, body_bytes
                )
                if offer is None:
                    return None
                cells.remove(offer.cell)
                chosen = self._offer_to(
                    offer.cell,
                    request_id,
                    service,
                    prompt,
                    excluded,
                    offer.max_loss,
                    own_cost,
                    offer,
                )
                if chosen is not None:
                    return chosen
            return None
        max_loss = placement.max_remote_loss(prompt, own)
        if max_loss is None:
            return None
        cells = self.open_cells(self.clock.now_ms())
        for _ in range(_MAX_OFFERS):
            cell = self.peers.directory.choose(
                service, cells, self.clock.now_ms(), self.rng
            )
            if cell is None:
                return None
            cells.remove(cell)
            chosen = self._offer_to(
                cell, request_id, service, prompt, excluded, max_loss, own_cost
            )
            if chosen is not None:
                return chosen
        return None

    def open_cells(self, now_ms: float) -> list[str]:
        """Returns the names of the other cells that are not evacuated."""
        return sorted(
            name
            for name, zones in self.peers.book.other_cells.items()
            if any(self._is_open(zone, now_ms) for zone in zones)
        )

    def _is_open(self, zone: str, now_ms: float) -> bool:
        """Returns whether no evacuation of a zone is in force."""
        access = self.platform_state.evacuations.access(zone, now_ms)
        return access is placement.ZoneAccess.OPEN

    def _offer_to(
        self,
        cell: str,
        request_id: str,
        service: str,
        prompt: placement.Prompt,
        excluded: set[str],
        max_loss: float,
        own_cost: float | None,
        offer: placement.SpillOffer | None = None,
    ) -> placement.Placement | None:
        started_ms = self.clock.now_ms()
        contacts = self.peers.book.of_cell(cell)[-_MAX_CONTACTS:]
        if not contacts:
            if offer is not None and self.spill is not None:
                self.spill.record_outcome(offer, "no_contact", None, 0.0)
            return None
        ip = self.rng.choice(contacts)
        self.peers.directory.record_offer(cell, service)
        reply = self._ask(ip, service, prompt, excluded, max_loss)
        chosen = None
        if reply is None:
            self.peers.book.record_silence(ip)
            outcome = "no_reply"
        else:
            self.peers.record_state(reply.state)
            chosen = self._to_placement(reply, ip, started_ms)
            outcome = "placed" if chosen else "declined"
        loss = chosen.predicted_loss if chosen else None
        wait_ms = self.clock.now_ms() - started_ms
        if offer is not None and self.spill is not None:
            self.spill.record_outcome(offer, outcome, loss, wait_ms)
        self.log.write(
            observe.decisions.Offered(
                request_id,
                prompt.attempt_id,
                cell,
                ip,
                outcome,
                own_cost,
                None if loss is None else round(loss, 3),
                round(wait_ms, 1),
                None if offer is None else _spill.log_terms(offer),
            )
        )
        return chosen

    def holds(self, attempt_id: str) -> bool:
        """Returns whether an attempt was placed by another cell."""
        return attempt_id in self._delegated

    def add(self, assignments: tuple[placement.Assignment, ...]) -> None:
        """Announces a new attempt, unless it was placed by another cell."""
        if assignments[0].attempt_id not in self._delegated:
            self.peers.add(assignments)

    def start_decoding(self, attempt_id: str) -> None:
        """Announces that an attempt has started to decode."""
        ip = self._delegated.get(attempt_id)
        if ip is None:
            self.peers.start_decoding(attempt_id)
        else:
            self._report_progress(attempt_id, ip, ended=False)

    def remove(self, attempt_id: str) -> None:
        """Announces the end of an attempt."""
        ip = self._delegated.pop(attempt_id, None)
        if ip is None:
            self.peers.remove(attempt_id)
        else:
            self._report_progress(attempt_id, ip, ended=True)

    def _ask(
        self,
        ip: str,
        service: str,
        prompt: placement.Prompt,
        excluded: set[str],
        max_loss: float,
    ) -> _messages.PlacementReply | None:
        now_ms = self.clock.now_ms()
        restricted = {
            e.id
            for e in self.platform_state.endpoints.values()
            if e.service == service
            and not (
                self.restrictions.accepts(e, now_ms)
                # The other cell uses no endpoints of this one.
                and (
                    self.peers.book.is_in_cell(e.zone)
                    or self._is_open(e.zone, now_ms)
                )
            )
        }
        replied = event.Event()
        self._awaited[prompt.attempt_id] = (ip, replied)
        self.peers.send(
            _messages.PlacementRequest(
                self.peers.name,
                prompt.attempt_id,
                service,
                prompt.tokens,
                prompt.output_tokens,
                prompt.target_ms,
                prompt.remaining_ms,
                prompt.max_gap_ms,
                sorted(excluded | restricted),
                max_loss,
                prompt.team,
            ),
            ip,
        )
        try:
            reply: _messages.PlacementReply | None = replied.wait(
                _REPLY_TIMEOUT_MS / 1000.0
            )
        finally:
            del self._awaited[prompt.attempt_id]
        return reply

    def _handle_reply(self, reply: _messages.PlacementReply, ip: str) -> None:
        # The attempt may have been offered to another instance before.
        asked_ip, replied = self._awaited.get(reply.attempt_id, ("", None))
        if replied is not None and asked_ip == ip and not replied.ready():
            replied.send(reply)
        elif reply.assignments is not None:
            # The reply is late: the prompt was placed elsewhere.
            self._report_progress(reply.attempt_id, ip, ended=True)

    def _to_placement(
        self, reply: _messages.PlacementReply, ip: str, asked_ms: float
    ) -> placement.Placement | None:
        if reply.assignments is None:
            return None
        assignments = _messages.unpack(reply.assignments, self.clock.now_ms())
        known = self.platform_state.endpoints
        if any(
            a.endpoint not in known
            or not self.restrictions.accepts(
                known[a.endpoint], self.clock.now_ms()
            )
            or not self._is_open(known[a.endpoint].zone, self.clock.now_ms())
            for a in assignments
        ):
            self._report_progress(reply.attempt_id, ip, ended=True)
            return None
        self._delegated[reply.attempt_id] = ip
        if reply.permitted:
            self.permits.record_granted(
                reply.attempt_id, assignments[0].endpoint, asked_ms
            )
        endpoints = [known[a.endpoint] for a in assignments]
        return placement.Placement(
            endpoints[0],
            tuple(endpoints[1:]),
            assignments,
            reply.first_event_ms,
            reply.predicted_loss,
            tuple(
                placement.Reservation(known[endpoint], tokens)
                for endpoint, tokens in reply.reservations
            ),
            reply.send_delay_ms,
        )

    def _report_progress(self, attempt_id: str, ip: str, ended: bool) -> None:
        self.peers.send(
            _messages.DelegatedProgress(self.peers.name, attempt_id, ended), ip
        )
