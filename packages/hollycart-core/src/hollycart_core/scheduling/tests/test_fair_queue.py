import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollycart_core import scheduling

_ids = itertools.count()


def _item(team, work, weight):
    req = scheduling.PermitRequest(
        f"q{next(_ids)}", "i", team, "k", weight, 0, int(work), 1, 1e9
    )
    return scheduling.QueuedRequest(req, work, 1e9, 0.0)


def _serve(queue):
    item = next(iter(queue.heads())).item
    queue.dequeue(item)
    return item


@given(
    weights=st.lists(st.sampled_from([1.0, 2.0, 5.0]), min_size=2, max_size=5),
    works=st.lists(st.floats(100, 5000), min_size=5, max_size=5),
)
def test_backlogged_rows_share_tokens_by_weight(weights, works):
    queue = scheduling.FairQueue()
    served = [0.0] * len(weights)
    for _ in range(600):
        for number, weight in enumerate(weights):
            queue.push(_item(str(number), works[number], weight))
    for _ in range(500):
        item = _serve(queue)
        served[int(item.req.team)] += item.work_tokens
    total, sum_weights = sum(served), sum(weights)
    for got, weight in zip(served, weights, strict=True):
        largest = max(works) * 2
        assert got == pytest.approx(
            total * weight / sum_weights, abs=largest + 0.05 * total
        )


def test_idle_row_saves_no_credit_and_is_served_next():
    queue = scheduling.FairQueue()
    for _ in range(50):
        queue.push(_item("busy", 1000.0, 1.0))
    for _ in range(30):
        _serve(queue)
    for _ in range(10):
        queue.push(_item("late", 1000.0, 1.0))
    order = [_serve(queue).req.team for _ in range(12)]
    assert order[:2].count("late") >= 1
    assert 5 <= order.count("late") <= 7


def test_removed_requests_are_not_charged():
    queue = scheduling.FairQueue()
    queue.push(_item("a", 1000.0, 1.0))
    queue.push(_item("a", 1000.0, 1.0))
    assert len(queue.remove_if(lambda i: True)) == 2
    assert queue.length == 0
    assert queue.queued_work == 0.0
