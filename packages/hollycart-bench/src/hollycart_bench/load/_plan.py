"""A seeded open-loop load: who sends what, and when."""

import math
import random
from typing import NamedTuple

from hollycart_bench.load import _workload

ENGINE_RATE = 2048 / 53.2  # prompt tokens per ms of the step model
DECODE_COST = 4.0  # prompt tokens of capacity per answer token
_PREFIXES = 6  # shared prefixes per team
_PREFIX_SHARE = 0.5  # of the requests
_PREFIX_MAX = 24_576  # tokens


class LoadRequest(NamedTuple):
    """One request of the plan.

    Attributes:
        at_ms: When to send it, from the start, in ms.
        team: The team.
        kind: Request kind; the name of the effect for a service call.
        prompt_tokens: Length of the prompt, zero for a service call.
        prefix_tokens: Part that is shared with other requests, in tokens.
        prefix_id: Names the shared part.
        output_tokens: Length of the answer.
        deadline_ms: Time limit, in ms.
        stream: Whether server-sent events are asked for.
        number: Unique in the plan.
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
        """Whether the prompt is short."""
        return 0 < self.prompt_tokens <= _workload.SHORT_LIMIT

    @property
    def is_long(self) -> bool:
        """Whether the prompt is long."""
        return self.prompt_tokens > _workload.LONG_LIMIT

    @property
    def band(self) -> str:
        """Length band of the prompt."""
        if self.is_service_call:
            return "effect"
        if self.is_short:
            return "to 4k"
        if self.prompt_tokens <= 32_768:
            return "to 32k"
        return "over 100k" if self.is_long else "to 100k"


class PlanSpec(NamedTuple):
    """Describes a load.

    Attributes:
        workload: The user.
        load: Offered work relative to the engines' capacity without prefix
            reuse.
        duration_ms: Length of the arrivals, in ms.
        seed: Seed of all draws.
        engines: Number of engines.
        service_calls_per_s: Non-idempotent calls per second.
        surge: Whether the surge kind surges in the middle third.
        short_prompts_only: Leaves out all but the short prompts.
        huge_prompt_count: Adds prompts of 900,000 tokens, this many.
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


def arrival_rate(spec: PlanSpec) -> float:
    """Returns requests per ms for the offered load."""
    workload = spec.workload
    work = sum(
        k.share
        * (
            _workload.mean_length(k.low_tokens, k.high_tokens)
            + DECODE_COST * k.output_tokens
        )
        for k in workload.kinds
    )
    return spec.load * spec.engines * ENGINE_RATE / work


def make_plan(spec: PlanSpec) -> list[LoadRequest]:
    """Draws the arrivals; equal specs give equal plans.

    Example:
        >>> spec = PlanSpec(_workload.HINOKUNI, 0.5, 1000, 1, 14)
        >>> make_plan(spec) == make_plan(spec)
        True
    """
    rng = random.Random(spec.seed)
    plan: list[LoadRequest] = []
    rate = arrival_rate(spec)
    peak = spec.workload.surge_factor if spec.surge else 1.0
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(rate * peak)
        if at_ms >= spec.duration_ms:
            break
        drawn = _draw(spec, rng, at_ms, len(plan))
        keep = _keep_share(spec, drawn, peak)
        if rng.random() < keep:
            plan.append(drawn)
    plan += _effects(spec, rng, len(plan))
    plan += _huge(spec, rng, len(plan))
    if spec.short_prompts_only:
        plan = [a for a in plan if a.is_short]
    plan.sort(key=lambda a: a.at_ms)
    return [a._replace(number=n) for n, a in enumerate(plan)]


def prompt_of(req: LoadRequest, seed: int) -> bytes:
    """Returns the prompt text; equal prefixes share their first bytes."""
    prefix = _text(f"{req.prefix_id}|", req.prefix_tokens * 4)
    rest = req.prompt_tokens * 4 - len(prefix)
    return prefix + _text(f"{seed}:{req.number}|", rest)


def _text(label: str, length: int) -> bytes:
    unit = (label * (1 + 64 // len(label))).encode()
    return (unit * (1 + length // len(unit)))[: max(0, length)]


def _draw(
    spec: PlanSpec, rng: random.Random, at_ms: float, number: int
) -> LoadRequest:
    workload = spec.workload
    kind = rng.choices(workload.kinds, [k.share for k in workload.kinds])[0]
    team = rng.choices(list(workload.teams), list(workload.teams.values()))[0]
    low, high = math.log(kind.low_tokens), math.log(kind.high_tokens)
    tokens = round(math.exp(rng.uniform(low, high)))
    shared = 0
    prefix_id = ""
    if rng.random() < _PREFIX_SHARE:
        prefix_id = f"{kind.name}-{team}-{rng.randrange(_PREFIXES)}"
        shared = min(_PREFIX_MAX, int(tokens * 0.6)) // 1024 * 1024
    stream = rng.random() < spec.stream_share
    return LoadRequest(
        at_ms,
        team,
        kind.name,
        tokens,
        shared,
        prefix_id,
        kind.output_tokens,
        kind.deadline_ms,
        stream,
        number,
    )


def _keep_share(spec: PlanSpec, drawn: LoadRequest, peak: float) -> float:
    third = spec.duration_ms / 3
    surging = third <= drawn.at_ms < 2 * third
    if drawn.kind == spec.workload.surge_kind and surging:
        return 1.0
    return 1.0 / peak


def _effects(
    spec: PlanSpec, rng: random.Random, first: int
) -> list[LoadRequest]:
    found: list[LoadRequest] = []
    at_ms = 0.0
    teams = list(spec.workload.teams)
    while spec.service_calls_per_s > 0:
        at_ms += rng.expovariate(spec.service_calls_per_s / 1000.0)
        if at_ms >= spec.duration_ms:
            break
        found.append(
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
                first + len(found),
            )
        )
    return found


def _huge(spec: PlanSpec, rng: random.Random, first: int) -> list[LoadRequest]:
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
            first + number,
        )
        for number in range(spec.huge_prompt_count)
    ]
