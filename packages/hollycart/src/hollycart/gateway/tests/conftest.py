import itertools
import json
import random
import socket
import struct
import types

import eventlet
import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _forwarder
from hollycart.gateway import _history
from hollycart.gateway import _memory
from hollycart.gateway import _peers
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing


class PlainCodec:
    """Codec with its own header names, independent of any platform."""

    def decode_request(self, head):
        fields = {k.lower(): v.decode() for k, v in head.headers}
        return gateway.RequestMeta(
            fields.get(b"id", ""),
            "h",
            head.target.decode(),
            float(fields.get(b"wait", 5000)),
            fields.get(b"key", ""),
            int(fields.get(b"tokens", 0)),
            int(fields.get(b"output", 100)),
            fields.get(b"after", ""),
            shared_segments=tuple(
                filter(None, fields.get(b"segments", "").split(","))
            ),
            pins_version=b"version" in fields,
        )

    def encode_attempt(self, head, attempt):
        fields = connections.end_to_end_headers(head.headers)
        own = (
            (b"Endpoint", attempt.endpoint_id.encode()),
            (b"Left", str(int(attempt.remaining_ms)).encode()),
            (b"Team", attempt.team.encode()),
            (b"Helpers", ",".join(attempt.helpers).encode()),
            (b"Resume", attempt.last_event_id.encode()),
        )
        return head._replace(headers=fields + own)

    def encode_reservation(self, reservation_id, tokens, hold_ms):
        body = json.dumps({"ticket": reservation_id, "tokens": tokens}).encode()
        return connections.RequestHead(
            b"POST", b"/reserve", ((b"Host", b"e"),)
        ), body

    def encode_release(self, reservation_id):
        body = json.dumps({"ticket": reservation_id}).encode()
        return connections.RequestHead(
            b"POST", b"/release", ((b"Host", b"e"),)
        ), body

    def encode_load_query(self):
        return connections.RequestHead(b"GET", b"/load", ((b"Host", b"e"),))

    def encode_health_query(self, path):
        return connections.RequestHead(
            b"GET", path.encode(), ((b"Host", b"e"),)
        )

    def decode_load(self, head, body):
        if head.status != 200:
            return None
        return gateway.EndpointLoad(*json.loads(body))

    def decode_response(self, head):
        find = connections.find_header
        return gateway.ResponseMeta(
            find(head.headers, b"id"),
            bool(find(head.headers, b"seal")),
            bool(find(head.headers, b"not-run")),
            None,
            float(find(head.headers, b"pause") or "nan") * 1000.0,
            find(head.headers, b"faulty"),
            bool(find(head.headers, b"leaving")),
            float(find(head.headers, b"limit"))
            if find(head.headers, b"limit")
            else None,
            head.status == 421,
            float(find(head.headers, b"cold"))
            if find(head.headers, b"cold")
            else None,
        )

    def encode_failure(self, request_id, retry_after_ms):
        if retry_after_ms is None:
            return ()
        return ((b"Retry-After", str(retry_after_ms / 1000).encode()),)


@pytest.fixture
def plain_codec():
    return PlainCodec()


class Endpoint:
    """HTTP endpoint whose handler a test sets."""

    def __init__(self, name):
        self.name = name
        self.handler = None
        self.requests = []
        self.abandoned_ids = []
        self.server = connections.HttpExchangeServer(
            f"127.0.0.1:{_free_port()}", self._handle, base.SystemClock()
        )

    def _handle(self, exchange):
        fields = {k.lower(): v.decode() for k, v in exchange.head.headers}
        self.requests.append(
            (exchange.head.target.decode(), fields, exchange.body)
        )
        try:
            self.handler(exchange, fields)
        except connections.CallerGoneError:
            self.abandoned_ids.append(fields.get(b"id"))
            raise


def _free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@pytest.fixture
def free_port():
    """Returns ports that nobody listens on."""
    return _free_port


def seal(fields):
    return ((b"Id", fields[b"id"].encode()), (b"Seal", b"1"))


