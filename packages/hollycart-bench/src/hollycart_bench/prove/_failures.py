"""The faults injected into a running system."""

from collections.abc import Callable
import random
import signal
import tempfile
import time

import eventlet
import msgspec

from hollycart_bench import fleet
from hollycart_bench import load
from hollycart_bench.prove import _outages
from hollycart_bench.prove import _record
from hollycart_core import base
from hollycart_core import membership

_FREEZE_S = 12.0  # longer than the order lease of 10 s
_RESTART_S = 1.5
_OUTAGE_S = 6.0
_ZONE_DOWN_S = 5.0
_LEAVING_S = 8.0
# Observation of an endpoint from when instances can know that it leaves.
_OBSERVE_MS = 6000.0
_MAX_ATTEMPTS = 4  # another fault may prevent it from taking effect
# A process counts as affected for this long after a kill or a freeze.
_GRACE_MS = 3_000.0

ACCEPTED = {0, 6}  # exit codes of an accepted edit

Fault = Callable[[], None]


def wall_ms() -> float:
    """Returns the wall clock time in ms."""
    return time.time() * 1000.0


class FaultInjector:
    """Injects faults into a fleet and records them.

    Args:
        system: The running system.
        client: Load client, for faults that need a call of their own.
        record: Receives the injected faults.
        rng: Chooses the victims.
        service_call_kind: Request kind of the non-idempotent calls.

    Attributes:
        leaving_checks: For each endpoint marked as leaving: its name, when
            instances could know it, in wall clock ms, and the delays after
            that of the work it received too late, in ms.
        drain_exits: For each replaced instance: its name, when it was stopped,
            in wall clock ms, and its exit code.
        edit_races: For each pair of concurrent edits: their exit codes, the
            weights they set and the table exported afterwards.
        reserved_names: Entries that a fault works on.
        list_outages: Outages of the instance list.
    """

    def __init__(
        self,
        system: fleet.Fleet,
        client: load.LoadClient,
        record: _record.RunRecord,
        rng: random.Random,
        service_call_kind: str,
    ) -> None:
        self.service_call_kind = service_call_kind
        self.system = system
        self.client = client
        self.record = record
        self.rng = rng
        self.leaving_checks: list[tuple[str, float, list[float]]] = []
        self.drain_exits: list[tuple[str, float, int | None]] = []
        self.edit_races: list[tuple[list[int], list[float], str]] = []
        self.reserved_names: set[str] = set()
        self.list_outages = _outages.Outages()

    def kinds(self) -> dict[str, Fault]:
        """Returns the function that injects each kind of fault."""
        return {
            "kill_instance": lambda: self._kill_one(membership.KIND_INSTANCE),
            "kill_engine": lambda: self._kill_one(membership.KIND_ENGINE),
            "kill_service": lambda: self._kill_one(membership.KIND_SERVICE),
            "freeze_instance": lambda: self._freeze(
                membership.KIND_INSTANCE, _FREEZE_S
            ),
            "freeze_engine": lambda: self._freeze(membership.KIND_ENGINE, 5.0),
            "kv_down": lambda: self._inject_kv_faults({"down": True}),
            "kv_slow": lambda: self._inject_kv_faults({"delay_ms": 400}),
            "kv_rate_limited": lambda: self._inject_kv_faults(
                {"writes_per_s": 3, "reads_per_s": 10}
            ),
            "kv_answers_lost": lambda: self._inject_kv_faults(
                {"lose_answers": 0.5}
            ),
            "kv_leases_lapse": lambda: self._inject_kv_faults(
                {"lapse_leases": True}
            ),
            "cut_streams": lambda: self._inject_engine_faults({"drop": 0.5}),
            "late_frames": lambda: self._inject_engine_faults(
                {"late": 0.3, "stray": 0.5}
            ),
            "duplicate_frames": lambda: self._inject_engine_faults(
                {"duplicate": 0.5, "reorder": 0.5}
            ),
            "cut_bodies": self._truncate_bodies,
            "service_answers_lost": lambda: self._inject_service_faults(
                {"lose_answers": 0.5, "fail_before": 0.2, "delay_ms": 20}
            ),
            "list_down": self._take_list_down,
            "two_operators": self._race_two_edits,
            "rolling_replacement": self._replace_all_instances,
            "engine_leaves": lambda: self._announce_leaving(
                membership.KIND_ENGINE
            ),
            "service_leaves": lambda: self._announce_leaving(
                membership.KIND_SERVICE
            ),
            "zone_lost": self._kill_zone,
            "memory_filled": self._fill_memory,
            "kill_holder": self._kill_holder,
            "commit_then_outage": self._commit_then_outage,
        }

    def inject(self, kind: str) -> None:
        """Injects a fault of a kind, with retries if it cannot take effect.

        It is counted only once it has taken effect.
        """
        for _ in range(_MAX_ATTEMPTS):
            start_ms = wall_ms()
            try:
                self.kinds()[kind]()
            except (base.HollycartError, RuntimeError) as exc:
                name = type(exc).__name__
                self.record.counts[f"put off {kind} {name}"] += 1
                eventlet.sleep(_OUTAGE_S / 2)
                continue
            self.record.counts[kind] += 1
            self.record.add_interval("-", kind, start_ms, wall_ms())
            return

    def _reserve_victim(self, kind: str) -> str:
        """Reserves a random victim, so that no other fault restarts it.

        At least one entry of the kind remains without a fault.

        Raises:
            RuntimeError: If no entry is free within 20 s.
        """
        for _ in range(200):
            free = [
                n
                for n in self.system.names(kind)
                if n not in self.reserved_names
                and self.system.is_running(n)
                and not self.system.entries[n].leaving
            ]
            if len(free) > 1:
                name = self.rng.choice(free)
                self.reserved_names.add(name)
                return name
            eventlet.sleep(0.1)
        raise RuntimeError(f"no second {kind} without a fault within 20 s")

    def _kill_one(self, kind: str) -> None:
        name = self._reserve_victim(kind)
        try:
            self._kill_and_restart([name], _RESTART_S)
        finally:
            self.reserved_names.discard(name)

    def _kill_and_restart(self, names: list[str], down_s: float) -> None:
        start_ms = wall_ms()
        for name in names:
            self.record.add_interval(
                name, "kill", start_ms, start_ms + _GRACE_MS
            )
            self.system.process(name).kill()
        eventlet.sleep(down_s)
        for name in names:
            self.system.process(name).start()
        for name in names:
            if self.system.entries[name].kind == membership.KIND_INSTANCE:
                self.system.wait_ready(name)

    def _freeze(self, kind: str, duration_s: float) -> None:
        name = self._reserve_victim(kind)
        process = self.system.process(name)
        start_ms = wall_ms()
        self.record.add_interval(
            name, "freeze", start_ms, start_ms + duration_s * 1000 + _GRACE_MS
        )
        process.signal(signal.SIGSTOP)
        eventlet.sleep(duration_s)
        process.signal(signal.SIGCONT)
        self.reserved_names.discard(name)

    def _inject_kv_faults(self, faults: dict) -> None:
        address = self.system.kv_address
        self.system.post_control(address, "faults", faults)
        eventlet.sleep(_OUTAGE_S)
        self.system.post_control(address, "faults", {})

    def _inject_engine_faults(self, faults: dict) -> None:
        names = self.system.names(membership.KIND_ENGINE)
        self._set_faults(names, {**faults, "seed": self.rng.randrange(1 << 30)})
        eventlet.sleep(_OUTAGE_S)
        self._set_faults(names, {})

    def _set_faults(self, names: list[str], faults: dict) -> None:
        for name in names:
            try:
                self.system.post_control(
                    self.system.entries[name].address, "faults", faults
                )
            except base.HollycartError:
                continue

    def _inject_service_faults(self, faults: dict) -> None:
        names = self.system.names(membership.KIND_SERVICE)
        self._set_faults(names, faults)
        eventlet.sleep(_OUTAGE_S)
        self._set_faults(names, {})

    def _truncate_bodies(self) -> None:
        """Closes a connection to each instance within a request body."""
        key = next(iter(self.client.keys.values()))
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {key}\r\nContent-Length: 100000\r\n\r\n"
        )
        for name in self.system.instance_names():
            host, port = self.system.entries[name].address.split(":")
            try:
                conn = eventlet.connect((host, int(port)))
                conn.sendall(head.encode() + b'{"model":"draft","prompt":"')
                conn.close()
            except OSError:
                continue

    def _take_list_down(self) -> None:
        self.list_outages.begin(wall_ms())
        self.system.post_control(self.system.list_address, "down", True)
        eventlet.sleep(_OUTAGE_S)
        self.system.post_control(self.system.list_address, "down", False)
        self.list_outages.end(wall_ms())

    def _race_two_edits(self) -> None:
        """Lets two operators edit one row from the same exported version.

        At most one edit may be accepted.
        """
        exported = self.system.ctl.export_csv()
        weights = [round(self.rng.uniform(5, 9), 3) for _ in range(2)]
        threads = [
            eventlet.spawn(self._apply_weight, exported, w) for w in weights
        ]
        codes = [t.wait()[0] for t in threads]
        self.edit_races.append((codes, weights, self.system.ctl.export_csv()))
        if not ACCEPTED & set(codes):
            raise RuntimeError(f"no edit was accepted: exit codes {codes}")

    def _apply_weight(self, exported: str, weight: float) -> tuple[int, str]:
        lines = exported.splitlines()
        cells = lines[1].split(",")
        cells[2] = str(weight)
        lines[1] = ",".join(cells)
        with tempfile.NamedTemporaryFile("w", suffix=".csv") as file:
            file.write("\n".join(lines) + "\n")
            file.flush()
            return self.system.ctl.run_unchecked("apply", file.name)

    def _replace_all_instances(self) -> None:
        """Replaces every instance in turn by a graceful stop and a start."""
        for name in self.system.instance_names():
            while name in self.reserved_names:
                eventlet.sleep(0.1)
            if not self.system.is_running(name):
                continue
            self.reserved_names.add(name)
            self._replace_instance(name)
            self.reserved_names.discard(name)

    def _replace_instance(self, name: str) -> None:
        started_ms = wall_ms()
        self.system.set_leaving(name, leaving=True)
        self.record.add_interval(name, "term", started_ms, started_ms + 60_000)
        process = self.system.process(name)
        process.signal(signal.SIGTERM)
        code = process.wait(60.0)
        self.drain_exits.append((name, started_ms, code))
        self.system.set_leaving(name, leaving=False)
        process.start()
        self.system.wait_ready(name)

    def _announce_leaving(self, kind: str) -> None:
        name = self._reserve_victim(kind)
        self.system.set_leaving(name, leaving=True)
        shown_ms = wall_ms() + self.system.spec.list_lag_ms
        eventlet.sleep(_LEAVING_S)
        # During an outage of the list, no instance can learn of the change.
        readable_ms = self.list_outages.readable_from(shown_ms)
        while wall_ms() < readable_ms + _OBSERVE_MS:
            eventlet.sleep(0.1)
            readable_ms = self.list_outages.readable_from(shown_ms)
        self._record_late_work(name, readable_ms, wall_ms())
        self.system.set_leaving(name, leaving=False)
        self.reserved_names.discard(name)

    def _record_late_work(
        self, name: str, shown_ms: float, end_ms: float
    ) -> None:
        """Records work that an endpoint received after it was seen as leaving.

        Work is late from 3 s after that. The endpoint's own record is read
        here, before another fault can restart it.

        Args:
            name: Name of the endpoint.
            shown_ms: Wall clock time from which instances can know that it
                leaves, in ms.
            end_ms: Wall clock time at which the observation ends, in ms.
        """
        entry = self.system.entries[name]
        if entry.kind == membership.KIND_ENGINE:
            ground_truth = self.system.get_json(entry.address, "/v1/truth")
            times = [at for at, _ in ground_truth["received"]]
        else:
            ground_truth = self.system.get_json(entry.address, "/control/truth")
            times = [at for at, _, _ in ground_truth["effects"]]
        late = [t for t in times if shown_ms + 3_000 < t < end_ms]
        self.leaving_checks.append(
            (name, shown_ms, [t - shown_ms for t in late])
        )

    def _kill_zone(self) -> None:
        zone = f"zone-{self.rng.randrange(self.system.spec.zones)}"
        names = [
            n
            for n, e in self.system.entries.items()
            if e.zone == zone
            and n not in self.reserved_names
            and self.system.is_running(n)
            and not e.leaving
        ]
        self.reserved_names.update(names)
        self._kill_and_restart(names, _ZONE_DOWN_S)
        self.reserved_names.difference_update(names)

    def _fill_memory(self) -> None:
        """Reserves 70 % of every engine's memory for another tenant."""
        held = []
        tokens = int(self.system.spec.capacity_tokens * 0.7)
        for name in self.system.names(membership.KIND_ENGINE):
            address = self.system.entries[name].address
            body = {"request_id": "another-tenant", "tokens": tokens}
            try:
                self._post(address, "/v1/reserve", body)
            except base.HollycartError:
                continue
            held.append(address)
        eventlet.sleep(_OUTAGE_S)
        for address in held:
            try:
                self._post(
                    address, "/v1/cancel", {"request_id": "another-tenant"}
                )
            except base.HollycartError:
                continue

    def _post(self, address: str, path: str, body: dict) -> None:
        self.system.client.send(
            "POST", f"http://{address}{path}", msgspec.json.encode(body)
        )

    def _kill_holder(self) -> None:
        """Kills the instance that runs a service call, then retries the call.

        The retry goes to another instance, under the same idempotency key.
        """
        services = self.system.names(membership.KIND_SERVICE)
        self._set_faults(services, {"delay_ms": 1500})
        name = self._reserve_victim(membership.KIND_INSTANCE)
        key = f"holder-{self.rng.randrange(1 << 30)}"
        req = self._make_service_call()
        address = self.system.entries[name].address
        first = eventlet.spawn(self._send_at, address, req, key)
        eventlet.sleep(0.8)
        try:
            self._kill_and_restart([name], _RESTART_S)
        finally:
            self.reserved_names.discard(name)
        self._set_faults(services, {})
        first.wait()
        for other in self.system.instance_names():
            if other != name and self.system.is_running(other):
                again = self.system.entries[other].address
                self._send_at(again, req, key)
                break

    def _send_at(self, address: str, req: load.LoadRequest, key: str) -> None:
        client = load.LoadClient(
            self.client.model,
            self.client.keys,
            lambda _: address,
            self.client.seed,
        )
        self.client.results.append(client.send(req, key))

    def _make_service_call(self) -> load.LoadRequest:
        team = self.rng.choice(list(self.client.keys))
        return load.LoadRequest(
            0.0, team, self.service_call_kind, 0, 0, "", 0, 8_000, False, -1
        )

    def _commit_then_outage(self) -> None:
        """Takes the key-value store down right after an edit of the table."""
        weight = round(self.rng.uniform(5, 9), 3)
        code, text = self._apply_weight(self.system.ctl.export_csv(), weight)
        self.system.post_control(
            self.system.kv_address, "faults", {"down": True}
        )
        eventlet.sleep(_OUTAGE_S)
        self.system.post_control(self.system.kv_address, "faults", {})
        if code not in ACCEPTED:
            raise RuntimeError(
                f"edit was not accepted: exit code {code}, {text}"
            )
