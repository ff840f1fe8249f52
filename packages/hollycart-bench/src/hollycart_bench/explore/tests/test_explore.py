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
    """Crashes, lost responses and preemptions keep the guarantees."""
    result = explore.explore(scenario, budget)
    assert result.violations == ()
    assert result.complete
    assert result.runs > 100


@pytest.mark.parametrize("checks_fence", [True, False])
def test_no_schedule_mixes_orders_of_two_holders(checks_fence):
    """Orders of a former lease holder never take effect after newer ones.

    The counts show that the runs contain orders and changes of the lease.
    """
    scenario = explore.OrderScenario(checks_fence)
    result = explore.explore(scenario, explore.Budget(1, 2, runs=15_000))
    assert result.violations == ()
    assert scenario.accepted_orders > 100
    assert scenario.runs_with_lease_change > 10


@pytest.mark.parametrize(
    "scenario",
    [
        explore.ClaimScenario(checks_conditions=False),
        explore.TableScenario(checks_conditions=False),
        explore.OrderScenario(checks_fence=False, waits_for_predecessor=False),
    ],
    ids=["claims", "table", "orders"],
)
def test_exploration_finds_violation_without_the_mechanism(scenario):
    """Each scenario must fail without the mechanism that protects it.

    The claims and the table need the conditions of transactions; the orders
    need the wait of a new holder.
    """
    result = explore.explore(scenario, explore.Budget(1, 4, runs=20_000))
    assert result.violations
