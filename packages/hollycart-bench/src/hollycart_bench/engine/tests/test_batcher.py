import pytest

from hollycart_bench.engine import _batcher
from hollycart_bench.engine import _sequence
from hollycart_bench.engine import _step_model

BLOCK = 1024
CAPACITY = 10 * BLOCK


def sequence(attempt, tokens, blocks=(), answer=1, arrival=0):
    return _sequence.Sequence(
        attempt, "digest", list(blocks), tokens, answer, 0, 0, arrival
    )


@pytest.fixture
def batcher():
    return _batcher.Batcher(_step_model.StepModel(), CAPACITY)


@pytest.fixture
def run(batcher):
    """Runs sequences to their ends, one after the other."""

    def play(*sequences):
        for item in sequences:
            assert batcher.add(item)
            while (step := batcher.plan()) is not None:
                batcher.finish(step)
            batcher.cancel(item.attempt_id)

    return play


def test_reservation_takes_memory_from_the_cache(batcher, run):
    run(*(sequence(f"a{i}", BLOCK, [i]) for i in range(8)))
    assert batcher.cache.tokens == 8 * BLOCK
    assert batcher.reserve(sequence("b", 9 * BLOCK, answer=0))
    assert batcher.cache.tokens <= BLOCK


def test_reservation_takes_nothing_from_sequences(batcher):
    batcher.add(sequence("a", 8 * BLOCK, answer=100))
    batcher.finish(batcher.plan())
    assert not batcher.reserve(sequence("b", 3 * BLOCK, answer=0))
    assert batcher.reserve(sequence("c", BLOCK, answer=0))


def test_prompt_runs_where_its_memory_was_reserved(batcher):
    assert batcher.reserve(sequence("a", 5 * BLOCK, answer=0))
    assert batcher.plan() is None
    assert batcher.run_reserved("a", 1)
    assert batcher.plan() is not None


def test_memory_is_free_after_a_cancel(batcher):
    assert batcher.reserve(sequence("a", 9 * BLOCK, answer=0))
    assert batcher.cancel("a")
    assert batcher.held_tokens == 0
