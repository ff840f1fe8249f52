"""Refuses late prompts of teams that exceed their share of scarce capacity."""

import copy

from hollycart import observe
from hollycart.gateway import _job
from hollycart.gateway import _peers
from hollycart.gateway import _settings
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement

# Callers honour a Retry-After of up to this share of the time they have left.
_MAX_RETURN_SHARE = 1.0 / 3.0
# A caller whose timeout is shorter than this share of the longest one seen on
# its route has spent the rest on earlier requests.
_FIRST_TIMEOUT_SHARE = 0.95


class ShareGuard:
    """Decides which team's prompts give way while capacity is scarce.

    A prompt gives way only if it is late in any case, its team exceeds its
    share, and a team within its share has late prompts. Callers that return, or
    that have no time to, are refused only if the team takes a multiple of its
    share. The usage of the teams is that of the assignments that the instances
    announce to each other, so that no message is added.

    Args:
        peers: Load of all instances, and their number.
        platform_state: Endpoints in force.
        metrics: Receives counts.
        clock: Source of time.
        policy: What the deployment asks of policies under load.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        platform_state: _state.PlatformState,
        metrics: observe.Metrics,
        clock: base.Clock,
        policy: _settings.PolicySettings,
    ) -> None:
        self.peers = peers
        self.platform_state = platform_state
        self.metrics = metrics
        self.clock = clock
        self.policy = policy
        self._return_times = placement.ReturnTimes()
        self._longest_timeouts_ms: dict[str, float] = {}

    def preview(self) -> "ShareGuard":
        """Returns a guard that decides as this one, without effects on it."""
        guard = ShareGuard(
            self.peers,
            self.platform_state,
            observe.Metrics(),
            self.clock,
            self.policy,
        )
        guard._return_times = copy.copy(self._return_times)
        guard._longest_timeouts_ms = dict(self._longest_timeouts_ms)
        return guard

    def team_of(self, request: _job.AdmittedRequest) -> str:
        """Returns the team that shares capacity; empty if teams do not."""
        if not self.policy.fair_shares or request.team is None:
            return ""
        return request.team.name

    def check(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        prompt: placement.Prompt,
        chosen: placement.Placement,
        model: placement.EngineModel,
    ) -> None:
        """Refuses a prompt that gives way to other teams.

        Args:
            request: The request.
            progress: State of the request; only its first attempt is checked.
            prompt: The prompt.
            chosen: Its best placement.
            model: Step model of the service.

        Raises:
            OverloadedError: If the prompt gives way; it has not been executed.
        """
        if not prompt.team:
            return
        returned = self._has_returned(request)
        if (
            chosen.first_event_ms <= prompt.target_ms
            or progress.attempts_sent
            or progress.rejections
        ):
            return
        now_ms = self.clock.now_ms()
        usage = self.measure(request.service.name, now_ms)
        if not usage.gives_way(prompt.team):
            return
        retry_after_ms = self._plan_return(
            request, prompt, chosen, model, usage, now_ms
        )
        has_time = prompt.remaining_ms - retry_after_ms > chosen.first_event_ms
        can_return = has_time and not returned
        if not usage.gives_way(prompt.team, can_return=can_return):
            return
        self.metrics.count("refused.share")
        raise base.OverloadedError(
            f"first event in {chosen.first_event_ms:.0f} ms, target "
            f"{prompt.target_ms:.0f} ms; team {prompt.team} has "
            f"{usage.share(prompt.team):.2f} of the work of {len(usage.work)} "
            f"teams; {sum(usage.late.values())} of {usage.recent} recent "
            "prompts are late",
            retry_after_ms,
        )

    def measure(self, service: str, now_ms: float) -> placement.TeamUsage:
        """Returns the usage of a service's endpoints in the own cell."""
        return placement.measure_usage(
            (
                assignment
                for endpoint in self.platform_state.endpoints.values()
                if endpoint.service == service
                and self.peers.book.is_in_cell(endpoint.zone)
                for assignment in self.peers.view.on_endpoint(endpoint.id)
            ),
            now_ms,
        )

    def _has_returned(self, request: _job.AdmittedRequest) -> bool:
        """Returns whether the caller has spent time on earlier requests."""
        if request.meta.caller_timeout_ms is None:
            return False
        # A caller may wait for longer than its route allows.
        timeout_ms = min(
            request.meta.caller_timeout_ms, request.route.timeout_ms
        )
        longest_ms = max(
            timeout_ms, self._longest_timeouts_ms.get(request.route.name, 0.0)
        )
        self._longest_timeouts_ms[request.route.name] = longest_ms
        return timeout_ms < _FIRST_TIMEOUT_SHARE * longest_ms

    def _plan_return(
        self,
        request: _job.AdmittedRequest,
        prompt: placement.Prompt,
        chosen: placement.Placement,
        model: placement.EngineModel,
        usage: placement.TeamUsage,
        now_ms: float,
    ) -> float:
        """Returns the Retry-After of a prompt that gives way, in ms."""
        # In a steady state, as many slots become free as answers end.
        slot_interval_ms = model.usual_answer_ms / max(1, usage.recent)
        instances = len(self.peers.live()) + 1
        return max(
            placement.MIN_RETRY_AFTER_MS,
            self._return_times.plan(
                chosen.first_event_ms - prompt.target_ms,
                slot_interval_ms * instances,
                _MAX_RETURN_SHARE * (request.deadline_ms - now_ms),
                now_ms,
            ),
        )
