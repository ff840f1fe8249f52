"""Starts instances with the command of the deploy file, on loopback."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import time

from common import http1

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The bounds of cpig-render's sheet.
SETTINGS = """node-name = "{name}"
role = "gateway"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "tt-north"
port-range = [{first_port},{last_port}]
seeds = []
bootstrap = {bootstrap}
in-fault-budget = true
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
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
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
ZONES = ("port-hall", "chag-hall", "arima-hall")


class CannotRunError(Exception):
    """The case could not be run; it says nothing about the rule."""


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Returns ports that nobody uses."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Instance:
    """A process of the gateway role.

    Attributes:
        name: Its `node-name`.
        front: Address for consumers.
        ready: Address for readiness checks.
    """

    def __init__(
        self, number: int, ports: list[int], store: str, folder: pathlib.Path
    ) -> None:
        self.name = f"edge-{number}"
        ip = f"127.0.1.{number + 1}"
        first, last, front, ready = ports
        self.front = f"{ip}:{front}"
        self.ready = f"{ip}:{ready}"
        self._folder = folder
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=ip,
                zone=ZONES[number % len(ZONES)],
                first_port=first,
                last_port=last,
                front_port=front,
                ready_port=ready,
                bootstrap="true",
                store=store,
            )
        )
        self._process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process as the deploy file does."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["HOLLYCART_NODE_FILE"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["EVENTLET_NO_GREENDNS"] = "yes"
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "hollycart_platform.serve"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is not None:
            with contextlib.suppress(OSError):
                self._process.kill()
            self._process.wait()

    async def is_ready(self) -> bool:
        """Returns whether the instance says that it is ready."""
        response = await http1.exchange(
            self.ready, "GET", "/v1/readiness", {"Host": "ready"}, b"", 1.0
        )
        return response.status == 200


class System:
    """Instances before a store.

    Args:
        count: Number of instances.
        store: Address of the store.
        folder: Folder for settings and logs.
    """

    def __init__(self, count: int, store: str, folder: pathlib.Path) -> None:
        ports = free_ports(4, "127.0.1.1")
        self.instances = [
            Instance(number, ports, store, folder) for number in range(count)
        ]

    async def start(self, timeout_s: float = 20.0) -> None:
        """Starts all instances and waits until they are ready.

        Raises:
            CannotRunError: If one does not become ready.
        """
        if not (ROOT / "target" / "deps" / "hollycart_platform").exists():
            raise CannotRunError("the build of the deploy file is missing")
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            await wait_ready(instance, timeout_s)

    def close(self) -> None:
        """Ends all processes."""
        for instance in self.instances:
            instance.kill()


async def wait_ready(instance: Instance, timeout_s: float = 20.0) -> None:
    """Waits until an instance is ready.

    Raises:
        CannotRunError: If it does not become ready in time.
    """
    end_s = time.monotonic() + timeout_s
    while not await instance.is_ready():
        if time.monotonic() > end_s or not instance.is_running:
            raise CannotRunError(f"{instance.name} does not become ready")
        await asyncio.sleep(0.1)
