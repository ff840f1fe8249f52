"""Starts gateways, engines and the store of one small deployment."""

import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from standins_2 import consumer
from standins_2 import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[3]
MODEL_SERVICE = "lm-pool"
PLAIN_SERVICE = "member-desk"
ZONES = ("port-hall", "chag-hall", "arima-hall")
_READY_TIMEOUT_S = 25.0
_FIRST_PORT = 21000
_LAST_PORT = 29000

# The settings file of `fleetbench wire`, with the bounds of the small site.
_SETTINGS = """node-name = "{name}"
role = "gateway"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "tt-north"
port-range = [{peer_port},{metrics_port}]
seeds = []
bootstrap = true
in-fault-budget = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","platform","spans"]
[zones]
port-hall = "tt-north"
chag-hall = "tt-north"
arima-hall = "tt-north"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu-share = 0.537
cpu-cores = 2
memory-mb = 300
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 100
recovery-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 1500
hold-max-ms = 20000
free-ms = 4000
idle-max-ms = 9000
[provider]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class CannotRunError(Exception):
    """The case could not be run, so that it shows nothing."""


class Gateway:
    """One instance, as the deploy file starts it.

    Args:
        system: The system that it belongs to.
        number: Its number, from 0.
    """

    def __init__(self, system: "System", number: int) -> None:
        self.name = f"edge-{ZONES[number % 3]}-{number}"
        ip = f"127.0.3.{number + 1}"
        self.front = f"{ip}:{system.port}"
        self.ready = f"{ip}:{system.port + 1}"
        self._log = system.folder / f"{self.name}.log"
        self._settings = system.folder / f"{self.name}.toml"
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=ip,
                zone=ZONES[number % 3],
                peer_port=system.port + 2,
                metrics_port=system.port + 3,
                front=self.front,
                ready=self.ready,
                store=system.store.serve(self.name, "127.0.0.1"),
            )
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        environ = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        environ["HOLLYCART_NODE_FILE"] = str(self._settings)
        environ["PYTHONPATH"] = "target/deps"
        environ["EVENTLET_NO_GREENDNS"] = "yes"
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "hollycart_platform.serve"],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_ready(self) -> bool:
        """Returns whether the platform would send channels here."""
        host, _, port = self.ready.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 0.5) as sock:
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                return b" 200 " in sock.recv(64)
        except OSError:
            return False

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class System:
    """A store, engines and gateways, each on loopback addresses.

    Args:
        case: Folder of the case, for its record.
        gateways: Number of gateways.
    """

    def __init__(self, case: pathlib.Path, gateways: int) -> None:
        if not (ROOT / "target/deps/hollycart_platform").exists():
            raise CannotRunError("target/deps is missing: build first")
        self.case = case
        self.started_s = time.time()
        self.closed = False
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = stores.Store()
        self.port = _find_ports(gateways)
        self.engines: dict[str, subprocess.Popen] = {}
        self._engine_args: dict[str, list[str]] = {}
        self._entries: dict[str, dict[str, Any]] = {}
        self._lines: list[str] = []
        self.gateways = [Gateway(self, n) for n in range(gateways)]

    def __enter__(self) -> "System":
        return self

    def __exit__(self, *args: object) -> None:
        self.close()

    def close(self) -> None:
        """Ends all processes, writes the record, removes the folder."""
        self.closed = True
        time.sleep(0.1)
        processes = [g.process for g in self.gateways if g.process]
        processes += list(self.engines.values())
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        self._lines += [f"engine {line}" for line in self.journal()]
        (self.case / "record.txt").write_text("\n".join(self._lines) + "\n")
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text: str) -> None:
        """Adds a line with the time since the start to the record."""
        line = f"{time.time() - self.started_s:8.3f} {text}"
        self._lines.append(line)
        print(line, flush=True)

    def journal(self) -> list[str]:
        """Returns the journals of all engines; times since the start."""
        found = []
        for path in sorted(self.folder.glob("*.journal")):
            for line in path.read_text().splitlines():
                at_s, _, rest = line.partition(" ")
                found.append(f"{float(at_s) - self.started_s:8.3f} {rest}")
        return sorted(found)

    def put_config(self, routes: list[dict[str, Any]]) -> None:
        """Writes the first config."""
        self.store.put(
            "op/config",
            {
                "version": 7,
                "routes": routes,
                "services": [
                    {
                        "name": MODEL_SERVICE,
                        "health-path": "/health",
                        "max-conns": 354,
                        "engine": {
                            "slots": 8,
                            "kv-capacity-tokens": 450000,
                            "stride": 46,
                            "step_ms": 0.925,
                            "per_seq_ms": 0.00966,
                            "context_per_k": 0.00254,
                            "read_per_s": 256000.0,
                            "pairs_per_m": 0.0917,
                            "chunk": 2048,
                            "usual": {"prompt": 13199, "answer": 1541},
                        },
                    },
                    {
                        "name": PLAIN_SERVICE,
                        "health-path": "/health",
                        "max-conns": 96,
                    },
                ],
                "limits": {
                    "max-header-bytes": 16384,
                    "max-body-bytes": 4194304,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                },
                "tenants": [
                    {
                        "name": "hule930",
                        "api-keys": [consumer.KEY],
                        "priority": 1,
                    }
                ],
            },
        )

    def add_engine(
        self, engine_id: str, service: str, zone: int, *args: str
    ) -> None:
        """Starts an engine and lists it in the store."""
        address = f"127.0.0.1:{_find_port()}"
        self._engine_args[engine_id] = [
            sys.executable,
            "-m",
            "standins_2.engine",
            "--address",
            address,
            "--id",
            engine_id,
            "--journal",
            str(self.folder / f"{engine_id}.journal"),
            *args,
        ]
        self._entries[engine_id] = {
            "service": service,
            "address": address,
            "zone": ZONES[zone],
            "version": "v1",
            "slots": 8 if service == MODEL_SERVICE else 6,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
        }
        self.start_engine(engine_id)

    def start_engine(self, engine_id: str) -> None:
        """Starts an engine, again under its id, and writes its entry."""
        self.engines[engine_id] = subprocess.Popen(
            self._engine_args[engine_id],
            cwd=pathlib.Path(__file__).resolve().parents[1],
            stdin=subprocess.DEVNULL,
        )
        host, _, port = self._entries[engine_id]["address"].rpartition(":")
        end_s = time.time() + 10.0
        while True:
            try:
                socket.create_connection((host, int(port)), 0.5).close()
                break
            except OSError as exc:
                if time.time() > end_s:
                    raise CannotRunError(f"{engine_id} is not up") from exc
                time.sleep(0.02)
        self._entries[engine_id]["born"] = int(time.time() * 1000)
        self.start_entry(engine_id)

    def start_entry(self, engine_id: str) -> None:
        """Writes the entry of an engine."""
        self.store.put(f"servers/{engine_id}", self._entries[engine_id])

    def kill_engine(self, engine_id: str) -> None:
        """Crashes an engine by SIGKILL."""
        self.engines[engine_id].kill()
        self.engines[engine_id].wait()

    def start_gateways(self) -> None:
        """Starts all gateways and waits until they are ready."""
        for gateway in self.gateways:
            gateway.start()
        end_s = time.time() + _READY_TIMEOUT_S
        while not all(g.is_ready() for g in self.gateways):
            if time.time() > end_s:
                raise CannotRunError("the gateways are not ready")
            time.sleep(0.1)

    def wait_journal(self, text: str, timeout_s: float) -> str:
        """Waits for a line of an engine's journal that contains a text."""
        end_s = time.time() + timeout_s
        while time.time() < end_s:
            for line in self.journal():
                if text in line:
                    return line
            time.sleep(0.02)
        raise CannotRunError(f"no engine has written {text!r}")


