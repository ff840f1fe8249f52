import socket

from eventlet import event
import grpc
from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
import result

from hollycart import peers
from hollycart_core import base
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
def test_any_bytes_are_a_request_or_a_reason(method, data):
    decoder = msgspec.msgpack.Decoder(method.request_type)
    parsed = base.parse(decoder.decode, data)
    if isinstance(parsed, result.Ok):
        msgspec.convert(
            msgspec.to_builtins(parsed.ok_value), method.request_type
        )
    else:
        assert parsed.err_value


@pytest.mark.parametrize(
    "data",
    [b"\x91\x91\xa1\xff", b"\x91" * 5000],
    ids=["text that is not UTF-8", "deep nesting"],
)
def test_malformed_message_is_an_invalid_argument(data):
    bridge = peers.LoopBridge()
    bridge.start()
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{sock.getsockname()[1]}"
    sock.close()
    calls = []
    server = peers.PeerServer(
        bridge, address, {peers.CONFIRM: calls.append}, ""
    )
    server.start()
    stub = grpc.insecure_channel(address).unary_unary("/hollycart.Peer/Confirm")
    fut = stub.future(data, timeout=10)
    done = event.Event()
    fut.add_done_callback(lambda f: bridge.post(lambda: done.send(f.code())))
    assert done.wait() is grpc.StatusCode.INVALID_ARGUMENT
    assert not calls
    server.close()
    bridge.close()


def test_permit_request_round_trips_through_msgpack():
    req = scheduling.PermitRequest(
        "p", "i", "t", "k", 1.5, 2, 10, 5, 9.0, 3, 7, (1, 2**63), ("e",), True
    )
    message = peers.AcquireMessage("m", req)
    data = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(data, type=peers.AcquireMessage) == message
