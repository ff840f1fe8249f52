"""Tells where a request would be sent now, and why, without sending it."""

from collections.abc import Sequence
import math
from typing import NamedTuple
from typing import cast

from hollycart.gateway import _admission
from hollycart.gateway import _codec
from hollycart.gateway import _exclusions
from hollycart.gateway import _forwarder
from hollycart.gateway import _job
from hollycart.gateway import _previews
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import dry_run
from hollycart_core import placement
from hollycart_core import routing

# Bounds on the size of an answer.
_MAX_CANDIDATES = 50
_MAX_TRAITS = 20
_ATTEMPT_ID = "where"
# Work of one candidate's prediction, in units of the work meter, some 50 us
# each: the other requests of the instance are served meanwhile.
_PREDICTION_UNITS = 4


class _Call(NamedTuple):
    """What admission reads of a caller's exchange; nothing responds to it."""

    head: connections.RequestHead
    body: bytes
    received_ms: float


class PlacementDryRun:
    """Decides on requests as a forwarder would, without effects.

    No permit is taken, no other cell is asked, and nothing is announced,
    logged or counted.

    Args:
        forwarder: Forwards the requests of callers.
    """

    def __init__(self, forwarder: _forwarder.Forwarder) -> None:
        self.forwarder = forwarder

    def run(self, query: dry_run.Query) -> dry_run.Answer:
        """Returns where a request would be sent now.

        Raises:
            NotFoundError: If no route matches.
        """
        forwarder = self.forwarder
        state, now_ms = forwarder.platform_state, forwarder.clock.now_ms()
        cfg, age_ms = state.config, state.freshness.age_ms(now_ms)
        answer = dry_run.Answer(
            forwarder.peers.name,
            forwarder.zone,
            cfg.version if cfg else 0,
            round(age_ms, 1) if math.isfinite(age_ms) else None,
            state.freshness.is_fresh(now_ms),
            forwarder.reported_load.contact.is_isolated,
        )
        meta, call = _make_call(query, _find_key(cfg, query.team), now_ms)
        decision = _Decision(forwarder, answer, now_ms)
        try:
            request = forwarder.admission.admit(call, meta)
        except base.NotFoundError:
            raise
        except base.HollycartError as exc:
            decision.refuse(exc)
            if cfg is None:
                return answer
        else:
            if not query.team:
                request = self._resolve(meta, call, None)
            answer.team = request.team.name if request.team else ""
            decision.place(request)
        return self._add_candidates(decision, meta, call)

    def _add_candidates(
        self,
        decision: "_Decision",
        meta: _codec.RequestMeta,
        call: connections.Exchange,
    ) -> dry_run.Answer:
        """Adds what is known without admission, for refused requests too."""
        answer = decision.answer
        cfg, route = self.forwarder.admission.match(meta)
        answer.route = route.name
        answer.service = _admission.choose_service(cfg, route, meta)
        if answer.service not in cfg.services:
            return answer
        request = self._resolve(meta, call, cfg.find_team(meta.api_key))
        entries = self.forwarder.guard.quarantine.entries
        answer.quarantined = sorted(
            e.trait
            for e in entries
            if e.service == answer.service and not e.released
        )[:_MAX_TRAITS]
        decision.describe_offer(request)
        decision.describe_candidates(request)
        return answer

    def _resolve(
        self,
        meta: _codec.RequestMeta,
        call: connections.Exchange,
        team: routing.Team | None,
    ) -> _job.AdmittedRequest:
        admission = self.forwarder.admission
        cfg, route = admission.match(meta)
        return admission.resolve(call, meta, cfg, route, team)


