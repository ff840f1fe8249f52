import hypothesis
from hypothesis import strategies

from hollycart_core import placement

WINDOW_MS = 10000.0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.booleans(),
            strategies.floats(0, 400),
        ),
        max_size=400,
    )
)
def test_sum_over_instances_stays_in_the_shared_budget(steps):
    budgets = [
        placement.SharedRetryBudget(0.2, WINDOW_MS, 40) for _ in range(4)
    ]
    now_ms = 0.0
    requests, repeats = [], []
    for instance, is_request, pause_ms in steps:
        now_ms += pause_ms
        if is_request:
            budgets[instance].record_request("s", now_ms)
            requests.append(now_ms)
        elif budgets[instance].take("s", now_ms, 4):
            repeats.append(now_ms)
        in_window = [t for t in requests if t >= now_ms - WINDOW_MS]
        repeated = [t for t in repeats if t >= now_ms - WINDOW_MS]
        assert len(repeated) <= 0.2 * len(in_window) + 40


def test_services_have_budgets_of_their_own():
    budget = placement.SharedRetryBudget(0.0, WINDOW_MS, 5)
    while budget.take("a", 0.0, 1):
        pass
    assert budget.take("b", 0.0, 1)
