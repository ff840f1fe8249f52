"""Measures several sizes and extrapolates to the target."""

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

TARGET_CELL_INSTANCES = 370 / 24
TARGET_CELL_ENGINES = 2400 / 24
TARGET_TEAMS = 6900
TARGET_REQUESTS_PER_NODE = 2400 / 370
TARGET_REQUESTS_PER_CELL = 2400 / 24
TARGET_CHANGES_PER_MINUTE = 3400 / 1440
TARGET_TOKENS_PER_NODE = 790_000 / 370

_SETTLE_S = 4.0
_TOKEN_PROMPT = 256  # tokens


class Sizes(NamedTuple):
    """The sizes of a run.

    Attributes:
        instances: Instances of a cell, idle.
        engines: Engines of a cell, idle.
        teams: Teams in the table.
        changes: Changes of the table per minute.
        rates: Requests per second of a cell of six.
        answers: Tokens of an answer, for the cost of a token.
        window_s: Length of a measurement, in seconds.
    """

    instances: tuple[int, ...] = (6, 12, 24, 48)
    engines: tuple[int, ...] = (34, 100, 300)
    teams: tuple[int, ...] = (10, 700, 3400, 6900)
    changes: tuple[int, ...] = (1, 10, 100)
    rates: tuple[int, ...] = (10, 30, 60, 90)
    answers: tuple[int, ...] = (8, 64, 160)
    window_s: float = 12.0


class Row(NamedTuple):
    """One figure of one size.

    Attributes:
        dimension: What was varied.
        size: Its value.
        figure: What was measured.
        value: The value.
    """

    dimension: str
    size: float
    figure: str
    value: float


