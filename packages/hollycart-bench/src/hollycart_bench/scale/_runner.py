"""Measures the system at several sizes and extrapolates to the target."""

import pathlib
import sys
import tempfile
import time
from typing import NamedTuple

import eventlet
import msgspec

from hollycart_bench import fleet
from hollycart_bench import load
from hollycart_bench.scale import _fit
from hollycart_bench.scale import _probe

# Target: 370 instances and 2400 engines in 24 cells, 6900 teams, 2400 requests
# per second, 3400 table changes per day and 790,000 tokens per second.
TARGET_CELL_INSTANCES = 370 / 24
TARGET_CELL_ENGINES = 2400 / 24
TARGET_TEAMS = 6900
TARGET_REQUESTS_PER_INSTANCE = 2400 / 370
TARGET_REQUESTS_PER_CELL = 2400 / 24
TARGET_CHANGES_PER_MINUTE = 3400 / 1440
TARGET_TOKENS_PER_INSTANCE = 790_000 / 370

_SETTLE_TIME_S = 4.0  # from the start of an idle cell to its measurement
_PROMPT_TOKENS = 256


class Sizes(NamedTuple):
    """Sizes that a run measures.

    Attributes:
        instances: Numbers of instances of an idle cell.
        engines: Numbers of engines of an idle cell.
        teams: Numbers of teams in the table.
        changes: Changes of the table per minute.
        rates: Requests per second to a cell of six instances.
        answer_tokens: Lengths of an answer, in tokens, for the cost per token.
        window_s: Length of a measurement, in seconds.
    """

    instances: tuple[int, ...] = (6, 12, 24, 48)
    engines: tuple[int, ...] = (34, 100, 300)
    teams: tuple[int, ...] = (10, 700, 3400, 6900)
    changes: tuple[int, ...] = (1, 10, 100)
    rates: tuple[int, ...] = (10, 30, 60, 90)
    answer_tokens: tuple[int, ...] = (8, 64, 160)
    window_s: float = 12.0


class Measurement(NamedTuple):
    """One measured figure at one size.

    Attributes:
        dimension: Name of the quantity that is varied.
        size: Value of the varied quantity.
        figure: Name of the measured figure, with its unit.
        value: Measured value.
    """

    dimension: str
    size: float
    figure: str
    value: float


class Extrapolation(NamedTuple):
    """A figure that is extrapolated to the target.

    Attributes:
        dimension: Name of the quantity that is varied.
        figure: Name of the measured figure, with its unit.
        target: Size at the target.
        value: Value of the fitted line at the target.
        error: Upper bound on the half width of the value's 95% interval.
        slope: Change of the figure per unit of size.
        slope_error: Half width of the 95% interval of the slope.
    """

    dimension: str
    figure: str
    target: float
    value: float
    error: float
    slope: float
    slope_error: float


_TARGETS = {
    "instances": TARGET_CELL_INSTANCES,
    "engines": TARGET_CELL_ENGINES,
    "teams": TARGET_TEAMS,
    "changes/min": TARGET_CHANGES_PER_MINUTE,
    "requests/s at the owner": TARGET_REQUESTS_PER_CELL,
    "requests/s at an entry": TARGET_REQUESTS_PER_INSTANCE,
    "tokens/s at an entry": TARGET_TOKENS_PER_INSTANCE,
}


