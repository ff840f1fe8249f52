import pytest

from hollycart_bench.engine import _batcher
from hollycart_bench.engine import _sequence
from hollycart_bench.engine import _step_model

BLOCK = 1024
CAPACITY = 10 * BLOCK


def sequence(attempt, tokens, blocks=(), answer=1, arrival_number=0):
    return _sequence.Sequence(
        attempt, "digest", list(blocks), tokens, answer, 0, 0, arrival_number
    )


@pytest.fixture
def batcher():
    return _batcher.Batcher(_step_model.StepModel(), CAPACITY)


@pytest.fixture
def run(batcher):
    """Returns a function that runs sequences to completion, one by one."""

    def run_to_end(*sequences):
        for item in sequences:
            assert batcher.add(item)
            while (step := batcher.plan()) is not None:
                batcher.apply_step(step)
            batcher.cancel(item.attempt_id)

    return run_to_end


def test_reservation_evicts_cached_blocks(batcher, run):
    run(*(sequence(f"a{i}", BLOCK, [i]) for i in range(8)))
    assert batcher.cache.tokens == 8 * BLOCK
    assert batcher.reserve(sequence("b", 9 * BLOCK, answer=0))
    assert batcher.cache.tokens <= BLOCK


def test_reservation_does_not_evict_sequences(batcher):
    batcher.add(sequence("a", 8 * BLOCK, answer=100))
    batcher.apply_step(batcher.plan())
    assert not batcher.reserve(sequence("b", 3 * BLOCK, answer=0))
    assert batcher.reserve(sequence("c", BLOCK, answer=0))


def test_reservation_runs_only_after_run_reserved(batcher):
    assert batcher.reserve(sequence("a", 5 * BLOCK, answer=0))
    assert batcher.plan() is None
    assert batcher.run_reserved("a", 1)
    assert batcher.plan() is not None


def test_cancel_frees_reserved_memory(batcher):
    assert batcher.reserve(sequence("a", 9 * BLOCK, answer=0))
    assert batcher.cancel("a")
    assert batcher.held_tokens == 0
