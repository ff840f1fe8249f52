"""A small system inside one process, for integration tests."""

import hashlib
import pathlib
import random
import shlex
from typing import Any

import eventlet
import msgspec

from hollycart import entry
from hollycart_bench import engine
from hollycart_bench import fleet
from hollycart_bench import platform
from hollycart_bench import ports
from hollycart_core import base
from hollycart_core import http
from hollycart_core import membership
from hollycart_core import table

HOST = ports.HOST
TEAM_KEY = "team-key"
OPERATOR_KEY = "operator-key"
MODEL = "draft"
_WAIT_S = 20.0


class LocalSystem:
    """Stand-ins and entry instances that share one event loop.

    Args:
        instances: Number of entry instances.
        engines: Number of model engines.
        capacity_tokens: KV-cache memory of an engine, in tokens.
        settings: Settings of the instances that replace the defaults.
    """

    def __init__(
        self,
        instances: int = 2,
        engines: int = 2,
        capacity_tokens: int = 100_000,
        settings: dict[str, str] | None = None,
    ) -> None:
        self.clock = base.SystemClock()
        self.settings = settings or {}
        self.kv_app = platform.KvApp(self.clock)
        self.list_app = platform.ListApp(self.clock, lag_ms=0.0)
        self.services = [platform.ServiceApp(self.clock) for _ in range(2)]
        self.engines = [
            self._make_engine(capacity_tokens) for _ in range(engines)
        ]
        self.instance_count = instances
        self.capacity_tokens = capacity_tokens
        self.instances: list[entry.Instance] = []
        self.servers: list[http.HttpServer] = []
        self.entries: dict[str, membership.ListEntry] = {}
        self.client = http.HttpClient()
        self.kv_address = ""
        self.list_address = ""

    def start(self) -> None:
        """Starts all parts and waits until the instances are ready.

        Raises:
            TimeoutError: If an instance is not ready within 20 s.
        """
        self.client.start()
        self.kv_address = self._serve(self.kv_app)
        self.list_address = self._serve(self.list_app)
        for number, app in enumerate(self.engines):
            app.start()
            self._add_list_entry(
                f"e{number}",
                membership.KIND_ENGINE,
                self._serve(app),
                name=MODEL,
                capacity_tokens=self.capacity_tokens,
            )
        for number, service in enumerate(self.services):
            self._add_list_entry(
                f"s{number}",
                membership.KIND_SERVICE,
                self._serve(service),
                name="cases",
                lookup_path="/lookup/",
            )
        self._load_table()
        for number in range(self.instance_count):
            self.add_instance(f"i{number}")
        for instance in self.instances:
            self.wait_for(lambda i=instance: i.lifecycle.ready)

    def close(self) -> None:
        """Stops the instances, the servers and the client."""
        for instance in self.instances:
            instance.close()
        for server in self.servers:
            server.close()
        self.client.close()

    def add_instance(self, name: str) -> entry.Instance:
        """Starts another instance and adds it to the instance list."""
        cfg = entry.parse_settings(self._add_settings(name))
        instance = entry.Instance(cfg, self.clock, random.Random(7))
        self.instances.append(instance)
        instance.start()
        return instance

    def start_process(
        self, name: str, folder: pathlib.Path, max_descriptors: int
    ) -> tuple[fleet.BenchProcess, int, int]:
        """Starts an instance in a process of its own and waits for it.

        Args:
            name: Identifier in the instance list.
            folder: Folder of its output.
            max_descriptors: Files and sockets that it may open.

        Returns:
            The process, its port for callers and that for other instances.

        Raises:
            TimeoutError: If the instance is not ready within 20 s.
        """
        values = self._add_settings(name)
        flags = [
            f"--{key.replace('_', '-')}={value}"
            for key, value in values.items()
        ]
        command = shlex.join(
            fleet.python_module("hollycart.main", "serve", *flags)
        )
        limited = f"ulimit -n {max_descriptors} && exec {command}"
        process = fleet.BenchProcess(name, ["/bin/sh", "-c", limited], folder)
        process.start()
        port = int(values["port"])
        self.wait_for(lambda: self._is_ready(port))
        return process, port, int(values["peer_port"])

    def _is_ready(self, port: int) -> bool:
        try:
            url = f"http://{HOST}:{port}/readyz"
            return self.client.send("GET", url, timeout_ms=500).status == 200
        except base.HollycartError:
            return False

    def _add_settings(self, name: str) -> dict[str, str]:
        """Returns the settings of an instance that is added to the list."""
        port, peer_port = (ports.find_free_port() for _ in range(2))
        self._add_list_entry(
            name,
            membership.KIND_INSTANCE,
            f"{HOST}:{port}",
            peer_address=f"{HOST}:{peer_port}",
        )
        return {
            "instance_id": name,
            "port": str(port),
            "peer_port": str(peer_port),
            "kv_address": self.kv_address,
            "list_address": self.list_address,
            "operator_key_digest": _digest(OPERATOR_KEY),
            "peer_secret": "secret",
            "list_interval_ms": "50",
            "exchange_interval_ms": "50",
            "report_interval_ms": "200",
            "list_lag_ms": "100",
            **self.settings,
        }

    def address(self, number: int) -> str:
        """Returns the `host:port` of an instance by its index."""
        return f"{HOST}:{self.instances[number].cfg.port}"

    def set_entry(self, name: str, **changes: Any) -> None:
        """Changes fields of an entry in the instance list."""
        self.entries[name] = self.entries[name]._replace(**changes)
        self._publish(name)

    def wait_for(self, condition: Any) -> None:
        """Waits until a condition holds.

        Raises:
            TimeoutError: If it does not hold within 20 s.
        """
        for _ in range(int(_WAIT_S / 0.02)):
            if condition():
                return
            eventlet.sleep(0.02)
        raise TimeoutError("condition does not hold after 20 s")

    def post(
        self,
        path: str,
        value: Any,
        number: int = 0,
        headers: dict[str, str] | None = None,
        timeout_ms: float = 30_000,
    ) -> http.HttpResponse:
        """Sends a POST request of the sample team to an instance.

        Args:
            path: Path of the request.
            value: Body as bytes, or a value to encode as JSON.
            number: Index of the instance.
            headers: Additional headers.
            timeout_ms: Time-out of the client, in ms.
        """
        body = value if isinstance(value, bytes) else msgspec.json.encode(value)
        return self.client.send(
            "POST",
            f"http://{self.address(number)}{path}",
            body,
            {"Authorization": f"Bearer {TEAM_KEY}", **(headers or {})},
            timeout_ms,
        )

    def _make_engine(self, capacity_tokens: int) -> engine.EngineApp:
        orders = engine.OrderState((MODEL,), True, "", self.clock)
        batcher = engine.Batcher(engine.StepModel(), capacity_tokens)
        return engine.EngineApp(batcher, self.clock, orders, 50.0)

    def _serve(self, app: Any) -> str:
        server = http.HttpServer(app, HOST, 0)
        server.start()
        self.servers.append(server)
        return f"{HOST}:{server.port}"

    def _add_list_entry(
        self, entry_id: str, kind: str, address: str, **fields: Any
    ) -> None:
        self.entries[entry_id] = membership.ListEntry(
            entry_id, kind, address, cell="default", **fields
        )
        self._publish(entry_id)

    def _publish(self, name: str) -> None:
        self.client.send(
            "POST",
            f"http://{self.list_address}/control/entries",
            msgspec.json.encode({name: self.entries[name]}),
        )

    def _load_table(self) -> None:
        rows: list[table.Row] = [
            table.TeamRow("team", (_digest(TEAM_KEY),)),
            table.LimitRow(
                "team", "default", 1, "urgent", 20_000, 1_000_000, 1000, 0
            ),
        ]
        changes = [table.RowChange.of(row.key, 0, row) for row in rows]
        tables = table.TableStore(self.kv_app.store, self.clock)
        tables.commit(changes, "setup", "test")


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
