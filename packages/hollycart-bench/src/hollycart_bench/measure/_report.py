"""Tables and plots of an experiment."""

from collections.abc import Callable
import math
import pathlib
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from hollycart_bench.measure import _cell

Cells = list[_cell.CellResult]


def find(cells: Cells, **fields: Any) -> Cells:
    """Returns the cells whose specification has these values.

    Args:
        cells: The cells.
        **fields: Values by field of `CellSpec`.
    """
    return [
        c
        for c in cells
        if all(getattr(c.spec, k) == v for k, v in fields.items())
    ]


def mean(cells: Cells, metric: Callable[[_cell.CellResult], float]) -> float:
    """Returns the mean of a metric over cells, NaN without a value."""
    values = [metric(c) for c in cells]
    values = [v for v in values if not math.isnan(v)]
    return sum(values) / len(values) if values else math.nan


def confidence_half_width(
    cells: Cells, metric: Callable[[_cell.CellResult], float]
) -> float:
    """Returns the half width of the 95% confidence interval of the mean.

    The interval assumes a normal distribution; NaN for fewer than two values.
    """
    values = [metric(c) for c in cells]
    values = [v for v in values if not math.isnan(v)]
    if len(values) < 2:
        return math.nan
    mean_value = sum(values) / len(values)
    variance = sum((v - mean_value) ** 2 for v in values) / (len(values) - 1)
    return 1.96 * math.sqrt(variance / len(values))


def short_p95(cell: _cell.CellResult) -> float:
    """Returns the p95 time to first token of short prompts, in ms."""
    return cell.bands["to 4k"]["p95"]


def long_p95(cell: _cell.CellResult) -> float:
    """Returns the p95 time to first token of long prompts, in ms."""
    return cell.bands["over 100k"]["p95"]


def blocking_ratios(cells: Cells, spec: _cell.CellSpec) -> list[float]:
    """Returns the slowdown of short prompts by other prompts, for each seed.

    It is the p95 time to first token of short prompts in the mixed load over
    that in a load of short prompts only.

    Args:
        cells: Cells of an experiment.
        spec: Selects the user, the load and the policy.
    """
    ratios = []
    for cell in find(cells, user=spec.user, load=spec.load, policy=spec.policy):
        alone = find(
            cells,
            user=spec.user,
            load=spec.load,
            seed=cell.spec.seed,
            policy=_cell.SHORT_ONLY_POLICY,
        )
        if alone:
            ratios.append(short_p95(cell) / short_p95(alone[0]))
    return ratios


def share_error(cell: _cell.CellResult) -> float:
    """Returns the largest relative error of a backlogged team's share.

    Teams that asked for more than 1.2 times an equal share are compared with
    their mean, as all teams have the same weights; NaN for fewer than two.
    """
    total = sum(cell.team_tokens.values())
    if not total:
        return math.nan
    equal_share = total / len(cell.team_offered)
    backlogged = [
        t for t, v in cell.team_offered.items() if v > 1.2 * equal_share
    ]
    received = [cell.team_tokens.get(t, 0.0) for t in backlogged]
    if len(received) < 2:
        return math.nan
    mean_value = sum(received) / len(received)
    return max(abs(v - mean_value) / mean_value for v in received)


def format_cells(cells: Cells) -> str:
    """Returns a table with one line per user, load and policy."""
    lines = [
        f"{'user':>9}{'load':>5}{'policy':>17}{'short p95':>10}{'x alone':>8}"
        f"{'long p95':>10}{'goodput':>9}{'cached':>7}{'refused':>8}"
        f"{'ref ms':>7}{'gap p95':>8}{'cpu/req':>8}{'stall':>7}"
    ]
    reported_groups = []
    for cell in cells:
        group_key = (cell.spec.user, cell.spec.load, cell.spec.policy)
        if group_key in reported_groups:
            continue
        reported_groups.append(group_key)
        user, offered, policy = group_key
        group = find(cells, user=user, load=offered, policy=policy)
        ratios = blocking_ratios(cells, cell.spec)
        ratio = sum(ratios) / len(ratios) if ratios else math.nan
        refused = mean(
            group,
            lambda c: sum(r.get("refused", 0) for r in c.outcomes.values()),
        )
        lines.append(
            f"{user:>9}{offered:>5}{policy:>17}{mean(group, short_p95):>10.0f}"
            f"{ratio:>8.2f}{mean(group, long_p95):>10.0f}"
            f"{mean(group, lambda c: c.goodput):>9.0f}"
            f"{mean(group, lambda c: c.cached_share):>7.2f}{refused:>8.0f}"
            f"{mean(group, lambda c: c.refused_ms):>7.0f}"
            f"{mean(group, lambda c: c.gap_p95_ms):>8.0f}"
            f"{mean(group, lambda c: c.cpu_ms_per_request):>8.1f}"
            f"{mean(group, lambda c: c.max_stall_ms):>7.0f}"
        )
    return "\n".join(lines)


def write_plots(cells: Cells, path: pathlib.Path) -> None:
    """Writes a page of plots as PNG."""
    users = sorted({c.spec.user for c in cells})
    loads = sorted({c.spec.load for c in cells})
    policies = list(dict.fromkeys(c.spec.policy for c in cells))
    figure, axes = pyplot.subplots(
        3, len(users), figsize=(7 * len(users), 12), squeeze=False
    )
    metrics = (
        ("p95 time to first token, short prompts, ms", short_p95),
        ("p95 time to first token, over 100k tokens, ms", long_p95),
        ("goodput, prompt tokens/s", lambda c: c.goodput),
    )
    for column, user in enumerate(users):
        for row, (title, metric) in enumerate(metrics):
            axis = axes[row][column]
            for policy in policies:
                values = [
                    mean(
                        find(cells, user=user, load=offered, policy=policy),
                        metric,
                    )
                    for offered in loads
                ]
                axis.plot(loads, values, marker="o", label=policy)
            axis.set_title(f"{user}: {title}")
            axis.set_xlabel("offered load")
            if row < 2:
                axis.set_yscale("log")
    axes[0][0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
