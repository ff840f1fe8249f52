import itertools

import hypothesis
from hypothesis import strategies as st
import pytest

from hollycart.gateway import _events
from hollycart.gateway import _failures
from hollycart_core import connections

EVENTS = [b"id: %d\ndata: {}\n\n" % number for number in range(1, 5)]


@hypothesis.given(
    cut=st.integers(0, len(b"".join(EVENTS))),
    framing=st.sampled_from(connections.Framing),
    splits=st.lists(st.integers(0, 80), max_size=4),
    newline=st.sampled_from([b"\n", b"\r\n"]),
)
def test_stream_is_complete_only_at_the_end_of_an_event(
    cut, framing, splits, newline
):
    stream = b"".join(EVENTS)[:cut].replace(b"\n", newline)
    ends = [sum(map(len, EVENTS[:n])) for n in range(len(EVENTS) + 1)]
    bounds = [0, *sorted(min(s, len(stream)) for s in splits), len(stream)]
    events = _events.EventBuffer()
    relayed = b"".join(
        events.feed(stream[start:end])
        for start, end in itertools.pairwise(bounds)
    )
    assert events.count == sum(end <= cut for end in ends[1:])
    is_empty = cut == 0 and framing is connections.Framing.CONNECTION
    if cut not in ends or is_empty:
        with pytest.raises(_failures.TruncatedStreamError):
            events.finish(framing)
    else:
        assert relayed + events.finish(framing) == stream


def test_resumed_stream_may_end_without_another_event():
    events = _events.EventBuffer()
    events.last_id = "4"
    assert events.finish(connections.Framing.CONNECTION) == b""


def test_blank_lines_after_the_last_event_are_returned():
    events = _events.EventBuffer()
    events.feed(EVENTS[0] + b"\n")
    assert events.finish(connections.Framing.CHUNKED) == b"\n"
