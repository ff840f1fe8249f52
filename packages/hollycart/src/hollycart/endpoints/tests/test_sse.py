from hypothesis import given
from hypothesis import strategies as st

from hollycart import endpoints
from hollycart_core import base

_STREAM = (
    b": accepted\n\n"
    b'data: {"id":"a","offset":0,"choices":[{"text":"x"}]}\n\n'
    b'data: {"id":"a","offset":1,"choices":[{"text":"y",'
    b'"finish_reason":"stop"}],"usage":{"cached_tokens":7}}\n\n'
    b"data: [DONE]\n\n"
)


@given(cuts=st.lists(st.integers(0, len(_STREAM)), max_size=8))
def test_frames_do_not_depend_on_how_the_stream_is_cut(cuts):
    edges = [0, *sorted(cuts), len(_STREAM)]
    chunks = [_STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    frames = list(endpoints.parse_events(chunks))
    assert [f.frame.tokens for f in frames] == [("x",), ("y",)]
    assert frames[1].frame.final
    assert frames[1].cached_tokens == 7


@given(chunks=st.lists(st.binary(max_size=40), max_size=5))
def test_any_bytes_give_frames_or_a_typed_error(chunks):
    try:
        list(endpoints.parse_events([b"data: {", *chunks, b"\n"]))
    except base.EndpointFailedError as exc:
        assert exc.detail
