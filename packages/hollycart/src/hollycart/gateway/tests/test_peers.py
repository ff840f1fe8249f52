import random
import socket

import eventlet
import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _messages
from hollycart.gateway import _peers
from hollycart_core import base
from hollycart_core import placement


@pytest.fixture
def pair():
    """Two instances, the replies and the suspects received."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    clock = base.SystemClock()
    made = []
    for number in (1, 2):
        name = f"i{number}"
        exchange = _peers.PeerExchange(
            name,
            f"127.0.0.{number}",
            "z",
            port,
            placement.LoadView(),
            placement.EndpointHealth(),
            observe.DecisionLog(name, clock),
            clock,
            random.Random(number),
            lambda: True,
            lambda query: _messages.FreshnessReply(
                "x", query.sent_ms, 5.0, 1, 1, 1
            ),
            lambda reply, ip: replies.append((reply, ip)),
            lambda changed, ip: None,
            lambda endpoint: suspects.append(endpoint),
        )
        exchange.add_addresses(
            gateway.InstanceAddress(f"127.0.0.{i}", "z") for i in (1, 2)
        )
        made.append(exchange)
    replies, suspects = [], []
    for exchange in made:
        exchange.start()
    yield (*made, replies, suspects)
    for exchange in made:
        exchange.close()


@pytest.fixture
def assignment():
    def make(attempt, endpoint="e1", primary=True):
        now_ms = base.SystemClock().now_ms()
        return placement.Assignment(
            attempt,
            endpoint,
            primary,
            False,
            50.0,
            now_ms + 500,
            now_ms + 600,
            now_ms + 3000,
            800.0,
            7000,
            8000 if primary else 0,
            2.0,
        )

    return make


def test_assignments_are_visible_to_the_peer_until_the_attempt_ends(
    pair, assignment, eventually
):
    first, second, *_ = pair
    first.add((assignment("a"), assignment("a", "e2", primary=False)))
    eventually(lambda: list(second.view.on_endpoint("e2")))
    (seen,) = second.view.on_endpoint("e1")
    assert (seen.primary, seen.prefill_ms, seen.memory_tokens) == (
        True,
        50,
        8000,
    )
    assert abs(seen.due_ms - base.SystemClock().now_ms() - 3000) < 2000
    first.start_decoding("a")
    eventually(
        lambda: [a.decoding for a in second.view.on_endpoint("e1")] == [True]
    )
    assert not list(second.view.on_endpoint("e2"))
    first.remove("a")
    eventually(lambda: not list(second.view.on_endpoint("e1")))


def test_instances_find_each_other(pair, eventually):
    first, second, *_ = pair
    eventually(lambda: second.live() == {"i1": True})
    assert second.ip_of("i1") == "127.0.0.1"


def test_heartbeat_repairs_a_lost_load_update(pair, assignment, eventually):
    first, second, *_ = pair
    first.view.add("i1", (assignment("a"),))
    first.send_heartbeat()
    eventually(lambda: list(second.view.on_endpoint("e1")))


def test_freshness_query_is_answered(pair, eventually):
    first, second, replies, _ = pair
    first.query_freshness(["127.0.0.2"])
    eventually(lambda: replies)
    assert replies[0][0].age_ms == 5.0


def test_suspected_endpoint_is_announced(pair, eventually):
    first, _, _, suspects = pair
    first.broadcast_suspect("e9")
    eventually(lambda: suspects == ["e9"])


def test_heartbeat_shares_the_slowness_of_endpoints(pair, eventually):
    first, second, *_ = pair
    now_ms = first.clock.now_ms()
    for _ in range(20):
        first.health.record_slowness("e1", 6.0, now_ms)
    first.send_heartbeat()
    eventually(lambda: second.health.slowness("e1", now_ms) > 1.0)


def test_malformed_datagram_is_dropped(pair, eventually):
    first, second, *_ = pair
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(b"\xff\x00", ("127.0.0.2", second.port))
    eventually(lambda: second.live() == {"i1": True})


def _valid_datagrams():
    assignment = _messages.EndpointAssignment("e", 5, 7, 7)
    attempt = _messages.AttemptAssignments(
        "a", False, 5, 9, 99, 200, 1, [assignment]
    )
    return [
        _messages.encode(message)
        for message in (
            _messages.Heartbeat("i2", 7, True, 3, [attempt], {"e": 2.0}, "z"),
            _messages.LoadUpdate("i2", 7, [attempt], ["a"], ["b"]),
            _messages.FreshnessReply("i2", 1.0, 5.0, 1, 1, 1),
            _messages.EndpointSuspected("i2", "e"),
        )
    ]


def _mutate(rng, data):
    position = rng.randrange(len(data))
    kind = rng.randrange(4)
    if kind == 0:
        return data[:position]
    if kind == 1:
        return b"\x91" * 5000
    odd = rng.choice([b"\xa2\xff\xff", b"\xcf" + b"\xff" * 8, b"\xc0", b"\xcb"])
    return data[:position] + odd + data[position + 1 :]


def test_malformed_datagrams_do_not_end_the_exchange(pair, eventually):
    """Guards against text that is not UTF-8, which ended the receiver."""
    first, second, _, suspects = pair
    rng = random.Random(1)
    before = second.malformed
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.3", 0))
        target = ("127.0.0.2", second.port)
        sock.sendto(b"\x94\xa1s\xa2\xff\xff\x01\x02", target)
        eventually(lambda: second.malformed > before)
        for _ in range(300):
            sock.sendto(_mutate(rng, rng.choice(_valid_datagrams())), target)
            eventlet.sleep(0)
    first.broadcast_suspect("last")
    eventually(lambda: "last" in suspects)


def test_fault_of_a_handler_does_not_end_the_exchange(pair, eventually):
    """Guards against a handler's error that stops an instance from hearing."""
    first, second, _, suspects = pair

    def fail(endpoint):
        second.on_endpoint_suspected = suspects.append
        raise KeyError(endpoint)

    second.on_endpoint_suspected = fail
    faults = base.LoopGuard.faults
    first.broadcast_suspect("first")
    eventually(lambda: base.LoopGuard.faults > faults)
    first.broadcast_suspect("second")
    eventually(lambda: "second" in suspects)
