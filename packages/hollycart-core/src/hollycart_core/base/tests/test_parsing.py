import msgspec
import pytest
import result

from hollycart_core import base


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b'"\xff"',
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b'["\\udc00"]',
        b"9" * 5000,
        b"1e999",
    ],
)
def test_malformed_json_is_a_reason(data):
    """Guards against exceptions that msgspec raises but doesn't document."""
    parsed = base.parse(msgspec.json.decode, data)
    assert isinstance(parsed, result.Err)
    assert 0 < len(parsed.err_value) <= 200


def test_value_is_returned():
    assert base.parse(msgspec.json.decode, b"[1]") == result.Ok([1])


def test_end_of_the_thread_is_no_malformed_data():
    """Guards against a thread that cannot be stopped while it parses."""

    def stop(_):
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        base.parse(stop, b"")
