"""Runs the failure cases under load and reports what the clients observed."""

import pathlib
import random
import sys
import time
from typing import Any
from typing import NamedTuple

import eventlet
import msgspec

from hollycart_bench import fleet
from hollycart_bench import load
from hollycart_bench.recover import _cases
from hollycart_core import base

_COMPLETIONS_PER_S = 25.0
_SERVICE_CALLS_PER_S = 5.0
_WARM_UP_S = 5.0
_OBSERVE_S = 20.0  # after the end of the failure
_WINDOW_MS = 1000.0
_MIN_SUCCESS_SHARE = 0.99
_MIN_GOOD_WINDOWS = 3


class CaseResult(NamedTuple):
    """Observations of one case, from the clients and the instances.

    Attributes:
        name: Name of the case.
        lasted_s: How long the failure lasted, in seconds.
        recover_s: Time from its end until completions succeed again, in
            seconds; infinite if they do not.
        effects_recover_s: The same for service calls, in seconds.
        sent: Requests sent.
        failed: Requests that failed, broke off or exceeded their deadline.
        refused: Requests that were rejected, or answered as not run or with an
            unknown outcome.
        wrong: Requests with a wrong answer, or any response later than the
            deadline and a tolerance of 250 ms.
        peak_kv_calls_s: Largest rate of calls to the key-value store, per
            second.
        peak_peer_kb_s: Largest traffic of one instance with its peers, in KB
            per second.
        memory_growth_mb: Largest memory growth of an instance that ran
            throughout, in MB.
        members_agree: Whether all instances list the same members at the end.
    """

    name: str
    lasted_s: float
    recover_s: float
    effects_recover_s: float
    sent: int
    failed: int
    refused: int
    wrong: int
    peak_kv_calls_s: float
    peak_peer_kb_s: float
    memory_growth_mb: float
    members_agree: bool


class _Sampler:
    """Samples store calls, peer traffic and memory once a second."""

    def __init__(self, system: fleet.Fleet) -> None:
        self.system = system
        self.kv_calls: list[int] = []
        self.peer_bytes: dict[str, list[int]] = {}
        self.memory: dict[str, list[float]] = {}

    def run(self) -> None:
        while True:
            self._sample()
            eventlet.sleep(1.0)

    def peak_kv_calls(self) -> float:
        pairs = zip(self.kv_calls, self.kv_calls[1:], strict=False)
        return max((b - a for a, b in pairs), default=0)

    def peak_peer_kb(self) -> float:
        peaks = [0.0]
        for series in self.peer_bytes.values():
            pairs = zip(series, series[1:], strict=False)
            peaks += [(b - a) / 1000 for a, b in pairs]
        return max(peaks)

    def memory_growth(self) -> float:
        longest = max(len(s) for s in self.memory.values())
        complete = [s for s in self.memory.values() if len(s) >= longest - 2]
        return max(s[-1] - s[min(3, len(s) - 1)] for s in complete)

    def _sample(self) -> None:
        calls = self.system.get_json(self.system.kv_address, "/control/calls")
        self.kv_calls.append(sum(calls["calls"].values()))
        for name in self.system.instance_names():
            if not self.system.is_running(name):
                continue
            try:
                status = self.system.status(name)
            except base.HollycartError:
                continue
            total = status["peer_bytes_sent"] + status["peer_bytes_received"]
            self.peer_bytes.setdefault(name, []).append(total)
            self.memory.setdefault(name, []).append(status["memory_mb"])


def run_cases(out: pathlib.Path, outage_s: float, seed: int) -> int:
    """Runs all cases, prints each result and writes `recover.json`.

    Args:
        out: Directory for the results and the output of the processes.
        outage_s: Length of the outage of the key-value store, in seconds.
        seed: Seed of the load.

    Returns:
        Zero if no response was wrong, all instances agree on the members and
        completions recovered in every case, otherwise one.
    """
    results = []
    for name in _cases.CASES:
        result = _run_case(name, out / name.replace(" ", "-"), outage_s, seed)
        results.append(result)
        sys.stdout.write(f"{result}\n")
        sys.stdout.flush()
    out.mkdir(parents=True, exist_ok=True)
    (out / "recover.json").write_bytes(msgspec.json.encode(results))
    incorrect = [r for r in results if r.wrong or not r.members_agree]
    slow = [r for r in results if r.recover_s > _OBSERVE_S]
    return 1 if incorrect or slow else 0