class Extrapolation(NamedTuple):
    """A figure at the target.

    Attributes:
        dimension: What was varied.
        figure: What was measured.
        target: Size at the target.
        value: Value at the target.
        error: Half of a 95% interval.
        slope: Change per unit.
        slope_error: Half of its 95% interval.
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
    "requests/s at an entry": TARGET_REQUESTS_PER_NODE,
    "tokens/s at an entry": TARGET_TOKENS_PER_NODE,
}


class ScaleRun:
    """Runs all sizes and prints figures, slopes and the extrapolation.

    Args:
        sizes: The sizes.
        out: Folder for the results.
    """

    def __init__(self, sizes: Sizes, out: pathlib.Path) -> None:
        self.sizes = sizes
        self.out = out
        self.rows: list[Row] = []

    def run(self) -> list[Extrapolation]:
        """Runs all sizes; returns the figures at the target."""
        self.out.mkdir(parents=True, exist_ok=True)
        for count in self.sizes.instances:
            self._idle("instances", count, instances=count, engines=34)
        for count in self.sizes.engines:
            self._idle("engines", count, instances=6, engines=count)
        for count in self.sizes.teams:
            self._teams(count)
        self._changes()
        self._rates()
        self._tokens()
        found = extrapolate(self.rows)
        data = {"rows": self.rows, "target": found}
        (self.out / "scale.json").write_bytes(msgspec.json.encode(data))
        _print_line(format_extrapolation(found))
        return found

    def _add(
        self, dimension: str, size: float, figure: str, value: float
    ) -> None:
        self.rows.append(Row(dimension, size, figure, value))
        _print_line(f"{dimension:>26} {size:8.1f}  {figure}: {value:.4f}")

    def _fleet(self, instances: int, engines: int) -> fleet.Fleet:
        spec = fleet.FleetSpec(
            instances=instances,
            engines=engines,
            engines_per_process=25,
            balancer=False,
            start_interval_s=0.05,
            settings={"HOLLYCART_VERBOSITY": "-1"},
        )
        return fleet.Fleet(spec, self.out / f"i{instances}e{engines}")

    def _idle(
        self, dimension: str, size: int, instances: int, engines: int
    ) -> None:
        system = self._fleet(instances, engines)
        try:
            system.start()
            eventlet.sleep(_SETTLE_S)
            rows = _probe.measure_usage(system, self.sizes.window_s)
        finally:
            system.close()
        others = [r for r in rows if not r.owner]
        owners = [r for r in rows if r.owner]
        self._add_usage(dimension, size, "", others)
        self._add_usage(dimension, size, "owner ", owners)
        calls = sum(r.kv_calls_s for r in rows)
        self._add(dimension, size, "kv calls/s of the cell", calls)

    def _add_usage(
        self, dimension: str, size: float, who: str, rows: list[_probe.Usage]
    ) -> None:
        if not rows:
            return
        cpu = _probe.mean_usage(rows, "cpu_share") * 100
        self._add(dimension, size, f"{who}cpu % of a core", cpu)
        memory = _probe.mean_usage(rows, "memory_mb")
        self._add(dimension, size, f"{who}memory MB", memory)
        sent = _probe.mean_usage(rows, "peer_bytes_s") / 1000
        self._add(dimension, size, f"{who}peer KB/s", sent)

    def _teams(self, count: int) -> None:
        system = self._fleet(6, 34)
        try:
            system.start()
            took_s = _load_teams(system, count)
            self._add("teams", count, "seconds to be in force", took_s)
            eventlet.sleep(1.0)
            rows = _probe.measure_usage(system, 4.0)
            memory = _probe.max_usage(rows, "memory_mb")
            self._add("teams", count, "memory MB", memory)
        finally:
            system.close()

    def _changes(self) -> None:
        system = self._fleet(6, 34)
        try:
            system.start()
            _load_teams(system, 700)
            for per_minute in self.sizes.changes:
                editor = eventlet.spawn(_edit, system, per_minute)
                window_s = max(self.sizes.window_s, 60 / per_minute)
                rows = _probe.measure_usage(system, min(20.0, window_s))
                editor.kill()
                cpu = _probe.mean_usage(rows, "cpu_share") * 100
                self._add("changes/min", per_minute, "cpu % of a core", cpu)
                sent = _probe.mean_usage(rows, "peer_bytes_s") / 1000
                self._add("changes/min", per_minute, "peer KB/s", sent)
                calls = sum(r.kv_calls_s for r in rows)
                self._add(
                    "changes/min", per_minute, "kv calls/s of the cell", calls
                )
        finally:
            system.close()

    def _rates(self) -> None:
        system = self._fleet(6, 34)
        try:
            system.start()
            workload = load.HINOKUNI
            system.load_table(workload.table_csv(), list(workload.teams))
            for rate in self.sizes.rates:
                rows = self._loaded(system, rate, output_tokens=8)
                self._add_loaded(rows, rate)
        finally:
            system.close()

    def _add_loaded(self, rows: list[_probe.Usage], rate: int) -> None:
        owners = [r for r in rows if r.owner]
        others = [r for r in rows if not r.owner]
        base_cpu = _probe.mean_usage(others, "cpu_share")
        own = _probe.mean_usage(owners, "cpu_share") - base_cpu
        dimension = "requests/s at the owner"
        self._add(dimension, rate, "cpu % for the pool", own * 100)
        sent = _probe.mean_usage(owners, "peer_bytes_s") / 1000
        self._add(dimension, rate, "peer KB/s", sent)
        dimension = "requests/s at an entry"
        per_node = _probe.mean_usage(others, "requests_s")
        self._add(dimension, per_node, "cpu % of a core", base_cpu * 100)
        sent = _probe.mean_usage(others, "peer_bytes_s") / 1000
        self._add(dimension, per_node, "peer KB/s", sent)

    def _tokens(self) -> None:
        system = self._fleet(6, 34)
        try:
            system.start()
            workload = load.HINOKUNI
            system.load_table(workload.table_csv(), list(workload.teams))
            for answer in self.sizes.answers:
                rate = 30
                rows = self._loaded(system, rate, output_tokens=answer)
                others = [r for r in rows if not r.owner]
                tokens = _probe.mean_usage(others, "requests_s") * answer
                cpu = _probe.mean_usage(others, "cpu_share") * 100
                self._add(
                    "tokens/s at an entry", tokens, "cpu % of a core", cpu
                )
        finally:
            system.close()

    def _loaded(
        self, system: fleet.Fleet, rate: int, output_tokens: int
    ) -> list[_probe.Usage]:
        names = system.instance_names()
        client = load.LoadClient(
            system.spec.model,
            system.keys,
            lambda a: system.entries[names[a.number % len(names)]].address,
            seed=rate,
        )
        total_s = self.sizes.window_s + 4.0
        plan = [
            load.LoadRequest(
                n * 1000.0 / rate,
                "team-0",
                "draft",
                _TOKEN_PROMPT,
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


def extrapolate(rows: list[Row]) -> list[Extrapolation]:
    """Fits a line to every figure and reads it at the target.

    Example:
        >>> rows = [Row("engines", n, "cpu", 2.0 * n) for n in (1, 2, 3)]
        >>> round(extrapolate(rows)[0].value)
        200
    """
    found = []
    for dimension, figure in dict.fromkeys(
        (r.dimension, r.figure) for r in rows
    ):
        same = [
            r for r in rows if (r.dimension, r.figure) == (dimension, figure)
        ]
        if len(same) < 2:
            continue
        line = _fit.fit_line([r.size for r in same], [r.value for r in same])
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
    """Returns the figures at the target as a Markdown table."""
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


def _load_teams(system: fleet.Fleet, count: int) -> float:
    """Commits a table of many teams; returns the time to be in force."""
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


def _edit(system: fleet.Fleet, per_minute: int) -> None:
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