class _Decision:
    """One decision, by stand-ins of what has effects."""

    def __init__(
        self,
        forwarder: _forwarder.Forwarder,
        answer: dry_run.Answer,
        now_ms: float,
    ) -> None:
        self.forwarder = forwarder
        self.answer = answer
        self.now_ms = now_ms
        self.permits = _previews.PermitPreview(forwarder.permits)
        self.offers = _previews.OfferPreview(
            forwarder.delegator, forwarder.spill.preview()
        )
        self.chooser = _previews.preview_chooser(
            forwarder.chooser, self.permits, self.offers
        )

    def refuse(
        self, exc: base.HollycartError, is_minimum: bool = False
    ) -> None:
        """Records the error response that the request would get."""
        self.answer.refusal = dry_run.Refusal(
            exc.http_status,
            exc.code,
            exc.detail,
            None
            if exc.retry_after_ms is None
            else round(exc.retry_after_ms, 1),
            is_minimum,
        )

    def place(self, request: _job.AdmittedRequest) -> None:
        """Places a request that has been admitted."""
        progress = _job.Progress("")
        guard = self.forwarder.guard
        try:
            self.forwarder.check_deadline(request)
            progress.trial = guard.preview_trial(request)
            progress.is_isolated = guard.should_isolate(request, progress)
            chosen = self.chooser.choose(
                request, progress, _ATTEMPT_ID, self.now_ms
            )
        except base.QuarantinedError as exc:
            self.refuse(exc, is_minimum=True)
            return
        except base.HollycartError as exc:
            self.refuse(exc, self.permits.has_planned_return)
            return
        has_prompt = bool(chosen.assignments)
        self.answer.chosen = dry_run.Chosen(
            chosen.endpoint.id,
            chosen.endpoint.zone,
            [h.id for h in chosen.helpers],
            round(chosen.first_event_ms, 1) if has_prompt else None,
            round(chosen.predicted_loss, 3) if has_prompt else None,
            {r.endpoint.id: r.tokens for r in chosen.reservations},
            round(chosen.send_delay_ms, 1),
            self.permits.needs_permit(chosen.endpoint),
            progress.trial is not None,
        )

    def describe_offer(self, request: _job.AdmittedRequest) -> None:
        """Adds whether the prompt would be offered to other cells."""
        prompt = self._make_prompt(request)
        if prompt is None or not self.forwarder.peers.book.other_cells:
            return
        own = self.offers.own
        self.answer.offer = dry_run.Offer(
            self.offers.is_made,
            round(self.offers.min_loss(prompt), 3),
            round(own.predicted_loss, 3) if own else None,
            self.offers.open_cells(self.now_ms),
            self.offers.weighs_gain,
        )

    def describe_candidates(self, request: _job.AdmittedRequest) -> None:
        """Adds the endpoints of the service, the best ones first."""
        forwarder = self.forwarder
        prompt = self._make_prompt(request)
        exclusions = _exclusions.EndpointExclusions(
            forwarder.platform_state,
            forwarder.health,
            forwarder.restrictions,
            self.permits,
            forwarder.peers.book,
        )
        meter = base.WorkMeter("where")
        ranked: list[tuple[tuple[bool, float, bool], dry_run.Candidate]] = []
        for endpoint in list(forwarder.platform_state.endpoints.values()):
            if endpoint.service != request.service.name:
                continue
            candidate = self._describe(endpoint, request, prompt, exclusions)
            loss = candidate.loss
            if prompt is None:
                loss = candidate.running / max(1, endpoint.slots)
            rank = (
                bool(candidate.exclusions),
                float("inf") if loss is None else loss,
                endpoint.zone != forwarder.zone,
            )
            ranked.append((rank, candidate))
            meter.add(_PREDICTION_UNITS)
        ranked.sort(key=lambda r: (r[0], r[1].endpoint))
        candidates = [candidate for _, candidate in ranked]
        self.answer.candidates = candidates[:_MAX_CANDIDATES]
        self.answer.omitted = _count(candidates[_MAX_CANDIDATES:])

    def _describe(
        self,
        endpoint: placement.Endpoint,
        request: _job.AdmittedRequest,
        prompt: placement.Prompt | None,
        exclusions: _exclusions.EndpointExclusions,
    ) -> dry_run.Candidate:
        found = exclusions.find(endpoint, self.now_ms, prompt is not None)
        alone = None
        running = self.chooser.in_flight[endpoint.id]
        if prompt is not None:
            assert request.service.engine is not None
            alone = self.chooser.placer.choose(
                prompt,
                self.chooser.model(request.service.engine),
                [endpoint],
                self.now_ms,
            )
            running = len(
                list(self.chooser.placer.view.on_endpoint(endpoint.id))
            )
            if alone is None:
                found.append(dry_run.Exclusion.MEMORY)
        return dry_run.Candidate(
            endpoint.id,
            endpoint.zone,
            round(alone.first_event_ms, 1) if alone else None,
            round(alone.predicted_loss, 3) if alone else None,
            running,
            [str(exclusion) for exclusion in found],
            round(exclusions.wait_ms(endpoint, self.now_ms), 1),
        )

    def _make_prompt(
        self, request: _job.AdmittedRequest
    ) -> placement.Prompt | None:
        if request.service.engine is None or not request.meta.prompt_tokens:
            return None
        return self.chooser.make_prompt(
            request, _job.Progress(""), _ATTEMPT_ID, self.now_ms
        )


def _find_key(cfg: routing.RoutingConfig | None, team: str) -> str:
    """Returns a key of a team, or of any team if none is named."""
    for known in (cfg.teams if cfg else None) or ():
        if known.api_keys and team in ("", known.name):
            return known.api_keys[0]
    return ""


def _make_call(
    query: dry_run.Query, api_key: str, now_ms: float
) -> tuple[_codec.RequestMeta, connections.Exchange]:
    meta = _codec.RequestMeta(
        query.request_id,
        query.host,
        query.path.partition("?")[0],
        query.timeout_ms,
        api_key,
        query.prompt_tokens,
        query.output_tokens,
        "",
    )
    head = connections.RequestHead(
        query.method.encode(), query.path.encode(), ()
    )
    return meta, cast(connections.Exchange, _Call(head, b"", now_ms))


def _count(candidates: Sequence[dry_run.Candidate]) -> dry_run.Omitted:
    counts: dict[str, int] = {}
    for candidate in candidates:
        for exclusion in candidate.exclusions:
            counts[exclusion] = counts.get(exclusion, 0) + 1
    usable = sum(not c.exclusions for c in candidates)
    return dry_run.Omitted(len(candidates), usable, counts)
