import pytest

from hollycart_bench import explore


@pytest.mark.parametrize(
    ("scenario", "budget"),
    [
        (explore.ClaimScenario(), explore.Budget(2, 3)),
        (explore.ClaimScenario(callers=3), explore.Budget(1, 2)),
        (explore.TableScenario(), explore.Budget(2, 2)),
    ],
    ids=["claims", "three claims", "table"],
)
def test_no_schedule_violates_the_protocol(scenario, budget):
    found = explore.explore(scenario, budget)
    assert found.violations == ()
    assert found.complete
    assert found.runs > 100


@pytest.mark.parametrize("checks_fence", [True, False])
def test_no_schedule_mixes_orders_of_two_holders(checks_fence):
    scenario = explore.OrderScenario(checks_fence)
    found = explore.explore(scenario, explore.Budget(1, 2, runs=15_000))
    assert found.violations == ()
    assert scenario.orders_seen > 100
    assert scenario.changes_seen > 10


@pytest.mark.parametrize(
    "scenario",
    [
        explore.ClaimScenario(fenced=False),
        explore.TableScenario(fenced=False),
        explore.OrderScenario(checks_fence=False, waits=False),
    ],
    ids=["claims", "table", "orders"],
)
def test_exploration_finds_a_missing_mechanism(scenario):
    found = explore.explore(scenario, explore.Budget(1, 4, runs=20_000))
    assert found.violations
