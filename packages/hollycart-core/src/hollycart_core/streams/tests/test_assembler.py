from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollycart_core import base
from hollycart_core import streams


def _frames(attempt, tokens, start):
    last = len(tokens) - 1
    return [
        streams.Frame(attempt, n, (tokens[n],), n == last)
        for n in range(start, len(tokens))
    ]


@given(
    count=st.integers(1, 12),
    cut=st.integers(0, 12),
    rng=st.randoms(use_true_random=False),
)
def test_reordered_duplicate_and_stale_frames_give_the_whole_answer(
    count, cut, rng
):
    tokens = [f"t{n}" for n in range(count)]
    stream = streams.StreamAssembler()
    emitted = []
    stream.begin_attempt("one")
    first = _frames("one", tokens, 0)[: min(cut, count - 1)]
    rng.shuffle(first)
    for frame in first:
        emitted += stream.accept(frame)
    stream.begin_attempt("two")
    second = _frames("two", tokens, stream.next_offset)
    stale = _frames("one", ["x"] * count, 0)
    mixed = second + second + stale
    rng.shuffle(mixed)
    for frame in mixed:
        emitted += stream.accept(frame)
    assert emitted == tokens
    assert stream.finished


def test_token_after_the_end_is_rejected():
    stream = streams.StreamAssembler()
    stream.begin_attempt("a")
    stream.accept(streams.Frame("a", 0, ("x",), True))
    with pytest.raises(base.EndpointFailedError):
        stream.accept(streams.Frame("a", 1, ("y",), False))


def test_contradicting_final_frames_are_rejected():
    stream = streams.StreamAssembler()
    stream.begin_attempt("a")
    stream.accept(streams.Frame("a", 3, ("x",), True))
    with pytest.raises(base.EndpointFailedError):
        stream.accept(streams.Frame("a", 5, ("y",), True))


def test_number_of_buffered_frames_is_bounded():
    stream = streams.StreamAssembler()
    stream.begin_attempt("a")
    with pytest.raises(base.EndpointFailedError):
        for offset in range(1, 6000):
            stream.accept(streams.Frame("a", offset, ("x",), False))
