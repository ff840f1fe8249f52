from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from hollycart import peers
from hollycart_core import scheduling

_METHODS = [
    peers.EXCHANGE,
    peers.ACQUIRE,
    peers.REPORT,
    peers.CONFIRM,
    peers.CLAIM,
    peers.TABLE,
]


@pytest.mark.parametrize("method", _METHODS, ids=lambda m: m.name)
@given(data=st.binary(max_size=60))
def test_any_bytes_decode_or_give_a_decode_error(method, data):
    try:
        msgspec.msgpack.decode(data, type=method.request_type)
    except msgspec.DecodeError:
        pass


def test_permit_request_survives_the_wire():
    req = scheduling.PermitRequest(
        "p", "i", "t", "k", 1.5, 2, 10, 5, 9.0, 3, 7, (1, 2**63), ("e",), True
    )
    message = peers.AcquireMessage("m", req)
    data = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(data, type=peers.AcquireMessage) == message