class ScaleRun:
    """Measures all sizes and prints figures, slopes and the extrapolation.

    Args:
        sizes: Sizes that are measured.
        out: Folder for the results.
    """

    def __init__(self, sizes: Sizes, out: pathlib.Path) -> None:
        self.sizes = sizes
        self.out = out
        self.rows: list[Measurement] = []

    def run(self) -> list[Extrapolation]:
        """Measures all sizes; returns the figures at the target."""
        self.out.mkdir(parents=True, exist_ok=True)
        for count in self.sizes.instances:
            self._measure_idle("instances", count, instances=count, engines=34)
        for count in self.sizes.engines:
            self._measure_idle("engines", count, instances=6, engines=count)
        for count in self.sizes.teams:
            self._measure_table_size(count)
        self._measure_change_rates()
        self._measure_request_rates()
        self._measure_token_cost()
        found = extrapolate(self.rows)
        data = {"rows": self.rows, "target": found}
        (self.out / "scale.json").write_bytes(msgspec.json.encode(data))
        _print_line(format_extrapolation(found))
        return found

    def _add(
        self, dimension: str, size: float, figure: str, value: float
    ) -> None:
        self.rows.append(Measurement(dimension, size, figure, value))
        _print_line(f"{dimension:>26} {size:8.1f}  {figure}: {value:.4f}")

    def _make_fleet(self, instances: int, engines: int) -> fleet.Fleet:
        spec = fleet.FleetSpec(
            instances=instances,
            engines=engines,
            engines_per_process=25,
            balancer=False,
            start_interval_s=0.05,
            settings={"HOLLYCART_VERBOSITY": "-1"},
        )
        return fleet.Fleet(spec, self.out / f"i{instances}e{engines}")

    def _measure_idle(
        self, dimension: str, size: int, instances: int, engines: int
    ) -> None:
        system = self._make_fleet(instances, engines)
        try:
            system.start()
            eventlet.sleep(_SETTLE_TIME_S)
            rows = _probe.measure_usage(system, self.sizes.window_s)
        finally:
            system.close()
        non_owners = [r for r in rows if not r.owner]
        owners = [r for r in rows if r.owner]
        self._add_usage(dimension, size, "", non_owners)
        self._add_usage(dimension, size, "owner ", owners)
        calls = sum(r.kv_calls_per_s for r in rows)
        self._add(dimension, size, "kv calls/s of the cell", calls)

    def _add_usage(
        self,
        dimension: str,
        size: float,
        figure_prefix: str,
        rows: list[_probe.Usage],
    ) -> None:
        if not rows:
            return
        cpu = _probe.mean_usage(rows, "cpu_share") * 100
        self._add(dimension, size, f"{figure_prefix}cpu % of a core", cpu)
        memory = _probe.mean_usage(rows, "memory_mb")
        self._add(dimension, size, f"{figure_prefix}memory MB", memory)
        peer_kb_per_s = _probe.mean_usage(rows, "peer_bytes_per_s") / 1000
        self._add(dimension, size, f"{figure_prefix}peer KB/s", peer_kb_per_s)

    def _measure_table_size(self, count: int) -> None:
        system = self._make_fleet(6, 34)
        try:
            system.start()
            apply_s = _apply_teams_table(system, count)
            self._add("teams", count, "seconds to be in force", apply_s)
            eventlet.sleep(1.0)
            rows = _probe.measure_usage(system, 4.0)
            memory = _probe.max_usage(rows, "memory_mb")
            self._add("teams", count, "memory MB", memory)
        finally:
            system.close()

    def _measure_change_rates(self) -> None:
        system = self._make_fleet(6, 34)
        try:
            system.start()
            _apply_teams_table(system, 700)
            for per_minute in self.sizes.changes:
                editor = eventlet.spawn(_edit_table, system, per_minute)
                window_s = max(self.sizes.window_s, 60 / per_minute)
                rows = _probe.measure_usage(system, min(20.0, window_s))
                editor.kill()
                cpu = _probe.mean_usage(rows, "cpu_share") * 100
                self._add("changes/min", per_minute, "cpu % of a core", cpu)
                peer_kb_per_s = (
                    _probe.mean_usage(rows, "peer_bytes_per_s") / 1000
                )
                self._add("changes/min", per_minute, "peer KB/s", peer_kb_per_s)
                calls = sum(r.kv_calls_per_s for r in rows)
                self._add(
                    "changes/min", per_minute, "kv calls/s of the cell", calls
                )
        finally:
            system.close()

    def _measure_request_rates(self) -> None:
        system = self._make_fleet(6, 34)
        try:
            system.start()
            workload = load.HINOKUNI
            system.load_table(workload.table_csv(), list(workload.teams))
            for rate in self.sizes.rates:
                rows = self._measure_under_load(system, rate, output_tokens=8)
                self._add_load_figures(rows, rate)
        finally:
            system.close()

    def _add_load_figures(self, rows: list[_probe.Usage], rate: int) -> None:
        owners = [r for r in rows if r.owner]
        non_owners = [r for r in rows if not r.owner]
        base_cpu = _probe.mean_usage(non_owners, "cpu_share")
        pool_cpu = _probe.mean_usage(owners, "cpu_share") - base_cpu
        dimension = "requests/s at the owner"
        self._add(dimension, rate, "cpu % for the pool", pool_cpu * 100)
        peer_kb_per_s = _probe.mean_usage(owners, "peer_bytes_per_s") / 1000
        self._add(dimension, rate, "peer KB/s", peer_kb_per_s)
        dimension = "requests/s at an entry"
        per_instance = _probe.mean_usage(non_owners, "requests_per_s")
        self._add(dimension, per_instance, "cpu % of a core", base_cpu * 100)
        peer_kb_per_s = _probe.mean_usage(non_owners, "peer_bytes_per_s") / 1000
        self._add(dimension, per_instance, "peer KB/s", peer_kb_per_s)

    def _measure_token_cost(self) -> None:
        system = self._make_fleet(6, 34)
        try:
            system.start()
            workload = load.HINOKUNI
            system.load_table(workload.table_csv(), list(workload.teams))
            for answer_length in self.sizes.answer_tokens:
                rate = 30
                rows = self._measure_under_load(
                    system, rate, output_tokens=answer_length
                )
                non_owners = [r for r in rows if not r.owner]
                tokens = (
                    _probe.mean_usage(non_owners, "requests_per_s")
                    * answer_length
                )
                cpu = _probe.mean_usage(non_owners, "cpu_share") * 100
                self._add(
                    "tokens/s at an entry", tokens, "cpu % of a core", cpu
                )
        finally:
            system.close()

    def _measure_under_load(
        self, system: fleet.Fleet, rate: int, output_tokens: int
    ) -> list[_probe.Usage]:
        names = system.instance_names()
        client = load.LoadClient(
            system.spec.model,
            system.keys,
            lambda request: (
                system.entries[names[request.number % len(names)]].address
            ),
            seed=rate,
        )
        total_s = self.sizes.window_s + 4.0
        plan = [
            load.LoadRequest(
                n * 1000.0 / rate,
                "team-0",
                "draft",
                _PROMPT_TOKENS,
                0,
                "",
                output_tokens,
                30_000,
                True,
                n,
            )
            for n in range(int(total_s * rate))
        ]
        thread = eventlet.spawn(client.run, plan)
        eventlet.sleep(2.0)
        rows = _probe.measure_usage(system, self.sizes.window_s)
        thread.wait()
        return rows


