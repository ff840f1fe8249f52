from hypothesis import given
from hypothesis import strategies as st
import msgspec

from hollycart import entry
from hollycart_bench import engine
from hollycart_core import base

_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=9),
    lambda v: (
        st.lists(v, max_size=3)
        | st.dictionaries(st.text(max_size=5), v, max_size=3)
    ),
    max_leaves=6,
)
_FIELDS = st.dictionaries(
    st.sampled_from(
        ["model", "prompt", "messages", "max_tokens", "stream", "n", "x"]
    ),
    _VALUES,
)


@given(body=st.binary(max_size=100))
def test_any_bytes_parse_or_give_a_typed_error(body):
    try:
        entry.parse_completion("/v1/completions", body)
    except base.InvalidRequestError as exc:
        assert exc.detail


@given(fields=_FIELDS)
def test_any_json_object_parses_or_gives_a_typed_error(fields):
    body = msgspec.json.encode(fields)
    for path in ("/v1/completions", "/v1/chat/completions"):
        try:
            req = entry.parse_completion(path, body)
        except base.InvalidRequestError:
            continue
        assert req.max_tokens >= 1
        assert msgspec.json.decode(req.engine_body("a", 0, 0, []))


@given(text=st.text(min_size=1, max_size=50), offset=st.integers(0, 9))
def test_prompt_reaches_the_engine_unchanged(text, offset):
    body = msgspec.json.encode({"model": "m", "prompt": text, "top_p": 0.5})
    req = entry.parse_completion("/v1/completions", body)
    sent = msgspec.json.decode(req.engine_body("id", 2, offset, ["h:1"]))
    assert sent["prompt"] == text
    assert sent["top_p"] == 0.5
    assert sent.get("resume_from", 0) == offset
    assert (sent["request_id"], sent["priority"]) == ("id", 2)


def test_prefix_hashes_equal_those_of_the_engine():
    prompt = "".join(chr(97 + n % 26) for n in range(20_000))
    body = msgspec.json.encode({"model": "m", "prompt": prompt})
    req = entry.parse_completion("/v1/completions", body)
    assert list(req.prefix_hashes) == list(engine.block_hashes(prompt.encode()))
