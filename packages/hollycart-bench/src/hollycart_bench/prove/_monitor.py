"""Watches memory and tables while a run goes on."""

import time

import eventlet
import msgspec

from hollycart_bench import checks
from hollycart_bench import fleet
from hollycart_bench import load
from hollycart_bench.prove import _failures
from hollycart_bench.prove import _record
from hollycart_core import base
from hollycart_core import membership

_INTERVAL_S = 0.5
MEMORY_BOUND_S = 10.0
TABLE_BOUND_S = 5.0
_PROBE_TEAM = "probe"
_PROBE_KIND_FAILURES = ("kill", "freeze", "term")


class MemoryMonitor:
    """Checks that engine memory held for no live request comes back.

    Args:
        system: The running system.
        client: Knows the requests in progress.
        checker: Receives the checks.
    """

    def __init__(
        self,
        system: fleet.Fleet,
        client: load.LoadClient,
        checker: checks.GuaranteeChecker,
    ) -> None:
        self.system = system
        self.client = client
        self.checker = checker
        self._since: dict[tuple[str, str], float] = {}
        self._reported: set[tuple[str, str]] = set()

    def run(self) -> None:
        """Checks at intervals until killed."""
        while True:
            self.step()
            eventlet.sleep(_INTERVAL_S)

    def step(self) -> int:
        """Checks all engines once; returns what is held for no request."""
        unused = 0
        for name in self.system.names(membership.KIND_ENGINE):
            address = self.system.entries[name].address
            try:
                truth = self.system.get_json(address, "/v1/truth")
            except base.HollycartError:
                continue
            unused += self._check(name, truth["sequences"])
        return unused

    def _check(self, name: str, sequences: list) -> int:
        now_s = time.monotonic()
        live = {
            attempt
            for attempt, digest, _ in sequences
            if digest in self.client.in_flight
        }
        unused = set()
        for attempt, digest, _ in sequences:
            foreign = attempt.count("/") != 2
            used = attempt in live or digest in self.client.in_flight
            if foreign or used or self._is_share(attempt, digest):
                continue
            unused.add((name, attempt))
        for key in [k for k in self._since if k[0] == name]:
            if key not in unused:
                del self._since[key]
        for key in unused:
            age_s = now_s - self._since.setdefault(key, now_s)
            if key not in self._reported:
                held = age_s > MEMORY_BOUND_S
                self.checker.check(not held, f"{key} held for {age_s:.1f} s")
                if held:
                    self._reported.add(key)
        return len(unused)

    def _is_share(self, attempt: str, digest: str) -> bool:
        """A share has no prompt; it is used while its request runs."""
        del attempt
        huge = [a for a in self.client.in_flight.values() if a.is_long]
        return digest == "" and bool(huge)


class TableMonitor:
    """Rotates a team's key and asks every instance which one is in force.

    Args:
        system: The running system.
        record: Failures that excuse an instance for a while.
        checker: Receives the checks.
    """

    def __init__(
        self,
        system: fleet.Fleet,
        record: _record.RunRecord,
        checker: checks.GuaranteeChecker,
    ) -> None:
        self.system = system
        self.record = record
        self.checker = checker
        self.keys: list[str] = []

    def start(self) -> None:
        """Creates the team."""
        self.keys.append(
            self.system.ctl.run("teams", "add", _PROBE_TEAM)["key"]
        )

    def run(self) -> None:
        """Rotates the key at intervals until killed."""
        while True:
            self.rotate()
            eventlet.sleep(2.0)

    def rotate(self) -> bool:
        """Rotates once, then checks every instance at the bound.

        Returns:
            Whether the edit was accepted.
        """
        code, text = self.system.ctl.run_unchecked(
            "teams", "rotate-key", _PROBE_TEAM, "--drop-old"
        )
        if code not in _failures.ACCEPTED:
            return False
        accepted_ms = time.time() * 1000
        self.keys.append(msgspec.json.decode(text)["key"])
        eventlet.sleep(TABLE_BOUND_S)
        for name in self.system.instance_names():
            self.check(name, accepted_ms)
        return True

    def check(self, name: str, since_ms: float) -> None:
        """Checks that an instance takes the newest key and no older one."""
        newest = self.keys[-1]
        older = self.keys[-2]
        got = self._ask(name, newest), self._ask(name, older)
        now_ms = time.time() * 1000
        hit = self.record.hit(name, _PROBE_KIND_FAILURES, since_ms, now_ms)
        if hit or 0 in got or 503 in got:
            return
        self.checker.check(got == (200, 401), f"{name}: {got}")

    def _ask(self, name: str, key: str) -> int:
        url = f"http://{self.system.entries[name].address}/v1/models"
        headers = {"Authorization": f"Bearer {key}"}
        try:
            return self.system.client.send(
                "GET", url, headers=headers, timeout_ms=1000
            ).status
        except base.HollycartError:
            return 0