def extrapolate(rows: list[Measurement]) -> list[Extrapolation]:
    """Fits a line to every figure and evaluates it at the target.

    Figures with a single measurement are left out.

    Example:
        >>> rows = [
        ...     Measurement("engines", n, "cpu", 2.0 * n) for n in (1, 2, 3)
        ... ]
        >>> round(extrapolate(rows)[0].value)
        200
    """
    found = []
    for dimension, figure in dict.fromkeys(
        (r.dimension, r.figure) for r in rows
    ):
        group = [
            r for r in rows if (r.dimension, r.figure) == (dimension, figure)
        ]
        if len(group) < 2:
            continue
        line = _fit.fit_line([r.size for r in group], [r.value for r in group])
        target = _TARGETS[dimension]
        found.append(
            Extrapolation(
                dimension,
                figure,
                target,
                line.at(target),
                line.error_at(target),
                line.slope,
                line.slope_error,
            )
        )
    return found


def format_extrapolation(found: list[Extrapolation]) -> str:
    """Returns slopes and figures at the target as a Markdown table."""
    lines = [
        "| varied | figure | slope (95%) | target | at the target (95%) |",
        "| --- | --- | --- | --- | --- |",
    ]
    for item in found:
        lines.append(
            f"| {item.dimension} | {item.figure} | {item.slope:.3g} "
            f"± {item.slope_error:.2g} | {item.target:.4g} "
            f"| {item.value:.3g} ± {item.error:.2g} |"
        )
    return "\n".join(lines)


def _apply_teams_table(system: fleet.Fleet, count: int) -> float:
    """Applies a table of many teams.

    Returns:
        Time until the table is in force at all instances, in seconds.
    """
    workload = load.HINOKUNI._replace(
        teams={f"t{n}": 1.0 for n in range(count)}
    )
    with tempfile.NamedTemporaryFile("w", suffix=".csv") as file:
        file.write(workload.table_csv())
        file.flush()
        started = time.monotonic()
        applied = system.ctl.run("apply", file.name)
    system.wait_revision(applied["revision"])
    return time.monotonic() - started


def _edit_table(system: fleet.Fleet, per_minute: int) -> None:
    number = 0
    while True:
        number += 1
        eventlet.spawn(
            system.ctl.run_unchecked, "teams", "add", f"x{per_minute}-{number}"
        )
        eventlet.sleep(60.0 / per_minute)


def _print_line(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
