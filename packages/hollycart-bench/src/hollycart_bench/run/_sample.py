"""The sample run: a complete system under the mixed load of each workload."""

import pathlib
import sys
import time

from hollycart_bench import fleet
from hollycart_bench import load

_ACCEPTED_OUTCOMES = ("ok",)


def run_sample(log_dir: pathlib.Path, duration_s: float, seed: int) -> int:
    """Runs the system under load and prints what the clients observed.

    Args:
        log_dir: Directory for the output of the processes.
        duration_s: Time during which requests arrive, per workload, in seconds.
        seed: Seed of the load.

    Returns:
        Zero if every request succeeded and every instance exited with zero,
        otherwise one.
    """
    failed = 0
    for workload in load.WORKLOADS.values():
        failed += _run_workload(workload, log_dir, duration_s, seed)
    return 1 if failed else 0


def _run_workload(
    workload: load.Workload,
    log_dir: pathlib.Path,
    duration_s: float,
    seed: int,
) -> int:
    spec = fleet.FleetSpec(engines=workload.engines)
    system = fleet.Fleet(spec, log_dir / workload.name)
    _print_line(f"{workload.name}: starting {spec.instances} instances")
    try:
        system.start()
        system.load_table(workload.table_csv(), list(workload.teams))
        client = load.LoadClient(
            spec.model, system.keys, lambda _: system.balancer_address, seed
        )
        plan = load.make_plan(
            load.PlanSpec(
                workload,
                0.5,
                duration_s * 1000.0,
                seed,
                workload.engines,
                service_calls_per_s=5.0,
                huge_prompt_count=1,
                stream_share=0.8,
            )
        )
        _print_line(f"{workload.name}: sending {len(plan)} requests")
        progress = _Progress(len(plan))
        results = client.run(plan, progress.record)
        codes = system.stop_gracefully()
        return _print_results(results, codes)
    finally:
        system.close()


class _Progress:
    """Prints the number of answered requests every five seconds."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.done = 0
        self._last_print_s = time.monotonic()

    def record(self, result: load.CallResult) -> None:
        del result
        self.done += 1
        if time.monotonic() - self._last_print_s >= 5.0:
            self._last_print_s = time.monotonic()
            _print_line(f"  {self.done} of {self.total} answered")


def _print_results(
    results: list[load.CallResult], codes: dict[str, int]
) -> int:
    _print_line("time to first token by prompt length, ms")
    _print_line(load.format_table(load.first_token_table(results)))
    _print_line("outcomes by request kind")
    _print_line(load.format_table(load.outcome_table(results)))
    _print_line(f"exit codes of the instances: {codes}")
    failed = [r for r in results if r.outcome not in _ACCEPTED_OUTCOMES]
    for result in failed[:10]:
        _print_line(f"  {result.outcome} {result.status} {result.req}")
    return len(failed) + sum(1 for c in codes.values() if c != 0)


def _print_line(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
