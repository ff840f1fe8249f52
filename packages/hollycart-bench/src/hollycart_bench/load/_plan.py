"""Seeded open-loop load: Poisson arrivals of requests by team and kind."""

import math
import random
from typing import NamedTuple

from hollycart_bench.load import _workload

# Prefill rate of an engine: a full step of `engine.StepModel` processes 2048
# prompt tokens in 53.2 ms.
PREFILL_TOKENS_PER_MS = 2048 / 53.2
DECODE_COST = 4.0  # cost of an output token, in prompt tokens
_PREFIX_COUNT = 6  # shared prefixes per team and request kind
_PREFIX_SHARE = 0.5  # share of requests with a shared prefix
_MAX_PREFIX_TOKENS = 24_576


class LoadRequest(NamedTuple):
    """One request of the plan.

    Attributes:
        at_ms: Time to send it, from the start of the plan, in ms.
        team: Team that sends it.
        kind: Request kind; `Workload.service_call_kind` for a service call.
        prompt_tokens: Length of the prompt, in tokens; zero for a service call.
        prefix_tokens: Length of the prefix shared with other requests, in
            tokens.
        prefix_id: Id of the shared prefix; empty without one.
        output_tokens: Length of the answer, in tokens.
        deadline_ms: Deadline, in ms from the start of the request.
        stream: Whether the response is a stream of server-sent events.
        number: Unique number; in a plan of `make_plan`, the index.
    """

    at_ms: float
    team: str
    kind: str
    prompt_tokens: int
    prefix_tokens: int
    prefix_id: str
    output_tokens: int
    deadline_ms: int
    stream: bool
    number: int

    @property
    def is_service_call(self) -> bool:
        """Whether it is a non-idempotent call to the plain service."""
        return self.prompt_tokens == 0

    @property
    def is_short(self) -> bool:
        """Whether the prompt has at most `SHORT_PROMPT_MAX_TOKENS`."""
        return 0 < self.prompt_tokens <= _workload.SHORT_PROMPT_MAX_TOKENS

    @property
    def is_long(self) -> bool:
        """Whether the prompt exceeds `LONG_PROMPT_THRESHOLD_TOKENS`."""
        return self.prompt_tokens > _workload.LONG_PROMPT_THRESHOLD_TOKENS

    @property
    def band(self) -> str:
        """Length band of the prompt; `effect` for a service call."""
        if self.is_service_call:
            return "effect"
        if self.is_short:
            return "to 4k"
        if self.prompt_tokens <= 32_768:
            return "to 32k"
        return "over 100k" if self.is_long else "to 100k"


class PlanSpec(NamedTuple):
    """Parameters of a load.

    Attributes:
        workload: Request kinds and teams.
        load: Offered load relative to the engines' capacity without prefix
            caching.
        duration_ms: Time span of the arrivals, in ms.
        seed: Seed of the random draws.
        engines: Number of engines.
        service_calls_per_s: Rate of non-idempotent service calls.
        surge: Whether the surge kind arrives `surge_factor` times as often in
            the middle third of the time span.
        short_prompts_only: Whether to drop all requests but short prompts,
            after the draws.
        huge_prompt_count: Number of added prompts of 900,000 tokens.
        stream_share: Share of streaming requests.
    """

    workload: _workload.Workload
    load: float
    duration_ms: float
    seed: int
    engines: int
    service_calls_per_s: float = 0.0
    surge: bool = False
    short_prompts_only: bool = False
    huge_prompt_count: int = 0
    stream_share: float = 1.0


def arrival_rate_per_ms(spec: PlanSpec) -> float:
    """Returns the arrival rate of the offered load, in requests per ms."""
    workload = spec.workload
    mean_work_tokens = sum(
        k.share
        * (
            _workload.mean_length(k.min_prompt_tokens, k.max_prompt_tokens)
            + DECODE_COST * k.output_tokens
        )
        for k in workload.kinds
    )
    return spec.load * spec.engines * PREFILL_TOKENS_PER_MS / mean_work_tokens


