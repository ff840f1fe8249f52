"""The failures injected into a running system."""

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

_FREEZE_S = 12.0  # past the order lease of 10 s
_RESTART_S = 1.5
_OUTAGE_S = 6.0
_ZONE_S = 5.0
_LEAVING_S = 8.0
_WATCHED_MS = 6000.0  # from when the list shows a leaving endpoint
_TRIES = 4  # another failure may be in the way
_GRACE_MS = 3_000.0  # a restarted process is a new one for this long

ACCEPTED = {0, 6}  # exit codes of an accepted edit

Failure = Callable[[], None]


def wall_ms() -> float:
    """Returns the wall clock in ms."""
    return time.time() * 1000.0


class FaultInjector:
    """Injects failures into a fleet and notes them.

    Args:
        system: The running system.
        client: The load client, for calls that a failure is aimed at.
        record: Receives what was done.
        rng: Chooses the victims.
        service_call_kind: Request kind of the non-idempotent calls.
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
        self.left_work: list[tuple[str, float, list[float]]] = []
        self.drains: list[tuple[str, float, int | None]] = []
        self.races: list[tuple[list[int], list[float], str]] = []
        self.busy: set[str] = set()
        self.list_outages = _outages.Outages()

    def kinds(self) -> dict[str, Failure]:
        """Returns all failures by kind."""
        return {
            "kill_instance": lambda: self._kill_one(membership.KIND_INSTANCE),
            "kill_engine": lambda: self._kill_one(membership.KIND_ENGINE),
            "kill_service": lambda: self._kill_one(membership.KIND_SERVICE),
            "freeze_instance": lambda: self._freeze(
                membership.KIND_INSTANCE, _FREEZE_S
            ),
            "freeze_engine": lambda: self._freeze(membership.KIND_ENGINE, 5.0),
            "kv_down": lambda: self._kv({"down": True}),
            "kv_slow": lambda: self._kv({"delay_ms": 400}),
            "kv_rate_limited": lambda: self._kv(
                {"writes_per_s": 3, "reads_per_s": 10}
            ),
            "kv_answers_lost": lambda: self._kv({"lose_answers": 0.5}),
            "kv_leases_lapse": lambda: self._kv({"lapse_leases": True}),
            "cut_streams": lambda: self._engine_faults({"drop": 0.5}),
            "late_frames": lambda: self._engine_faults(
                {"late": 0.3, "stray": 0.5}
            ),
            "duplicate_frames": lambda: self._engine_faults(
                {"duplicate": 0.5, "reorder": 0.5}
            ),
            "cut_bodies": self._cut_bodies,
            "service_answers_lost": lambda: self._service_faults(
                {"lose_answers": 0.5, "fail_before": 0.2, "delay_ms": 20}
            ),
            "list_down": self._list_down,
            "two_operators": self._two_operators,
            "rolling_replacement": self._rolling,
            "engine_leaves": lambda: self._leave(membership.KIND_ENGINE),
            "service_leaves": lambda: self._leave(membership.KIND_SERVICE),
            "zone_lost": self._zone_lost,
            "memory_filled": self._fill_memory,
            "kill_holder": self._kill_holder,
            "commit_then_outage": self._commit_then_outage,
        }

    def inject(self, kind: str) -> None:
        """Injects one failure; it counts once it has really occurred."""
        for _ in range(_TRIES):
            start_ms = wall_ms()
            try:
                self.kinds()[kind]()
            except (base.HollycartError, RuntimeError) as exc:
                name = type(exc).__name__
                self.record.counts[f"put off {kind} {name}"] += 1
                eventlet.sleep(_OUTAGE_S / 2)
                continue
            self.record.counts[kind] += 1
            self.record.note("-", kind, start_ms, wall_ms())
            return

    def _take(self, kind: str) -> str:
        """Reserves a victim so that two failures do not restart it twice."""
        for _ in range(200):
            free = [
                n
                for n in self.system.names(kind)
                if n not in self.busy
                and self.system.is_running(n)
                and not self.system.entries[n].leaving
            ]
            if len(free) > 1:
                name = self.rng.choice(free)
                self.busy.add(name)
                return name
            eventlet.sleep(0.1)
        raise RuntimeError(f"no {kind} to spare")

    def _kill_one(self, kind: str) -> None:
        name = self._take(kind)
        try:
            self._kill_and_restart([name], _RESTART_S)
        finally:
            self.busy.discard(name)

    def _kill_and_restart(self, names: list[str], down_s: float) -> None:
        start_ms = wall_ms()
        for name in names:
            self.record.note(name, "kill", start_ms, start_ms + _GRACE_MS)
            self.system.process(name).kill()
        eventlet.sleep(down_s)
        for name in names:
            self.system.process(name).start()
        for name in names:
            if self.system.entries[name].kind == membership.KIND_INSTANCE:
                self.system.wait_ready(name)

    def _freeze(self, kind: str, duration_s: float) -> None:
        name = self._take(kind)
        process = self.system.process(name)
        start_ms = wall_ms()
        self.record.note(
            name, "freeze", start_ms, start_ms + duration_s * 1000 + _GRACE_MS
        )
        process.signal(signal.SIGSTOP)
        eventlet.sleep(duration_s)
        process.signal(signal.SIGCONT)
        self.busy.discard(name)

    def _kv(self, faults: dict) -> None:
        address = self.system.kv_address
        self.system.post_control(address, "faults", faults)
        eventlet.sleep(_OUTAGE_S)
        self.system.post_control(address, "faults", {})

    def _engine_faults(self, faults: dict) -> None:
        names = self.system.names(membership.KIND_ENGINE)
        self._set_engines(
            names, {**faults, "seed": self.rng.randrange(1 << 30)}
        )
        eventlet.sleep(_OUTAGE_S)
        self._set_engines(names, {})

    def _set_engines(self, names: list[str], faults: dict) -> None:
        for name in names:
            try:
                self.system.post_control(
                    self.system.entries[name].address, "faults", faults
                )
            except base.HollycartError:
                continue

    def _service_faults(self, faults: dict) -> None:
        names = self.system.names(membership.KIND_SERVICE)
        self._set_engines(names, faults)
        eventlet.sleep(_OUTAGE_S)
        self._set_engines(names, {})

    def _cut_bodies(self) -> None:
        """Opens requests and closes the connection within the body."""
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

    def _list_down(self) -> None:
        self.list_outages.begin(wall_ms())
        self.system.post_control(self.system.list_address, "down", True)
        eventlet.sleep(_OUTAGE_S)
        self.system.post_control(self.system.list_address, "down", False)
        self.list_outages.end(wall_ms())

    def _two_operators(self) -> None:
        """Two operators edit one row from the same exported version."""
        exported = self.system.ctl.export_csv()
        weights = [round(self.rng.uniform(5, 9), 3) for _ in range(2)]
        threads = [eventlet.spawn(self._edit, exported, w) for w in weights]
        codes = [t.wait()[0] for t in threads]
        self.races.append((codes, weights, self.system.ctl.export_csv()))
        if not ACCEPTED & set(codes):
            raise RuntimeError(f"no edit was accepted: {codes}")

    def _edit(self, exported: str, weight: float) -> tuple[int, str]:
        lines = exported.splitlines()
        cells = lines[1].split(",")
        cells[2] = str(weight)
        lines[1] = ",".join(cells)
        with tempfile.NamedTemporaryFile("w", suffix=".csv") as file:
            file.write("\n".join(lines) + "\n")
            file.flush()
            return self.system.ctl.run_unchecked("apply", file.name)

    def _rolling(self) -> None:
        """Replaces every instance in turn, gracefully, under load."""
        for name in self.system.instance_names():
            while name in self.busy:
                eventlet.sleep(0.1)
            if not self.system.is_running(name):
                continue
            self.busy.add(name)
            self._replace(name)
            self.busy.discard(name)

    def _replace(self, name: str) -> None:
        started_ms = wall_ms()
        self.system.set_leaving(name, leaving=True)
        self.record.note(name, "term", started_ms, started_ms + 60_000)
        process = self.system.process(name)
        process.signal(signal.SIGTERM)
        code = process.wait(60.0)
        self.drains.append((name, started_ms, code))
        self.system.set_leaving(name, leaving=False)
        process.start()
        self.system.wait_ready(name)

    def _leave(self, kind: str) -> None:
        name = self._take(kind)
        self.system.set_leaving(name, leaving=True)
        shown_ms = wall_ms() + self.system.spec.list_lag_ms
        eventlet.sleep(_LEAVING_S)
        # While the list does not answer, nobody can know what it would show.
        known_ms = self.list_outages.readable_from(shown_ms)
        while wall_ms() < known_ms + _WATCHED_MS:
            eventlet.sleep(0.1)
            known_ms = self.list_outages.readable_from(shown_ms)
        self._check_left(name, known_ms, wall_ms())
        self.system.set_leaving(name, leaving=False)
        self.busy.discard(name)

    def _check_left(self, name: str, shown_ms: float, end_ms: float) -> None:
        """Reads the endpoint's own record before anything restarts it."""
        entry = self.system.entries[name]
        if entry.kind == membership.KIND_ENGINE:
            truth = self.system.get_json(entry.address, "/v1/truth")
            times = [at for at, _ in truth["received"]]
        else:
            truth = self.system.get_json(entry.address, "/control/truth")
            times = [at for at, _, _ in truth["effects"]]
        late = [t for t in times if shown_ms + 3_000 < t < end_ms]
        self.left_work.append((name, shown_ms, [t - shown_ms for t in late]))

    def _zone_lost(self) -> None:
        zone = f"zone-{self.rng.randrange(self.system.spec.zones)}"
        names = [
            n
            for n, e in self.system.entries.items()
            if e.zone == zone
            and n not in self.busy
            and self.system.is_running(n)
            and not e.leaving
        ]
        self.busy.update(names)
        self._kill_and_restart(names, _ZONE_S)
        self.busy.difference_update(names)

    def _fill_memory(self) -> None:
        """Takes most memory of every engine for somebody else's work."""
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
        """Kills the instance in the middle of a non-idempotent call."""
        services = self.system.names(membership.KIND_SERVICE)
        self._set_engines(services, {"delay_ms": 1500})
        name = self._take(membership.KIND_INSTANCE)
        key = f"holder-{self.rng.randrange(1 << 30)}"
        req = self._make_service_call()
        address = self.system.entries[name].address
        first = eventlet.spawn(self._send_at, address, req, key)
        eventlet.sleep(0.8)
        try:
            self._kill_and_restart([name], _RESTART_S)
        finally:
            self.busy.discard(name)
        self._set_engines(services, {})
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
        """The key-value service goes down right after an accepted edit."""
        weight = round(self.rng.uniform(5, 9), 3)
        code, text = self._edit(self.system.ctl.export_csv(), weight)
        self.system.post_control(
            self.system.kv_address, "faults", {"down": True}
        )
        eventlet.sleep(_OUTAGE_S)
        self.system.post_control(self.system.kv_address, "faults", {})
        if code not in ACCEPTED:
            raise RuntimeError(f"{code} {text}")
