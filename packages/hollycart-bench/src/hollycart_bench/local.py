"""A small system inside one process, for focused tests."""

import hashlib
import random
from typing import Any

import eventlet
import msgspec

from hollycart import entry
from hollycart_bench import engine
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
        settings: Overrides of the instances' settings.
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
        self.engines = [self._engine(capacity_tokens) for _ in range(engines)]
        self.instance_count = instances
        self.capacity_tokens = capacity_tokens
        self.instances: list[entry.Instance] = []
        self.servers: list[http.HttpServer] = []
        self.entries: dict[str, membership.ListEntry] = {}
        self.client = http.HttpClient()
        self.kv_address = ""
        self.list_address = ""

    def start(self) -> None:
        """Starts everything and waits until the instances are ready."""
        self.client.start()
        self.kv_address = self._serve(self.kv_app)
        self.list_address = self._serve(self.list_app)
        for number, app in enumerate(self.engines):
            app.start()
            self._list(
                f"e{number}",
                membership.KIND_ENGINE,
                self._serve(app),
                name=MODEL,
                capacity_tokens=self.capacity_tokens,
            )
        for number, service in enumerate(self.services):
            self._list(
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
        """Stops everything."""
        for instance in self.instances:
            instance.close()
        for server in self.servers:
            server.close()
        self.client.close()

    def add_instance(self, name: str) -> entry.Instance:
        """Starts one more instance."""
        port, peer_port = (ports.find_free_port() for _ in range(2))
        values = {
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
        cfg = entry.parse_settings(values)
        instance = entry.Instance(cfg, self.clock, random.Random(7))
        self._list(
            name,
            membership.KIND_INSTANCE,
            f"{HOST}:{port}",
            peer_address=f"{HOST}:{peer_port}",
        )
        self.instances.append(instance)
        instance.start()
        return instance

    def address(self, number: int) -> str:
        """Returns the address of an instance."""
        return f"{HOST}:{self.instances[number].cfg.port}"

    def set_entry(self, name: str, **changes: Any) -> None:
        """Changes an entry of the instance list."""
        self.entries[name] = self.entries[name]._replace(**changes)
        self._publish(name)

    def wait_for(self, condition: Any) -> None:
        """Waits until a condition holds.

        Raises:
            TimeoutError: If it does not.
        """
        for _ in range(int(_WAIT_S / 0.02)):
            if condition():
                return
            eventlet.sleep(0.02)
        raise TimeoutError("condition")

    def post(
        self,
        path: str,
        value: Any,
        number: int = 0,
        headers: dict[str, str] | None = None,
        timeout_ms: float = 30_000,
    ) -> http.HttpResponse:
        """Sends a request of the sample team."""
        body = value if isinstance(value, bytes) else msgspec.json.encode(value)
        return self.client.send(
            "POST",
            f"http://{self.address(number)}{path}",
            body,
            {"Authorization": f"Bearer {TEAM_KEY}", **(headers or {})},
            timeout_ms,
        )

    def _engine(self, capacity_tokens: int) -> engine.EngineApp:
        orders = engine.OrderState((MODEL,), True, "", self.clock)
        batcher = engine.Batcher(engine.StepModel(), capacity_tokens)
        return engine.EngineApp(batcher, self.clock, orders, 50.0)

    def _serve(self, app: Any) -> str:
        server = http.HttpServer(app, HOST, 0)
        server.start()
        self.servers.append(server)
        return f"{HOST}:{server.port}"

    def _list(
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