def make_plan(spec: PlanSpec) -> list[LoadRequest]:
    """Draws the requests of a load; equal specs give equal plans.

    The arrivals are a Poisson process. For a surge, candidates are drawn at the
    peak rate, and all but the requests of the surge are thinned out to the
    normal rate.

    Example:
        >>> spec = PlanSpec(_workload.HINOKUNI, 0.5, 1000, 1, 14)
        >>> make_plan(spec) == make_plan(spec)
        True
    """
    rng = random.Random(spec.seed)
    plan: list[LoadRequest] = []
    rate_per_ms = arrival_rate_per_ms(spec)
    peak_factor = spec.workload.surge_factor if spec.surge else 1.0
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(rate_per_ms * peak_factor)
        if at_ms >= spec.duration_ms:
            break
        candidate = _draw_request(spec, rng, at_ms, len(plan))
        acceptance_probability = _acceptance_probability(
            spec, candidate, peak_factor
        )
        if rng.random() < acceptance_probability:
            plan.append(candidate)
    plan += _draw_service_calls(spec, rng, len(plan))
    plan += _draw_huge_prompts(spec, rng, len(plan))
    if spec.short_prompts_only:
        plan = [r for r in plan if r.is_short]
    plan.sort(key=lambda r: r.at_ms)
    return [r._replace(number=n) for n, r in enumerate(plan)]


def make_prompt(req: LoadRequest, seed: int) -> bytes:
    """Returns the prompt text, at 4 bytes per token.

    Prompts with the same `prefix_id` start with the same bytes. The rest of
    each text starts with the seed and the request number, so it is unique.
    """
    prefix = _repeat_label(f"{req.prefix_id}|", req.prefix_tokens * 4)
    rest = req.prompt_tokens * 4 - len(prefix)
    return prefix + _repeat_label(f"{seed}:{req.number}|", rest)


def _repeat_label(label: str, length: int) -> bytes:
    unit = (label * (1 + 64 // len(label))).encode()
    return (unit * (1 + length // len(unit)))[: max(0, length)]


def _draw_request(
    spec: PlanSpec, rng: random.Random, at_ms: float, number: int
) -> LoadRequest:
    workload = spec.workload
    kind = rng.choices(workload.kinds, [k.share for k in workload.kinds])[0]
    team = rng.choices(list(workload.teams), list(workload.teams.values()))[0]
    low, high = (
        math.log(kind.min_prompt_tokens),
        math.log(kind.max_prompt_tokens),
    )
    tokens = round(math.exp(rng.uniform(low, high)))
    shared_tokens = 0
    prefix_id = ""
    if rng.random() < _PREFIX_SHARE:
        prefix_id = f"{kind.name}-{team}-{rng.randrange(_PREFIX_COUNT)}"
        shared_tokens = (
            min(_MAX_PREFIX_TOKENS, int(tokens * 0.6)) // 1024 * 1024
        )
    stream = rng.random() < spec.stream_share
    return LoadRequest(
        at_ms,
        team,
        kind.name,
        tokens,
        shared_tokens,
        prefix_id,
        kind.output_tokens,
        kind.deadline_ms,
        stream,
        number,
    )


def _acceptance_probability(
    spec: PlanSpec, candidate: LoadRequest, peak_factor: float
) -> float:
    third = spec.duration_ms / 3
    surging = third <= candidate.at_ms < 2 * third
    if candidate.kind == spec.workload.surge_kind and surging:
        return 1.0
    return 1.0 / peak_factor


def _draw_service_calls(
    spec: PlanSpec, rng: random.Random, first_number: int
) -> list[LoadRequest]:
    service_calls: list[LoadRequest] = []
    at_ms = 0.0
    teams = list(spec.workload.teams)
    while spec.service_calls_per_s > 0:
        at_ms += rng.expovariate(spec.service_calls_per_s / 1000.0)
        if at_ms >= spec.duration_ms:
            break
        service_calls.append(
            LoadRequest(
                at_ms,
                rng.choice(teams),
                spec.workload.service_call_kind,
                0,
                0,
                "",
                0,
                10_000,
                False,
                first_number + len(service_calls),
            )
        )
    return service_calls


def _draw_huge_prompts(
    spec: PlanSpec, rng: random.Random, first_number: int
) -> list[LoadRequest]:
    kind = spec.workload.kinds[-1]
    return [
        LoadRequest(
            rng.uniform(0, spec.duration_ms * 0.5),
            rng.choice(list(spec.workload.teams)),
            kind.name,
            900_000,
            0,
            "",
            kind.output_tokens,
            kind.deadline_ms,
            True,
            first_number + number,
        )
        for number in range(spec.huge_prompt_count)
    ]