@pytest.fixture
def answers():
    """Handlers for scripted endpoints."""

    class Answers:
        @staticmethod
        def complete(exchange, fields):
            exchange.respond(200, seal(fields), b"done")

        @staticmethod
        def reject(exchange, fields):
            exchange.respond(503, ((b"Not-Run", b"1"),), b"")

        @staticmethod
        def misdirected(exchange, fields):
            exchange.respond(421, ((b"Not-Run", b"1"),), b"")

        @staticmethod
        def pause(seconds):
            def handler(exchange, fields):
                pause = (b"Pause", str(seconds).encode())
                exchange.respond(503, ((b"Not-Run", b"1"), pause), b"")

            return handler

        @staticmethod
        def leave(exchange, fields):
            exchange.respond(200, (*seal(fields), (b"Leaving", b"1")), b"done")

        @staticmethod
        def fail(exchange, fields):
            exchange.respond(500, seal(fields), b"oops")

        @staticmethod
        def unsealed(exchange, fields):
            exchange.respond(200, ((b"Id", fields[b"id"].encode()),), b"x")

        @staticmethod
        def close(exchange, fields):
            exchange.abort()

        @staticmethod
        def hang(exchange, fields):
            eventlet.sleep(30)

        @staticmethod
        def unframed(body, end="close"):
            """Sends `body` without a length or chunks, then ends like `end`.

            The endpoint also answers queries for its load.
            """

            def handler(exchange, fields):
                if exchange.head.target == b"/load":
                    exchange.respond(200, (), b"[0, 0]")
                    return
                head = b"".join(b"%s: %s\r\n" % field for field in seal(fields))
                sock = exchange._connection._sock
                sock.sendall(b"HTTP/1.1 200 OK\r\n%s\r\n%s" % (head, body))
                if end == "reset":
                    sock.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                exchange.abort()

            return handler

        @staticmethod
        def events(first, last, cut=b"", end=True):
            def handler(exchange, fields):
                exchange.start(200, seal(fields), None)
                start = int(fields[b"resume"] or first - 1) + 1
                for i in range(start, last + 1):
                    exchange.write(b"id: %d\ndata: %d\n\n" % (i, i))
                    eventlet.sleep(0)
                if cut:
                    exchange.write(cut)
                if end:
                    exchange.finish()
                else:
                    exchange.abort()

            return handler

    return Answers


@pytest.fixture
def endpoints():
    scripted = [Endpoint(f"e{i}") for i in range(2)]
    for endpoint in scripted:
        endpoint.server.start()
    yield scripted
    for endpoint in scripted:
        endpoint.server.close()


def _route(prefix, kind, timeout_ms=2000, **kwargs):
    return routing.Route(
        prefix,
        "h",
        prefix,
        kind,
        (routing.RouteTarget("svc", 1.0),),
        timeout_ms,
        300,
        max_gap_ms=200,
        **kwargs,
    )


@pytest.fixture
def config():
    return routing.RoutingConfig(
        1,
        [
            _route("/once/", routing.RouteKind.NON_IDEMPOTENT),
            _route("/again/", routing.RouteKind.IDEMPOTENT, max_attempts=2),
            _route(
                "/stream/",
                routing.RouteKind.STREAMING,
                timeout_ms=15000,
                max_attempts=2,
                resumable=True,
            ),
            _route("/fragile/", routing.RouteKind.STREAMING, max_attempts=2),
            _route("/free/", routing.RouteKind.IDEMPOTENT, public=True),
        ],
        [
            routing.Service(
                "svc",
                100,
                routing.EngineParameters(
                    8, 450000, 46, 0.9, 0.01, 0.0025, 256.0, 0.09, 2048
                ),
            )
        ],
        [
            routing.Team("team-a", ("key-a",)),
            routing.Team("team-b", ("key-b",)),
        ],
    )


class RecordingLog(observe.DecisionLog):
    """Decision log that keeps its entries in memory."""

    def __init__(self):
        super().__init__("me", base.SystemClock())
        self.decisions = []

    def write(self, decision):
        self.decisions.append(decision)


