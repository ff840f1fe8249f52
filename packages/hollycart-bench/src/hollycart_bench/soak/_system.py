"""The processes of a soak and the faults that touch them."""

import pathlib
import signal
from typing import NamedTuple

import eventlet
import msgspec

from hollycart import gateway
from hollycart_bench import fleet
from hollycart_bench import ports
from hollycart_bench import virtual
from hollycart_bench.soak import _configuration
from hollycart_bench.soak import _engine
from hollycart_bench.soak import _proxy
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import http
from hollycart_core import placement
import hollycart_standins

_ZONES = ("a", "b", "c")
_READY_S = 15.0
_END_S = 5.0
_CALL_MS = 2000.0


class _Node(NamedTuple):
    cfg: gateway.GatewaySettings
    path: pathlib.Path
    process: fleet.BenchProcess
    store: _proxy.Proxy


class SoakSystem:
    """Entry instances, engines, the store, and a proxy before each target.

    Args:
        folder: Folder for settings, journals and output.
        instances: Number of entry instances.
        engines: Number of model engines.

    Attributes:
        version: Version of the configuration in force.
        keys: API key by team.
        plain: Service that plain routes lead to.
    """

    def __init__(
        self, folder: pathlib.Path, instances: int, engines: int
    ) -> None:
        self.folder = folder
        self.version = 1
        self.keys = {f"team-{n}": f"key-{n}" for n in range(4)}
        self.plain = _configuration.PLAIN_SERVICES[0]
        self.nodes: dict[str, _Node] = {}
        self.engines: dict[str, fleet.BenchProcess] = {}
        self.endpoints: dict[str, placement.Endpoint] = {}
        self.proxies: dict[str, _proxy.Proxy] = {}
        self._targets: dict[str, str] = {}
        self._client = http.HttpClient()
        self._clock = base.SystemClock()
        self._instances = instances
        self._model_engines = engines
        self._store_address = ""
        self._store: fleet.BenchProcess | None = None

    def start(self) -> None:
        """Starts everything and waits until all instances are ready.

        Raises:
            TimeoutError: If an instance does not become ready.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.journals():
            path.unlink()  # of an earlier run with the same request ids
        self._client.start()
        self._start_store()
        for number in range(self._model_engines):
            self._add_engine(f"m{number}", _configuration.MODEL_SERVICE, number)
        for service in _configuration.PLAIN_SERVICES:
            for number in range(2):
                self._add_engine(f"{service}{number}", service, number)
        self.put_config()
        peer_port, metrics_port = ports.find_free_port(), ports.find_free_port()
        for number in range(self._instances):
            self._add_node(number, peer_port, metrics_port)
        for name in self.nodes:
            self.wait_ready(name)

    def close(self) -> None:
        """Ends all processes that this system started."""
        started = [n.process for n in self.nodes.values()]
        started += list(self.engines.values())
        if self._store is not None:
            started.append(self._store)
        # Each is ended before any is waited for: nothing stays behind if a
        # wait is broken off.
        for process in started:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in started:
            process.wait(_END_S)
        self._client.close()

    def put_config(self) -> float:
        """Writes the configuration; returns when it was acknowledged."""
        cfg = _configuration.make_config(self.version, self.keys, self.plain)
        value = hollycart_standins.encode_config(cfg)
        self._put({hollycart_standins.config_key(): value})
        self.version += 7
        return self._clock.wall_ms()

    def put_endpoint(self, engine_id: str, leaving: bool) -> float:
        """Lists an engine; returns when that was acknowledged."""
        endpoint = self.endpoints[engine_id]._replace(leaving=leaving)
        key = hollycart_standins.endpoint_key(engine_id)
        self._put({key: hollycart_standins.encode_endpoint(endpoint)})
        return self._clock.wall_ms()

    def remove_endpoint(self, engine_id: str) -> float:
        """Takes an engine off the list; returns the acknowledgement."""
        self._put({}, [hollycart_standins.endpoint_key(engine_id)])
        return self._clock.wall_ms()

    def harm_store(self, down: bool = False, delay_ms: float = 0.0) -> None:
        """Changes the faults of the store for all instances."""
        body = msgspec.json.encode({"down": down, "delay_ms": delay_ms})
        self._send("/control/faults", body)

    def start_engine(self, engine_id: str) -> str:
        """Starts a new lifetime of an engine that has ended; lists it."""
        name = engine_id.partition("-")[0]
        lifetime = int(engine_id.rpartition("-")[2]) + 1
        endpoint = self.endpoints.pop(engine_id)
        self.proxies[f"{name}-{lifetime}"] = self.proxies.pop(engine_id)
        self.engines.pop(engine_id)
        fresh = f"{name}-{lifetime}"
        self.endpoints[fresh] = endpoint._replace(id=fresh, leaving=False)
        self._run_engine(fresh, self._targets[name])
        self.put_endpoint(fresh, False)
        return fresh

    def ready(self, name: str) -> bool:
        """Returns whether an instance says that it takes callers."""
        node = self.nodes[name]
        conn = connections.ClientConnection(node.cfg.ready_address, self._clock)
        head = connections.RequestHead(b"GET", b"/", ((b"Host", b"r"),))
        try:
            conn.start(300.0)
            conn.send(head, b"", 300.0)
            return conn.read_head(300.0).status == 200
        except base.HollycartError:
            return False
        finally:
            conn.close()

    def wait_ready(self, name: str) -> None:
        """Waits until an instance is ready.

        Raises:
            TimeoutError: If it does not become ready.
        """
        end_ms = self._clock.now_ms() + _READY_S * 1000.0
        while not self.ready(name):
            if self._clock.now_ms() > end_ms:
                raise TimeoutError(f"{name} is not ready")
            eventlet.sleep(0.1)

    def held(self, engine_id: str) -> int:
        """Returns the reservations that an engine holds."""
        reply = self._client.send(
            "GET",
            f"http://{self._targets[engine_id.partition('-')[0]]}"
            f"{_engine.HELD_PATH.decode()}",
            timeout_ms=_CALL_MS,
        )
        return int(reply.body)

    def plain_addresses(self) -> list[str]:
        """Returns the engines that serve requests without a prompt."""
        return [
            self._targets[engine_id.partition("-")[0]]
            for engine_id, endpoint in self.endpoints.items()
            if endpoint.service == self.plain
        ]

    def journals(self) -> list[pathlib.Path]:
        """Returns the journals of all engines."""
        return sorted(self.folder.glob("*.journal"))

    def _start_store(self) -> None:
        port = ports.find_free_port()
        self._store_address = f"{ports.HOST}:{port}"
        self._store = fleet.BenchProcess(
            "store",
            fleet.python_module(
                "hollycart_bench.standin",
                "run-platform-store",
                "--port",
                str(port),
            ),
            self.folder,
        )
        self._store.start()
        end_ms = self._clock.now_ms() + _READY_S * 1000.0
        while True:
            try:
                self.harm_store()
                return
            except base.HollycartError:
                if self._clock.now_ms() > end_ms:
                    raise
                eventlet.sleep(0.1)

    def _add_engine(self, name: str, service: str, number: int) -> None:
        target = f"{ports.HOST}:{ports.find_free_port()}"
        proxy = _proxy.Proxy(f"{ports.HOST}:{ports.find_free_port()}", target)
        proxy.start()
        engine_id = f"{name}-0"
        self._targets[name] = target
        self.proxies[engine_id] = proxy
        self.endpoints[engine_id] = placement.Endpoint(
            engine_id,
            proxy.address,
            service,
            _ZONES[number % len(_ZONES)],
            virtual.PUBLISHED_ENGINE.slots,
        )
        self._run_engine(engine_id, target)
        self.put_endpoint(engine_id, False)

    def _run_engine(self, engine_id: str, target: str) -> None:
        model = (
            self.endpoints[engine_id].service == _configuration.MODEL_SERVICE
        )
        process = fleet.BenchProcess(
            engine_id,
            fleet.python_module(
                "hollycart_bench.standin",
                "run-platform-engine",
                "--address",
                target,
                "--engine-id",
                engine_id,
                "--journal",
                str(self.folder / f"{engine_id}.journal"),
                "--prompts" if model else "--no-prompts",
            ),
            self.folder,
        )
        process.start()
        self.engines[engine_id] = process

    def _add_node(self, number: int, peer_port: int, metrics_port: int) -> None:
        # Instances share the port for peers, so each has its own address.
        ip = f"127.0.1.{number + 1}"
        store = _proxy.Proxy(
            f"{ports.HOST}:{ports.find_free_port()}", self._store_address
        )
        store.start()
        name = f"n{number}"
        cfg = gateway.GatewaySettings(
            name=name,
            ip=ip,
            zone=_ZONES[number % len(_ZONES)],
            front_address=f"{ip}:{ports.find_free_port()}",
            ready_address=f"{ip}:{ports.find_free_port()}",
            peer_port=peer_port,
            metrics_port=metrics_port,
            seed_ips=("127.0.1.1", "127.0.1.2"),
            store_address=store.address,
            lease_min_ms=1000.0,
            config_apply_ms=2000.0,
            revoke_ms=5000.0,
            drain_ms=2000.0,
            grace_ms=8000.0,
            retry_ratio=0.2,
            retry_window_ms=10000.0,
            retry_slack=100.0,
            stall_ms=1500.0,
            hold_max_ms=20000.0,
        )
        path = self.folder / f"{name}.toml"
        path.write_text(hollycart_standins.encode_settings(cfg))
        process = fleet.BenchProcess(
            name,
            fleet.python_module("hollycart_platform.serve"),
            self.folder,
            {"HOLLYCART_NODE_FILE": str(path)},
        )
        process.start()
        self.nodes[name] = _Node(cfg, path, process, store)

    def _put(
        self, values: dict[str, bytes], remove: list[str] | None = None
    ) -> None:
        body = hollycart_standins.encode_txn(values, remove or [])
        self._send("/control/txn", body)

    def _send(self, path: str, body: bytes) -> None:
        reply = self._client.send(
            "POST",
            f"http://{self._store_address}{path}",
            body,
            timeout_ms=_CALL_MS,
        )
        if reply.status != 200:
            raise base.EndpointFailedError(f"{path}: {reply.status}")
