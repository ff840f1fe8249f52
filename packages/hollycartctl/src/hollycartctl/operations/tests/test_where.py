"""The `where` command in front of a gateway on loopback."""

import random
import sys
import types

import msgspec
import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway.tests import conftest
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import dry_run
from hollycart_core import kv
from hollycart_core import placement
from hollycartctl import main

IP = "127.0.0.1"
ENGINE = placement.Endpoint("e0", f"{IP}:9", "svc", "z", 8)


class Decoder:
    """Decodes any contents of the store to the same state."""

    def __init__(self, config):
        self.config = config

    def decode(self, contents):
        revision = contents.revision
        return gateway.Snapshot(revision, 1, self.config, (ENGINE,), {}, 1)

    def encode_peer(self, name, address):
        del address
        return kv.Put(f"peers/{name}", b"")

    def encode_record(self, name, value):
        return kv.Put(f"records/{name}", value)

    def is_registration(self, key):
        return key.startswith("peers/")

    def precedence(self, item):
        del item
        return 0


config = conftest.config


@pytest.fixture
def instance(config):
    ports = [conftest._free_port() for _ in range(4)]
    cfg = gateway.GatewaySettings(
        "me", IP, "z", f"{IP}:{ports[0]}", f"{IP}:{ports[1]}", ports[2],
        ports[3], (), "", 1000.0, 2000.0, 5000.0, 2000.0, 8000.0, 0.2,
        10000.0, 10.0, 1500.0, 20000.0,
    )  # fmt: skip
    clock = base.SystemClock()
    store = kv.MemoryStore(clock)
    store.txn((), (kv.Put("config", b"1"),))
    running = gateway.Gateway(
        cfg,
        store,
        conftest.PlainCodec(),
        Decoder(config),
        observe.DecisionLog("me", clock),
        clock,
        random.Random(1),
    )
    running.start()
    while not running.ready:
        clock.sleep_ms(10)
    yield running
    running.close()


@pytest.fixture
def run(instance, monkeypatch, capsys):
    """Runs the command; returns its exit code, output and messages."""
    address = f"{IP}:{instance.cfg.metrics_port}"

    def run_command(*args, address=address):
        argv = ["hollycartctl", "where", address, *args]
        monkeypatch.setattr(sys, "argv", argv)
        code = 0
        try:
            main.main()
        except SystemExit as exc:
            code = exc.code
        return types.SimpleNamespace(code=code, **capsys.readouterr()._asdict())

    return run_command


def test_answer_as_text_and_json(run, instance):
    args = (
        "h", "/stream/a", "--team", "team-a", "--prompt-tokens", "5000",
        "--output-tokens", "100", "--timeout-ms", "5000", "--method", "POST",
    )  # fmt: skip
    text = run(*args)
    assert text.code == 0
    assert "route /stream/, service svc, team team-a" in text.out
    assert "sent to e0 in zone z: first event in " in text.out
    found = run(*args, "--json")
    answer = msgspec.json.decode(found.out, type=dry_run.Answer)
    assert answer.chosen.endpoint == "e0"
    assert answer.instance == "me"
    assert instance.forwarder.peers.view.is_empty()


def test_refusal_is_an_answer(run, instance):
    now_ms = instance.clock.now_ms()
    instance.forwarder.restrictions.record_pause(ENGINE, 60_000.0, now_ms)
    found = run("h", "/once/")
    assert found.code == 0
    assert "refused: 503 overloaded" in found.out
    assert "Retry-After: at least " in found.out
    assert "out: paused, for " in found.out


def test_unknown_host_or_path_is_told(run):
    for args in (("nowhere", "/once/"), ("h", "/nowhere/")):
        found = run(*args)
        assert found.code == main.EXIT_INVALID
        assert "not_found: no route matches" in found.err
        assert not found.out


def test_malformed_query_is_told(run):
    found = run("h", "/once/", "--prompt-tokens", "-5")
    assert found.code == main.EXIT_INVALID
    assert "invalid_request" in found.err


def test_instance_that_does_not_answer_is_told(run, monkeypatch):
    address = f"{IP}:{conftest._free_port()}"
    found = run("h", "/once/", address=address)
    assert found.code == main.EXIT_UNAVAILABLE
    assert address in found.err


def test_instance_that_does_not_know_the_query_is_told(run, instance):
    """The metrics page of an earlier version answers every path."""
    server = connections.HttpExchangeServer(
        f"{IP}:{conftest._free_port()}",
        lambda exchange: exchange.respond(200, (), b"# HELP x"),
        instance.clock,
    )
    server.start()
    found = run("h", "/once/", address=server.address)
    server.close()
    assert found.code == main.EXIT_UNAVAILABLE


def test_metrics_page_is_served_beside_the_answers(instance):
    def status(method, target):
        conn = connections.ClientConnection(
            f"{IP}:{instance.cfg.metrics_port}", instance.clock
        )
        conn.start(1000)
        head = connections.RequestHead(method, target, ((b"Host", b"h"),))
        conn.send(head, b"", 1000)
        response = conn.read_head(1000)
        body = conn.read_body(1000, 1 << 20)
        conn.close()
        return response.status, body

    assert b"hollycart_ready" in status(b"GET", b"/metrics")[1]
    assert status(b"GET", b"/where?host=h&path=/once/&other=1")[0] == 400
    assert status(b"POST", b"/where?host=h&path=/once/")[0] == 405