class System:
    """A forwarder behind an HTTP server, in front of scripted endpoints."""

    def __init__(self, config, endpoints):
        self.clock = base.SystemClock()
        self.platform_state = _state.PlatformState(4000.0, 2000.0)
        self.log = RecordingLog()
        view = placement.LoadView()
        self.health = placement.EndpointHealth()
        self.peers = _peers.PeerExchange(
            "me",
            "127.0.0.1",
            "z",
            _free_port(),
            view,
            self.health,
            self.log,
            self.clock,
            random.Random(1),
            lambda: True,
            lambda query: None,
            lambda reply, ip: None,
            lambda changed, ip: None,
            lambda endpoint: None,
        )
        self.forwarder = _forwarder.Forwarder(
            PlainCodec(),
            self.platform_state,
            self.peers,
            placement.Placer(view, self.health),
            self.health,
            placement.SharedRetryBudget(0.2, 10000.0, 100),
            self.log,
            observe.Metrics(),
            self.clock,
            random.Random(2),
            "z",
            1500.0,
            20000.0,
        )
        self.memory = _memory.make_gate(gateway.PolicySettings(), self.clock)
        self.front_server = connections.HttpExchangeServer(
            f"127.0.0.1:{_free_port()}",
            self.forwarder.handle,
            self.clock,
            memory=self.memory,
        )
        self.config = config
        self.listed_endpoints = [
            placement.Endpoint(e.name, e.server.address, "svc", "z", 8)
            for e in endpoints
        ]
        self.revision = 0
        self._calls = itertools.count()

    def start(self):
        self.peers.start()
        self.forwarder.start()
        self.front_server.start()

    def close(self):
        self.front_server.close()
        self.peers.close()
        self.forwarder.close()

    def apply_state(
        self,
        config=None,
        listed_endpoints=None,
        confirmed=True,
        evacuated=(),
        era=0,
    ):
        self.revision += 1
        snapshot = gateway.Snapshot(
            self.revision,
            self.revision,
            config or self.config,
            tuple(
                self.listed_endpoints
                if listed_endpoints is None
                else listed_endpoints
            ),
            {},
            self.revision,
            era,
            evacuated={z: kv.Position(era, self.revision) for z in evacuated},
        )
        raw = _history.RawState(kv.RangeResult(self.revision, (), era), 0)
        now_ms = self.clock.now_ms()
        self.platform_state.apply(raw, snapshot, now_ms)
        if confirmed:
            self.platform_state.freshness.confirm(now_ms)

    def call(self, path, key="key-a", timeout_ms=3000, **fields):
        conn = self.open(path, key, **fields)
        head = conn.read_head(timeout_ms)
        body = conn.read_body(timeout_ms, 1 << 20)
        conn.close()
        return connections.Response(head.status, head.headers, body)

    def open(self, path, key="key-a", body=None, **fields):
        conn = connections.ClientConnection(
            self.front_server.address, self.clock
        )
        conn.start(1000)
        headers = [(b"Host", b"h"), (b"Id", b"r1"), (b"Key", key.encode())]
        headers += [(k.encode(), str(v).encode()) for k, v in fields.items()]
        conn.send(
            connections.RequestHead(b"POST", path.encode(), tuple(headers)),
            b"body %d" % next(self._calls) if body is None else body,
            1000,
        )
        return conn


@pytest.fixture
def system(config, endpoints):
    running = System(config, endpoints)
    running.start()
    yield running
    running.close()


@pytest.fixture
def eventually():
    """Waits until a condition holds, for at most 5 s."""

    def wait(condition):
        for _ in range(500):
            if condition():
                return
            eventlet.sleep(0.01)
        raise AssertionError("condition does not hold")

    return wait


@pytest.fixture
def instance(plain_codec, free_port):
    """An instance that is not started, with a bound of 5 s."""
    ip, clock = "127.0.0.1", base.SystemClock()
    cfg = gateway.GatewaySettings(
        name="me",
        ip=ip,
        zone="z",
        front_address=f"{ip}:{free_port()}",
        ready_address=f"{ip}:{free_port()}",
        peer_port=free_port(),
        metrics_port=0,
        seed_ips=(),
        store_address="",
        lease_min_ms=1000.0,
        config_apply_ms=2000.0,
        revoke_ms=5000.0,
        drain_ms=2000.0,
        grace_ms=8000.0,
        retry_ratio=0.2,
        retry_window_ms=10000.0,
        retry_slack=10.0,
        stall_ms=1500.0,
        hold_max_ms=20000.0,
        policy=gateway.PolicySettings(evacuate_ms=5000.0),
    )
    decoder = types.SimpleNamespace(
        encode_peer=lambda name, address: kv.Put(name, b""),
        encode_record=kv.Put,
    )
    return gateway.Gateway(
        cfg,
        None,
        plain_codec,
        decoder,
        observe.DecisionLog("me", clock),
        clock,
        random.Random(1),
    )