def _run_case(
    name: str, log_dir: pathlib.Path, outage_s: float, seed: int
) -> CaseResult:
    spec = fleet.FleetSpec(
        engines=12,
        engines_per_process=1,
        balancer=False,
        partitionable=name == "halves cut",
        settings={"HOLLYCART_LIST_LAG_MS": "1200"},
    )
    system = fleet.Fleet(spec, log_dir)
    workload = load.HINOKUNI
    try:
        system.start()
        system.load_table(workload.table_csv(), list(workload.teams))
        return _run_under_load(name, system, outage_s, seed)
    finally:
        system.close()


def _run_under_load(
    name: str, system: fleet.Fleet, outage_s: float, seed: int
) -> CaseResult:
    rng = random.Random(seed)
    client = load.LoadClient(
        system.spec.model,
        system.keys,
        lambda _: _choose_address(system, rng),
        seed,
    )
    sampler = _Sampler(system)
    threads = [eventlet.spawn(sampler.run)]
    stop: list[bool] = []
    sender = eventlet.spawn(_send_requests, client, stop, rng)
    eventlet.sleep(_WARM_UP_S)
    started = time.time()
    _cases.CASES[name](system, outage_s)
    ended = time.time()
    eventlet.sleep(_OBSERVE_S)
    stop.append(True)
    sender.wait()
    threads[0].kill()
    members = [system.status(n)["members"] for n in system.instance_names()]
    return _summarize(name, client.results, started, ended, sampler, members)


def _choose_address(system: fleet.Fleet, rng: random.Random) -> str:
    names = [
        n
        for n in system.instance_names()
        if system.is_running(n) and not system.entries[n].leaving
    ]
    return system.entries[rng.choice(names)].address


def _send_requests(
    client: load.LoadClient, stop: list[bool], rng: random.Random
) -> None:
    threads = []
    number = 0
    while not stop:
        to_service = rng.random() < _SERVICE_CALLS_PER_S / (
            _COMPLETIONS_PER_S + _SERVICE_CALLS_PER_S
        )
        req = load.LoadRequest(
            0.0,
            "team-0",
            "release" if to_service else "draft",
            0 if to_service else rng.randrange(1000, 4000),
            0,
            "",
            0 if to_service else 24,
            5_000,
            True,
            number,
        )
        number += 1
        key = f"r{number}" if to_service else ""
        threads.append(eventlet.spawn(_send_one, client, req, key))
        eventlet.sleep(
            rng.expovariate(_COMPLETIONS_PER_S + _SERVICE_CALLS_PER_S)
        )
    for thread in threads:
        thread.wait()


def _send_one(client: load.LoadClient, req: load.LoadRequest, key: str) -> None:
    client.results.append(client.send(req, key))


def _summarize(
    name: str,
    results: list[load.CallResult],
    started: float,
    ended: float,
    sampler: _Sampler,
    members: list[Any],
) -> CaseResult:
    service_calls = [r for r in results if r.req.is_service_call]
    completions = [r for r in results if not r.req.is_service_call]
    refused = ("refused", "not_run", "unknown")
    late_ms = 5_250.0  # the deadline of 5 s and a tolerance
    return CaseResult(
        name,
        ended - started,
        _recovery_time_s(completions, ended),
        _recovery_time_s(service_calls, ended),
        len(results),
        sum(r.outcome in ("failed", "lost", "deadline") for r in results),
        sum(r.outcome in refused for r in results),
        sum(r.outcome == "wrong" or r.total_ms > late_ms for r in results),
        sampler.peak_kv_calls(),
        sampler.peak_peer_kb(),
        sampler.memory_growth(),
        len({tuple(m) for m in members}) == 1,
    )


def _recovery_time_s(results: list[load.CallResult], ended: float) -> float:
    """Returns when requests succeed again after the end of a failure.

    Requests are grouped by start into windows of 1 s. They succeed again from
    the first of three windows in a row in each of which 99 % of the requests
    succeed; a window without requests counts as good.

    Args:
        results: Results of the requests.
        ended: Wall clock time at which the failure ended, in seconds.

    Returns:
        Time since `ended` in seconds, or infinity.
    """
    last_s = (max(r.start_wall_ms for r in results) / 1000.0) - ended
    recovered_at_s = 0.0
    window = 0
    streak = 0
    while window < last_s:
        low = ended * 1000 + window * _WINDOW_MS
        window_results = [
            r for r in results if low <= r.start_wall_ms < low + _WINDOW_MS
        ]
        good = sum(r.outcome == "ok" for r in window_results)
        if window_results and good < _MIN_SUCCESS_SHARE * len(window_results):
            streak = 0
            recovered_at_s = window + 1
        else:
            streak += 1
        if streak >= _MIN_GOOD_WINDOWS:
            return float(recovered_at_s)
        window += 1
    return float("inf")
