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
def test_retries_of_all_instances_stay_within_the_shared_budget(steps):
    budgets = [
        placement.SharedRetryBudget(0.2, WINDOW_MS, 40) for _ in range(4)
    ]
    now_ms = 0.0
    requests, retries = [], []
    for instance, is_request, step_ms in steps:
        now_ms += step_ms
        if is_request:
            budgets[instance].record_request("s", now_ms)
            requests.append(now_ms)
        elif budgets[instance].take("s", now_ms, 4):
            retries.append(now_ms)
        requests_in_window = [t for t in requests if t >= now_ms - WINDOW_MS]
        repeated = [t for t in retries if t >= now_ms - WINDOW_MS]
        assert len(repeated) <= 0.2 * len(requests_in_window) + 40


def test_budgets_of_services_are_independent():
    budget = placement.SharedRetryBudget(0.0, WINDOW_MS, 5)
    while budget.take("a", 0.0, 1):
        pass
    assert budget.take("b", 0.0, 1)
