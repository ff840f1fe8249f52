"""Checks engine memory and table propagation during a run."""

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
_EXCUSING_FAULTS = ("kill", "freeze", "term")


class MemoryMonitor:
    """Checks that engines free the memory of requests that have ended.

    Args:
        system: The running system.
        client: Load client that knows the requests in flight.
        checker: Counts the checks and violations.
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
        self._orphaned_since_s: dict[tuple[str, str], float] = {}
        self._reported: set[tuple[str, str]] = set()

    def run(self) -> None:
        """Checks every half second until the green thread is killed."""
        while True:
            self.step()
            eventlet.sleep(_INTERVAL_S)

    def step(self) -> int:
        """Checks all engines once.

        Returns:
            Number of attempts that hold memory without a request in flight.
        """
        orphaned = 0
        for name in self.system.names(membership.KIND_ENGINE):
            address = self.system.entries[name].address
            try:
                ground_truth = self.system.get_json(address, "/v1/truth")
            except base.HollycartError:
                continue
            orphaned += self._check(name, ground_truth["sequences"])
        return orphaned

    def _check(self, name: str, sequences: list) -> int:
        now_s = time.monotonic()
        live = {
            attempt
            for attempt, digest, _ in sequences
            if digest in self.client.in_flight
        }
        orphaned = set()
        for attempt, digest, _ in sequences:
            # Attempt ids of hollycart have three parts; other tenants' do not.
            is_other_tenant = attempt.count("/") != 2
            in_use = attempt in live or digest in self.client.in_flight
            if (
                is_other_tenant
                or in_use
                or self._may_be_prefill_part(attempt, digest)
            ):
                continue
            orphaned.add((name, attempt))
        for key in [k for k in self._orphaned_since_s if k[0] == name]:
            if key not in orphaned:
                del self._orphaned_since_s[key]
        for key in orphaned:
            age_s = now_s - self._orphaned_since_s.setdefault(key, now_s)
            if key not in self._reported:
                held = age_s > MEMORY_BOUND_S
                self.checker.check(
                    not held,
                    f"{key} held without a request for {age_s:.1f} s",
                )
                if held:
                    self._reported.add(key)
        return len(orphaned)

    def _may_be_prefill_part(self, attempt: str, digest: str) -> bool:
        """Returns whether a sequence may be a prefill part of a long request.

        A part that a helper prefills has no prompt digest, so it cannot be
        matched to its request. It counts as in use while any long request is
        in flight.
        """
        del attempt
        long_reqs = [a for a in self.client.in_flight.values() if a.is_long]
        return digest == "" and bool(long_reqs)


class TableMonitor:
    """Rotates a team's key and checks which key every instance accepts.

    Args:
        system: The running system.
        record: Faults that excuse an instance from a check.
        checker: Counts the checks and violations.
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
        """Creates the team whose key is rotated."""
        self.keys.append(
            self.system.ctl.run("teams", "add", _PROBE_TEAM)["key"]
        )

    def run(self) -> None:
        """Rotates the key again and again until the green thread is killed."""
        while True:
            self.rotate()
            eventlet.sleep(2.0)

    def rotate(self) -> bool:
        """Rotates the key once and checks all instances after `TABLE_BOUND_S`.

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
        """Checks that an instance accepts the newest key and not the former.

        An instance that a fault affected since the edit, or that does not
        respond or is not ready (503), is not checked.

        Args:
            name: Name of the instance.
            since_ms: Wall clock time at which the edit was accepted, in ms.
        """
        newest = self.keys[-1]
        older = self.keys[-2]
        statuses = self._get_status(name, newest), self._get_status(name, older)
        now_ms = time.time() * 1000
        affected = self.record.was_affected(
            name, _EXCUSING_FAULTS, since_ms, now_ms
        )
        if affected or 0 in statuses or 503 in statuses:
            return
        self.checker.check(
            statuses == (200, 401),
            f"{name}: status {statuses} for the newest and the former key",
        )

    def _get_status(self, name: str, key: str) -> int:
        url = f"http://{self.system.entries[name].address}/v1/models"
        headers = {"Authorization": f"Bearer {key}"}
        try:
            return self.system.client.send(
                "GET", url, headers=headers, timeout_ms=1000
            ).status
        except base.HollycartError:
            return 0
