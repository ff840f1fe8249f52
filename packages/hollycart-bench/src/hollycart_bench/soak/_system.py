"""The processes of a soak and the operator's changes to them."""

import pathlib
import random
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
from hollycart_bench.soak import _record
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import http
from hollycart_core import placement
import hollycart_standins

_ZONES = ("a", "b", "c")
_READY_TIMEOUT_S = 15.0
_EXIT_TIMEOUT_S = 5.0
_CALL_TIMEOUT_MS = 2000.0
_MEMORY_BYTES = 200 << 20  # the smallest that deployments give an instance
_LOOP_DELAYED = '"event":"loop_delayed"'


class _EntryInstance(NamedTuple):
    cfg: gateway.GatewaySettings
    path: pathlib.Path
    process: fleet.BenchProcess
    store_proxy: _proxy.FaultProxy


class SoakSystem:
    """Runs entry instances, engines, the store, and a proxy for each target.

    Args:
        folder: Folder for settings, journals and output.
        instances: Number of entry instances.
        engines: Number of model engines.
        memory_bytes: Memory that the instances are told to have, in bytes; 0
            to tell none.
        max_descriptors: Descriptors that they are told to have; 0 to tell
            none.
        fair_shares: Whether teams share capacity that is scarce.

    Attributes:
        version: Version of the next configuration to be written.
        keys: API key by team.
        plain_service: Service that requests without a prompt are routed to.
        entry_instances: Entry instances by name.
        engines: Processes of the engines by engine id.
        endpoints: Published endpoints by engine id.
        proxies: Proxies in front of the engines by engine id.
        crash_segment: Segment on which the engines crash that are started from
            now on; empty for none.
        crash_body: Body of a request on which they do; empty for none.
        cold: Whether model engines that are started from now on are cold at
            first, and the next configuration says so.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int,
        engines: int,
        memory_bytes: int = _MEMORY_BYTES,
        max_descriptors: int = 0,
        fair_shares: bool = True,
    ) -> None:
        self.folder = folder
        self.memory_bytes = memory_bytes
        self.max_descriptors = max_descriptors
        self.fair_shares = fair_shares
        self.version = 1
        self.keys = {f"team-{n}": f"key-{n}" for n in range(5)}
        self.plain_service = _configuration.PLAIN_SERVICES[0]
        self.entry_instances: dict[str, _EntryInstance] = {}
        self.engines: dict[str, fleet.BenchProcess] = {}
        self.endpoints: dict[str, placement.Endpoint] = {}
        self.proxies: dict[str, _proxy.FaultProxy] = {}
        self.crash_segment = ""
        self.crash_body = ""
        self.cold = False
        self._targets: dict[str, str] = {}
        self._client = http.HttpClient()
        self._clock = base.SystemClock()
        self._instance_count = instances
        self._model_engine_count = engines
        self._store_address = ""
        self._store: fleet.BenchProcess | None = None

    def start(self) -> None:
        """Starts all processes and waits until all instances are ready.

        Raises:
            TimeoutError: If an instance does not become ready.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.journals():
            path.unlink()  # an earlier run may have used the same request ids
        self._client.start()
        self._start_store()
        for number in range(self._model_engine_count):
            self._start_engine_and_proxy(
                f"m{number}", _configuration.MODEL_SERVICE, number
            )
        for service in _configuration.PLAIN_SERVICES:
            for number in range(2):
                self._start_engine_and_proxy(
                    f"{service}{number}", service, number
                )
        self.put_config()
        peer_port, metrics_port = ports.find_free_port(), ports.find_free_port()
        for number in range(self._instance_count):
            self._start_instance(number, peer_port, metrics_port)
        for name in self.entry_instances:
            self.wait_ready(name)
        for engine_id in self.engines:
            self._wait_listening(engine_id)

    def close(self) -> None:
        """Kills all processes that this system started."""
        started = [i.process for i in self.entry_instances.values()]
        started += list(self.engines.values())
        if self._store is not None:
            started.append(self._store)
        # All are killed before any is waited for, so that none is left running
        # if a wait is interrupted.
        for process in started:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in started:
            process.wait(_EXIT_TIMEOUT_S)
        self._client.close()

    def put_config(self) -> float:
        """Writes the configuration to the store.

        Returns:
            Wall-clock time of the acknowledgement, in ms.
        """
        cfg = _configuration.make_config(
            self.version, self.keys, self.plain_service, self.cold
        )
        value = hollycart_standins.encode_config(cfg)
        self._put({hollycart_standins.config_key(): value})
        self.version += 7
        return self._clock.wall_ms()

    def put_endpoint(self, engine_id: str, leaving: bool) -> float:
        """Publishes the endpoint of an engine in the store.

        Args:
            engine_id: Id of the engine.
            leaving: Whether the engine is marked as leaving.

        Returns:
            Wall-clock time of the acknowledgement, in ms.
        """
        endpoint = self.endpoints[engine_id]._replace(leaving=leaving)
        key = hollycart_standins.endpoint_key(engine_id)
        self._put({key: hollycart_standins.encode_endpoint(endpoint)})
        return self._clock.wall_ms()

    def remove_endpoint(self, engine_id: str) -> float:
        """Removes the endpoint of an engine from the store.

        Returns:
            Wall-clock time of the acknowledgement, in ms.
        """
        self._put({}, [hollycart_standins.endpoint_key(engine_id)])
        return self._clock.wall_ms()

    def put_odd_entries(self, rng: random.Random) -> None:
        """Writes entries of another writer under each prefix."""
        endpoint = rng.choice(list(self.endpoints.values()))
        self._put(hollycart_standins.make_odd_entries(rng, endpoint))

    def put_unknown_state(self, engine_id: str) -> None:
        """Overwrites the entry of an engine with a state that has no name."""
        value = hollycart_standins.encode_unknown_state(
            self.endpoints[engine_id]
        )
        self._put({hollycart_standins.endpoint_key(engine_id): value})

    def evacuate_zone(self, zone: str, evacuated: bool = True) -> float:
        """Writes or removes the evacuation of a zone.

        Returns:
            Wall-clock time of the acknowledgement, in ms.
        """
        key = hollycart_standins.evacuation_key(zone)
        self._put({key: b"{}"} if evacuated else {}, [] if evacuated else [key])
        return self._clock.wall_ms()

    def set_store_faults(
        self, down: bool = False, delay_ms: float = 0.0
    ) -> None:
        """Sets the faults of the store, which affect all instances."""
        body = msgspec.json.encode({"down": down, "delay_ms": delay_ms})
        self._send("/control/faults", body)

    def restore_store(self, age_ms: float) -> None:
        """Sets the store back to a copy of an age, in ms."""
        self._send("/control/restore", msgspec.json.encode({"age_ms": age_ms}))

    def set_engine_faults(
        self, engine_id: str, faults: _engine.EngineFaults
    ) -> None:
        """Sets the faults of one engine, around its proxy."""
        address = self._targets[engine_id.partition("-")[0]]
        self._client.send(
            "POST",
            f"http://{address}{_engine.FAULTS_PATH.decode()}",
            msgspec.json.encode(faults),
            timeout_ms=_CALL_TIMEOUT_MS,
        )

    def start_engine(self, engine_id: str) -> str:
        """Starts and publishes a new incarnation of an engine that has exited.

        Returns:
            Id of the new incarnation.
        """
        name = engine_id.partition("-")[0]
        incarnation = int(engine_id.rpartition("-")[2]) + 1
        endpoint = self.endpoints.pop(engine_id)
        self.proxies[f"{name}-{incarnation}"] = self.proxies.pop(engine_id)
        self.engines.pop(engine_id)
        new_id = f"{name}-{incarnation}"
        self.endpoints[new_id] = endpoint._replace(id=new_id, leaving=False)
        self._run_engine(new_id, self._targets[name])
        self.put_endpoint(new_id, False)
        return new_id

    def restart_engines(self, service: str) -> None:
        """Starts all engines of a service again, as new incarnations."""
        for engine_id in self._engines_of(service):
            self.engines[engine_id].kill()
            self.remove_endpoint(engine_id)
            self.start_engine(engine_id)

    def restart_crashed(self, service: str) -> None:
        """Starts the engines of a service again that have ended."""
        for engine_id in self._engines_of(service):
            if not self.engines[engine_id].is_running:
                self.remove_endpoint(engine_id)
                self.start_engine(engine_id)

    def _engines_of(self, service: str) -> list[str]:
        return [i for i, e in self.endpoints.items() if e.service == service]

    def is_ready(self, name: str) -> bool:
        """Returns whether an instance reports that it is ready."""
        entry_instance = self.entry_instances[name]
        conn = connections.ClientConnection(
            entry_instance.cfg.ready_address, self._clock
        )
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
        end_ms = self._clock.now_ms() + _READY_TIMEOUT_S * 1000.0
        while not self.is_ready(name):
            if self._clock.now_ms() > end_ms:
                raise TimeoutError(f"{name} is not ready")
            eventlet.sleep(0.1)

    def _wait_listening(self, engine_id: str) -> None:
        end_ms = self._clock.now_ms() + _READY_TIMEOUT_S * 1000.0
        while True:
            try:
                self.held(engine_id)
                return
            except base.HollycartError as exc:
                if self._clock.now_ms() > end_ms:
                    raise TimeoutError(f"{engine_id} is not ready") from exc
                eventlet.sleep(0.1)

    def held(self, engine_id: str) -> int:
        """Returns the number of reservations that an engine holds."""
        reply = self._client.send(
            "GET",
            f"http://{self._targets[engine_id.partition('-')[0]]}"
            f"{_engine.HELD_PATH.decode()}",
            timeout_ms=_CALL_TIMEOUT_MS,
        )
        return int(reply.body)

    def peak_memory_mb(self, name: str) -> float:
        """Returns the largest resident memory of an instance, in MB."""
        pid = self.entry_instances[name].process.pid
        return fleet.read_memory_bytes(pid, "VmHWM") / (1 << 20)

    def loop_delays(self, name: str) -> list[_record.LoopDelay]:
        """Returns the late rounds that an instance logged."""
        found = []
        path = self.folder / f"{name}.log"
        for line in path.read_text(encoding="utf-8").splitlines():
            if _LOOP_DELAYED in line:
                entry = msgspec.json.decode(line)
                found.append(
                    _record.LoopDelay(name, entry["time_ms"], entry["delay_ms"])
                )
        return found

    def plain_service_addresses(self) -> list[str]:
        """Returns the addresses of the engines of the current plain service."""
        return [
            self._targets[engine_id.partition("-")[0]]
            for engine_id, endpoint in self.endpoints.items()
            if endpoint.service == self.plain_service
        ]

    def journals(self) -> list[pathlib.Path]:
        """Returns the journals of all engines."""
        return sorted(self.folder.glob("*.journal"))

    def journal_sizes(self, service: str) -> dict[str, int]:
        """Returns the sizes of the journals of a service's engines by id."""
        sizes = {}
        for engine_id, endpoint in self.endpoints.items():
            path = self.folder / f"{engine_id}.journal"
            if endpoint.service == service and path.exists():
                sizes[engine_id] = path.stat().st_size
        return sizes

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
        end_ms = self._clock.now_ms() + _READY_TIMEOUT_S * 1000.0
        while True:
            try:
                self.set_store_faults()
                return
            except base.HollycartError:
                if self._clock.now_ms() > end_ms:
                    raise
                eventlet.sleep(0.1)

    def _start_engine_and_proxy(
        self, name: str, service: str, number: int
    ) -> None:
        target = f"{ports.HOST}:{ports.find_free_port()}"
        proxy = _proxy.FaultProxy(
            f"{ports.HOST}:{ports.find_free_port()}", target
        )
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
        serves_prompts = (
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
                "--prompts" if serves_prompts else "--no-prompts",
                "--crash-segment",
                self.crash_segment,
                "--crash-body",
                self.crash_body,
                "--cold-ms",
                str(_configuration.COLD_MS if self.cold else 0.0),
            ),
            self.folder,
        )
        process.start()
        self.engines[engine_id] = process

    def _start_instance(
        self, number: int, peer_port: int, metrics_port: int
    ) -> None:
        # All instances use the same peer port, so each has its own IP address.
        ip = f"127.0.1.{number + 1}"
        store_proxy = _proxy.FaultProxy(
            f"{ports.HOST}:{ports.find_free_port()}", self._store_address
        )
        store_proxy.start()
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
            store_address=store_proxy.address,
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
            policy=gateway.PolicySettings(
                evacuate_ms=_record.EVACUATE_BOUND_MS,
                cold_overage=_configuration.COLD_OVERAGE,
                cold_slack=_configuration.COLD_SLACK,
                memory_bytes=self.memory_bytes,
                max_descriptors=self.max_descriptors,
                fair_shares=self.fair_shares,
                queries_load=True,
            ),
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
        self.entry_instances[name] = _EntryInstance(
            cfg, path, process, store_proxy
        )

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
            timeout_ms=_CALL_TIMEOUT_MS,
        )
        if reply.status != 200:
            raise base.EndpointFailedError(f"{path}: {reply.status}")
