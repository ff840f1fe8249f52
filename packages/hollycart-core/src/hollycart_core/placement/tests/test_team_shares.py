import hypothesis
from hypothesis import strategies
import pytest

from hollycart_core import placement

TEAMS = strategies.sampled_from("abcd")


def assignment(team, tokens=1000, late=False, due_ms=100.0):
    return placement.Assignment(
        "a", "e", True, False, 5.0, 9.0,
        due_ms + 50.0 if late else due_ms - 50.0,
        due_ms, 200.0, tokens, tokens, 1.0, team,
    )  # fmt: skip


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            TEAMS, strategies.integers(1, 300_000), strategies.booleans()
        ),
        max_size=40,
    )
)
def test_only_teams_above_their_share_give_way_and_only_to_others(prompts):
    """Guards against refusing a team for its own late prompts."""
    usage = placement.measure_usage(
        [assignment(*prompt) for prompt in prompts], 0.0
    )
    yielding = {team for team in usage.work if usage.gives_way(team)}
    assert len(yielding) < max(1, len(usage.work))
    for team in yielding:
        assert usage.share(team) > 1.0 / len(usage.work)
    if yielding:
        assert any(late for team, _, late in prompts if team not in yielding)


@hypothesis.given(strategies.lists(strategies.booleans(), max_size=30))
def test_nobody_gives_way_while_few_prompts_are_late(late):
    usage = placement.measure_usage(
        [assignment("ab"[i % 2], 1000, x) for i, x in enumerate(late)], 0.0
    )
    if sum(late) < 0.25 * len(late):
        assert not usage.gives_way("a")
        assert not usage.gives_way("b")


def test_prompts_that_were_due_long_ago_do_not_make_capacity_scarce():
    old = [assignment("a", 9000, True, due_ms=-1500.0) for _ in range(8)]
    assert not placement.measure_usage(old, 0.0).is_scarce


@pytest.mark.parametrize(("weight", "gives_way"), [(1.0, True), (20.0, False)])
def test_weight_raises_the_share(weight, gives_way):
    usage = placement.TeamUsage({"a": 600, "b": 200}, {"b": 4}, 8)
    assert usage.gives_way("a", {"a": weight}) is gives_way


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 2000), strategies.floats(0, 500)
        ),
        min_size=2,
        max_size=30,
    )
)
def test_refused_callers_do_not_return_together(refusals):
    times, now_ms, returns = placement.ReturnTimes(), 0.0, []
    for wait_ms, passed_ms in refusals:
        now_ms += passed_ms
        returns.append(now_ms + times.plan(wait_ms, 50.0, 1e9, now_ms))
    gaps = [b - a for a, b in zip(returns, returns[1:], strict=False)]
    assert all(gap >= 50.0 - 1e-6 for gap in gaps)