def route(
    name: str, kind: str, service: str, timeout_ms: int, **more: Any
) -> dict[str, Any]:
    """Returns a route of the config."""
    return {
        "name": name,
        "host": "review.example",
        "path-prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": timeout_ms,
        "priority": 1,
        "public": False,
        **more,
    }


def run(case: pathlib.Path, gateways: int, play: Any) -> int:
    """Runs a case; returns its exit code.

    Args:
        case: Folder of the case.
        gateways: Number of gateways.
        play: Called with the system and whether the disruption comes; returns
            whether the rule was broken.
    """

    def stop(signum: int, frame: object) -> None:
        raise CannotRunError(f"stopped by signal {signum}")

    signal.signal(signal.SIGALRM, stop)
    signal.signal(signal.SIGTERM, stop)
    signal.alarm(110)
    try:
        with System(case, gateways) as system:
            broken = play(system, os.environ.get("TROUBLE", "1") != "0")
            system.note("BROKEN" if broken else "HELD")
    except (CannotRunError, OSError) as exc:
        print(f"could not run: {exc}")
        return 2
    return 1 if broken else 0


def _find_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def _find_ports(gateways: int) -> int:
    """Returns the first of four ports that are free on all addresses."""
    for port in range(_FIRST_PORT + os.getpid() % 1000 * 4, _LAST_PORT, 4):
        if all(
            _is_free(f"127.0.3.{n + 1}", port + k)
            for n in range(gateways)
            for k in range(4)
        ):
            return port
    raise CannotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True
