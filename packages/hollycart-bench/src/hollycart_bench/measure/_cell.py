"""One cell of an experiment: a user, a policy, a load and a seed."""

import pathlib
import time
from typing import Any
from typing import NamedTuple

from hollycart_bench import fleet
from hollycart_bench import load

SHORT_ONLY_POLICY = "short alone"
SPLIT_POLICY = "split"
BASELINES = (
    "random",
    "round-robin",
    "least-requests",
    "least-tokens",
    "prefix-affinity",
)


class CellSpec(NamedTuple):
    """Describes a cell.

    Attributes:
        user: Name of the workload.
        policy: Placement policy; `short alone` for the split policy with only
            the short prompts of the load.
        load: Offered load relative to the engines' capacity without prefix
            caching.
        seed: Seed of the load; equal seeds send the same requests.
        duration_s: Time over which requests arrive, in seconds.
        surge: Whether the user's surge is part of the load.
        settings: Further environment variables of the instances.
    """

    user: str
    policy: str
    load: float
    seed: int
    duration_s: float
    surge: bool = False
    settings: dict[str, str] = {}


class CellResult(NamedTuple):
    """Figures of one cell.

    Attributes:
        spec: Description of the cell.
        bands: Count and percentiles of time to first token by band, in ms.
        outcomes: Number of requests by request kind and outcome.
        goodput: Prompt tokens per second of requests answered in time.
        long_goodput: The same for long prompts.
        offered: Prompt tokens per second of all requests.
        team_tokens: Prompt tokens of requests answered in time, by team.
        team_offered: Prompt tokens of all requests, by team.
        refused_ms: 95th percentile of the time to a refusal, in ms.
        refused_untold: Number of refusals without a time to retry after.
        cached_share: Share of the prompt tokens of answered requests that were
            found in the prefix cache.
        gap_p95_ms: 95th percentile of the longest gap between two tokens of an
            answer, in ms.
        cpu_ms_per_request: Processor time of all instances per request, in ms.
        max_stall_ms: Longest stall of an instance's event loop, in ms.
    """

    spec: CellSpec
    bands: dict[str, dict[str, float]]
    outcomes: dict[str, dict[str, int]]
    goodput: float
    long_goodput: float
    offered: float
    team_tokens: dict[str, float]
    team_offered: dict[str, float]
    refused_ms: float
    refused_untold: int
    cached_share: float
    gap_p95_ms: float
    cpu_ms_per_request: float
    max_stall_ms: float


def run_cell(spec: CellSpec, log_dir: pathlib.Path) -> CellResult:
    """Runs one cell in a fleet of its own.

    Args:
        spec: Description of the cell.
        log_dir: Folder for the output of the processes.

    Returns:
        Figures of the cell.
    """
    workload = load.WORKLOADS[spec.user]
    policy = SPLIT_POLICY if spec.policy == SHORT_ONLY_POLICY else spec.policy
    settings = {
        "HOLLYCART_POLICY": policy,
        "HOLLYCART_VERBOSITY": "-1",
        **spec.settings,
    }
    system = fleet.Fleet(
        fleet.FleetSpec(
            engines=workload.engines,
            engines_per_process=5,
            services=3,
            balancer=False,
            settings=settings,
        ),
        log_dir,
    )
    try:
        system.start()
        system.load_table(workload.table_csv(), list(workload.teams))
        return _run_load(spec, workload, system)
    finally:
        system.close()


def _run_load(
    spec: CellSpec, workload: load.Workload, system: fleet.Fleet
) -> CellResult:
    plan = load.make_plan(
        load.PlanSpec(
            workload,
            spec.load,
            spec.duration_s * 1000.0,
            spec.seed,
            workload.engines,
            surge=spec.surge,
            short_prompts_only=spec.policy == SHORT_ONLY_POLICY,
        )
    )
    names = system.instance_names()
    client = load.LoadClient(
        system.spec.model,
        system.keys,
        lambda request: (
            system.entries[names[request.number % len(names)]].address
        ),
        spec.seed,
    )
    cpu_before = _cpu_s(system)
    started = time.monotonic()
    results = client.run(plan)
    elapsed_s = time.monotonic() - started
    cpu_s = _cpu_s(system) - cpu_before
    stalls = [system.status(n)["max_stall_ms"] for n in names]
    return _summarize(spec, results, elapsed_s, cpu_s, max(stalls))


def _cpu_s(system: fleet.Fleet) -> float:
    return sum(system.status(n)["cpu_s"] for n in system.instance_names())


def _summarize(
    spec: CellSpec,
    results: list[load.CallResult],
    elapsed_s: float,
    cpu_s: float,
    stall_ms: float,
) -> CellResult:
    completed = [r for r in results if r.outcome == "ok"]
    refused = [r for r in results if r.outcome == "refused"]
    completed_tokens = sum(r.req.prompt_tokens for r in completed)
    return CellResult(
        spec,
        load.first_token_table(results),
        load.outcome_table(results),
        completed_tokens / elapsed_s,
        sum(r.req.prompt_tokens for r in completed if r.req.is_long)
        / elapsed_s,
        sum(r.req.prompt_tokens for r in results) / spec.duration_s,
        _by_team(completed),
        _by_team(results),
        load.percentile((r.total_ms for r in refused), 95),
        sum(r.retry_after_ms <= 0 for r in refused),
        sum(r.cached_tokens for r in completed) / max(1, completed_tokens),
        load.percentile((r.longest_gap_ms for r in completed), 95),
        cpu_s * 1000.0 / max(1, len(results)),
        stall_ms,
    )


def _by_team(results: list[load.CallResult]) -> dict[str, float]:
    tokens: dict[str, float] = {}
    for result in results:
        team = result.req.team
        tokens[team] = tokens.get(team, 0.0) + result.req.prompt_tokens
    return tokens


def to_json(result: CellResult) -> dict[str, Any]:
    """Returns a result as values that msgspec encodes with their names."""
    return {**result._asdict(), "spec": result.spec._asdict()}
