"""Starts a complete system as separate processes on loopback."""

import hashlib
import pathlib
import signal
import tempfile
import time
from typing import Any

import eventlet
import msgspec

from hollycart_bench import ports
from hollycart_bench.fleet import _halves
from hollycart_bench.fleet import _operator
from hollycart_bench.fleet import _process
from hollycart_bench.fleet import _spec
from hollycart_core import base
from hollycart_core import http
from hollycart_core import membership

HOST = ports.HOST
OPERATOR_KEY = "operator-key-of-the-bench"
PEER_SECRET = "peer-secret-of-the-bench"
_READY_TIMEOUT_S = 60.0


class Fleet:
    """A system of stand-ins, entry instances and a load balancer.

    Args:
        spec: Size and settings of the system.
        log_dir: Directory for the output of the processes.

    Attributes:
        processes: Processes by name.
        entries: Entries of the instance list by name.
        process_names: For an entry that shares a process with others, the name
            of that process.
        second_list_address: Address of the instance list that one side of the
            network partition reads; empty without a partition.
        keys: API keys by team.
        ctl: Runs the operators' command against this system.
    """

    def __init__(self, spec: _spec.FleetSpec, log_dir: pathlib.Path) -> None:
        self.spec = spec
        self.log_dir = log_dir
        self.client = http.HttpClient()
        self.processes: dict[str, _process.BenchProcess] = {}
        self.entries: dict[str, membership.ListEntry] = {}
        self.process_names: dict[str, str] = {}
        self.kv_address = ""
        self.list_address = ""
        self.second_list_address = ""
        self.partition = _halves.NetworkPartition(HOST)
        self.weight_address = ""
        self.balancer_address = ""
        self.keys: dict[str, str] = {}
        self.ctl = _operator.OperatorCommand({})

    def start(self) -> None:
        """Starts all processes and waits until all instances are ready.

        Raises:
            TimeoutError: If an instance is not ready or a stand-in does not
                accept connections within 60 s.
        """
        self.client.start()
        self._start_platform()
        self.ctl = _operator.OperatorCommand(self.operator_environ())
        self._start_engines()
        self._start_services()
        for number in range(self.spec.instances):
            self._add_instance(f"i{number}", number)
        self.publish(self.entries)
        for name in self.instance_names():
            self.processes[name].start()
            eventlet.sleep(self.spec.start_interval_s)
        if self.spec.balancer:
            self._start_balancer()
        for name in self.instance_names():
            self.wait_ready(name)

    def close(self) -> None:
        """Kills all processes that this fleet started."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(5.0)
        self.client.close()

    def stop_gracefully(self, timeout_s: float = 30.0) -> dict[str, int]:
        """Stops the running instances by SIGTERM.

        Args:
            timeout_s: Longest time to wait for all of them, in seconds.

        Returns:
            Exit codes by name, -1 for an instance that still runs.
        """
        names = [n for n in self.instance_names() if self.is_running(n)]
        for name in names:
            self.processes[name].signal(signal.SIGTERM)
        end_s = time.monotonic() + timeout_s
        codes = {}
        for name in names:
            while self.processes[name].is_running and time.monotonic() < end_s:
                eventlet.sleep(0.1)
            code = self.processes[name].poll()
            codes[name] = -1 if code is None else code
        return codes

    def instance_names(self) -> list[str]:
        """Returns the names of the entry instances."""
        return self.names(membership.KIND_INSTANCE)

    def names(self, kind: str) -> list[str]:
        """Returns the names of all entries of a kind."""
        return [n for n, e in self.entries.items() if e.kind == kind]

    def is_running(self, name: str) -> bool:
        """Returns whether the process of an entry runs."""
        return self.processes[self.process_names.get(name, name)].is_running

    def process(self, name: str) -> _process.BenchProcess:
        """Returns the process of an entry."""
        return self.processes[self.process_names.get(name, name)]

    def publish(self, entries: dict[str, membership.ListEntry]) -> None:
        """Adds or replaces entries in the instance list."""
        if not self.spec.partitionable:
            self.post_control(self.list_address, "entries", entries)
            return
        addresses = (self.list_address, self.second_list_address)
        for side, address in enumerate(addresses):
            visible = {
                n: self.partition.entry_for_side(side, e)
                for n, e in entries.items()
            }
            self.post_control(address, "entries", visible)

    def set_partitioned(self, partitioned: bool) -> None:
        """Starts or ends the network partition between the two sides."""
        self.partition.set_partitioned(partitioned)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """Marks an entry in the instance list as leaving or not leaving."""
        self.entries[name] = self.entries[name]._replace(leaving=leaving)
        self.publish({name: self.entries[name]})

    def post_control(self, address: str, control_name: str, value: Any) -> Any:
        """Posts a value to `/control/{control_name}` of a stand-in."""
        reply = self.client.send(
            "POST",
            f"http://{address}/control/{control_name}",
            msgspec.json.encode(value),
            timeout_ms=5000,
        )
        return reply.json()

    def get_json(self, address: str, path: str) -> Any:
        """Returns the JSON document at a path of a stand-in."""
        reply = self.client.send(
            "GET", f"http://{address}{path}", timeout_ms=5000
        )
        return reply.json()

    def status(self, name: str) -> Any:
        """Returns the status that an instance reports to operators."""
        reply = self.client.send(
            "GET",
            f"http://{self.entries[name].address}/admin/status",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            timeout_ms=3000,
        )
        return reply.json()

    def wait_ready(self, name: str) -> None:
        """Waits until an instance is ready.

        Raises:
            TimeoutError: If it is not ready within 60 s.
        """
        end_s = time.monotonic() + _READY_TIMEOUT_S
        url = f"http://{self.entries[name].address}/readyz"
        while time.monotonic() < end_s:
            try:
                if self.client.send("GET", url, timeout_ms=1000).status == 200:
                    return
            except base.HollycartError:
                pass
            eventlet.sleep(0.1)
        raise TimeoutError(f"{name} is not ready after {_READY_TIMEOUT_S} s")

    def operator_environ(self) -> dict[str, str]:
        """Returns the environment variables of the operators' command."""
        return {
            "HOLLYCARTCTL_KV_ADDRESS": self.kv_address,
            "HOLLYCARTCTL_LIST_ADDRESS": self.list_address,
            "HOLLYCARTCTL_OPERATOR_KEY": OPERATOR_KEY,
            "HOLLYCARTCTL_AUTHOR": "bench",
        }

    def load_table(self, csv_text: str, teams: list[str]) -> None:
        """Creates teams with keys, applies a table and waits for its use.

        Args:
            csv_text: The table as CSV.
            teams: Names of the teams to create.
        """
        for team in teams:
            reply = self.ctl.run("teams", "add", team)
            self.keys[team] = reply["key"]
        with tempfile.NamedTemporaryFile("w", suffix=".csv") as file:
            file.write(csv_text)
            file.flush()
            applied = self.ctl.run("apply", file.name)
        self.wait_revision(applied["revision"])

    def wait_revision(
        self, revision: int, timeout_s: float = _READY_TIMEOUT_S
    ) -> float:
        """Waits until all running instances use a table revision.

        Args:
            revision: Lowest revision of the table.
            timeout_s: Longest time to wait, in seconds.

        Returns:
            The time that it took, in seconds.

        Raises:
            TimeoutError: If an instance does not use it in time.
        """
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            if all(
                self.status(n)["table_revision"] >= revision
                for n in self.instance_names()
                if self.is_running(n)
            ):
                return time.monotonic() - started
            eventlet.sleep(0.02)
        raise TimeoutError(
            f"table revision {revision} is not in use by all instances "
            f"after {timeout_s} s"
        )

    def _start_platform(self) -> None:
        self.kv_address = self._start_standin("kv", "run-kv")
        self.list_address = self._start_standin(
            "list", "run-list", "--lag-ms", str(self.spec.list_lag_ms)
        )
        self.weight_address = self._start_standin("weights", "run-weights")
        if self.spec.partitionable:
            self.second_list_address = self._start_standin(
                "list2", "run-list", "--lag-ms", str(self.spec.list_lag_ms)
            )
            self._wait_port(self.second_list_address)
        for address in (self.kv_address, self.list_address):
            self._wait_port(address)

    def _start_engines(self) -> None:
        count = self.spec.engines
        step = self.spec.engines_per_process
        for first in range(0, count, step):
            numbers = range(first, min(count, first + step))
            port_of = {n: ports.find_free_port() for n in numbers}
            process_name = f"engines{first}"
            argv = [
                "run-engine",
                "--ports",
                ",".join(str(p) for p in port_of.values()),
                "--capacity-tokens",
                str(self.spec.capacity_tokens),
                "--model",
                self.spec.model,
                "--weight-store",
                self.weight_address,
            ]
            checks = first >= self.spec.engines_without_fence_check
            if not checks:
                argv.append("--no-checks-fence")
            self._start_standin_process(process_name, argv)
            for number, port in port_of.items():
                self._add_engine(number, port, process_name, checks)

    def _add_engine(
        self, number: int, port: int, process_name: str, checks: bool
    ) -> None:
        name = f"e{number:03d}"
        self.process_names[name] = process_name
        self.entries[name] = membership.ListEntry(
            name,
            membership.KIND_ENGINE,
            f"{HOST}:{port}",
            zone=self._zone(number),
            cell="default",
            name=self.spec.model,
            capacity_tokens=self.spec.capacity_tokens,
            checks_fence=checks,
        )

    def _start_services(self) -> None:
        for number in range(self.spec.services):
            port = ports.find_free_port()
            name = f"s{number}"
            journal = self.log_dir / f"{name}.journal"
            journal.unlink(missing_ok=True)
            self._start_standin_process(
                name,
                [
                    "run-service",
                    "--port",
                    str(port),
                    "--journal",
                    str(journal),
                ],
            )
            self.entries[name] = membership.ListEntry(
                name,
                membership.KIND_SERVICE,
                f"{HOST}:{port}",
                zone=self._zone(number),
                cell="default",
                name="cases",
                lookup_path="/lookup/",
            )

    def _start_balancer(self) -> None:
        port = ports.find_free_port()
        self.balancer_address = f"{HOST}:{port}"
        targets = [self.entries[n].address for n in self.instance_names()]
        argv = ["run-balancer", "--port", str(port)]
        argv += ["--targets", ",".join(targets)]
        self._start_standin_process("balancer", argv)
        self._wait_port(self.balancer_address)

    def _add_instance(self, name: str, number: int) -> None:
        port, peer_port = ports.find_free_port(), ports.find_free_port()
        self.entries[name] = membership.ListEntry(
            name,
            membership.KIND_INSTANCE,
            f"{HOST}:{port}",
            zone=self._zone(number),
            peer_address=f"{HOST}:{peer_port}",
            cell="default",
        )
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        environ = {
            "HOLLYCART_INSTANCE_ID": name,
            "HOLLYCART_ZONE": self._zone(number),
            "HOLLYCART_PORT": str(port),
            "HOLLYCART_PEER_PORT": str(peer_port),
            "HOLLYCART_KV_ADDRESS": self.kv_address,
            "HOLLYCART_LIST_ADDRESS": self._list_address_for(name),
            "HOLLYCART_OPERATOR_KEY_DIGEST": digest,
            "HOLLYCART_PEER_SECRET": PEER_SECRET,
            **self.spec.settings,
        }
        self.processes[name] = _process.BenchProcess(
            name,
            _process.python_module("hollycart.main", "serve"),
            self.log_dir,
            environ,
        )

    def _list_address_for(self, name: str) -> str:
        if self.spec.partitionable and _halves.side_of(name):
            return self.second_list_address
        return self.list_address

    def _start_standin(self, name: str, *argv: str) -> str:
        port = ports.find_free_port()
        self._start_standin_process(name, [*argv, "--port", str(port)])
        return f"{HOST}:{port}"

    def _start_standin_process(self, name: str, argv: list[str]) -> None:
        process = _process.BenchProcess(
            name,
            _process.python_module("hollycart_bench.standin", *argv),
            self.log_dir,
        )
        process.start()
        self.processes[name] = process

    def _wait_port(self, address: str) -> None:
        host, port = address.split(":")
        end_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < end_s:
            try:
                eventlet.connect((host, int(port))).close()
                return
            except OSError:
                eventlet.sleep(0.05)
        raise TimeoutError(address)

    def _zone(self, number: int) -> str:
        return f"zone-{number % self.spec.zones}"
