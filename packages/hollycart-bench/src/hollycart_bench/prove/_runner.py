"""A randomised run under load and faults, and the checks of its guarantees."""

import pathlib
import random
import sys

import eventlet

from hollycart_bench import checks
from hollycart_bench import fleet
from hollycart_bench import load
from hollycart_bench.prove import _answers
from hollycart_bench.prove import _failures
from hollycart_bench.prove import _monitor
from hollycart_bench.prove import _record
from hollycart_core import base
from hollycart_core import membership

_WARM_UP_S = 2.0
_COOL_DOWN_S = 14.0
_LATENESS_TOLERANCE_MS = 250.0  # past the deadline, as the client sees it
_DUPLICATE_SHARE = 0.3
_EXIT_UNKNOWN = 5  # exit code of an edit that may have been accepted
# Faults of an instance that excuse lost and late responses.
_CONNECTION_LOSS_FAULTS = ("kill", "freeze")


class FaultRun:
    """Runs one seed and prints a line per guarantee.

    Args:
        seed: Seed of the load and of the faults.
        duration_s: Time during which requests arrive, in seconds.
        log_dir: Directory for the output of the processes.
        workload: Workload that is sent.
    """

    def __init__(
        self,
        seed: int,
        duration_s: float,
        log_dir: pathlib.Path,
        workload: load.Workload,
    ) -> None:
        self.seed = seed
        self.duration_s = duration_s
        self.workload = workload
        self.rng = random.Random(seed)
        spec = fleet.FleetSpec(
            engines=9,
            services=3,
            engines_per_process=1,
            balancer=False,
            settings={"HOLLYCART_LIST_LAG_MS": "1200"},
        )
        self.system = fleet.Fleet(spec, log_dir)
        self.record = _record.RunRecord()
        names = (
            "in time",
            "memory",
            "own answer",
            "not run",
            "at most once",
            "leaving",
            "graceful",
            "table",
        )
        self.checkers = {name: checks.GuaranteeChecker(name) for name in names}

    def run(self) -> int:
        """Runs the load and the faults and checks the guarantees.

        Returns:
            Zero if every guarantee holds and every kind of fault took effect,
            otherwise one.
        """
        try:
            self.system.start()
            teams = list(self.workload.teams)
            self.system.load_table(self.workload.table_csv(), teams)
            self._run_load()
            return self._report()
        finally:
            self.system.close()

    def _run_load(self) -> None:
        client = load.LoadClient(
            self.system.spec.model,
            self.system.keys,
            self._choose_address,
            self.seed,
        )
        self.client = client
        self.injector = _failures.FaultInjector(
            self.system,
            client,
            self.record,
            random.Random(self.seed + 1),
            self.workload.service_call_kind,
        )
        memory = _monitor.MemoryMonitor(
            self.system, client, self.checkers["memory"]
        )
        table = _monitor.TableMonitor(
            self.system, self.record, self.checkers["table"]
        )
        table.start()
        monitor_threads = [
            eventlet.spawn(memory.run),
            eventlet.spawn(table.run),
        ]
        fault_threads = [
            eventlet.spawn_after(at_s, self.injector.inject, kind)
            for at_s, kind in self._schedule()
        ]
        self._send_all(client)
        for thread in fault_threads:
            thread.wait()
        eventlet.sleep(_COOL_DOWN_S)
        for monitor_thread in monitor_threads:
            monitor_thread.kill()
        orphaned = memory.step()
        self.checkers["memory"].check(
            orphaned == 0, f"{orphaned} attempts hold memory at the end"
        )
        codes = self.system.stop_gracefully()
        for name, code in codes.items():
            self.checkers["graceful"].check(
                code == 0, f"{name} exited with {code}, expected 0"
            )

    def _schedule(self) -> list[tuple[float, str]]:
        """Returns when to inject which kind: each once, a quarter again."""
        kinds = sorted(self.injector.kinds())
        extra = self.rng.choices(kinds, k=len(kinds) // 4)
        end_s = max(_WARM_UP_S + 1, self.duration_s - 12.0)
        return sorted(
            (self.rng.uniform(_WARM_UP_S, end_s), kind)
            for kind in [*kinds, *extra]
        )

    def _send_all(self, client: load.LoadClient) -> None:
        plan = load.make_plan(
            load.PlanSpec(
                self.workload,
                0.35,
                self.duration_s * 1000.0,
                self.seed,
                self.system.spec.engines,
                service_calls_per_s=8.0,
                huge_prompt_count=1,
                stream_share=0.8,
            )
        )
        plan = [self._shorten_deadline(a) for a in plan]
        extra = eventlet.spawn(self._send_duplicates, client, plan)
        client.run(plan)
        extra.wait()

    def _shorten_deadline(self, req: load.LoadRequest) -> load.LoadRequest:
        """Shortens the deadline, so that some requests exceed it."""
        if req.is_service_call:
            return req._replace(deadline_ms=8_000)
        limit_ms = 6_000 if req.is_short else 40_000
        return req._replace(deadline_ms=limit_ms)

    def _send_duplicates(
        self, client: load.LoadClient, plan: list[load.LoadRequest]
    ) -> None:
        """Sends some service calls three times at once under the same key."""
        service_calls = [a for a in plan if a.is_service_call]
        chosen = [
            a for a in service_calls if self.rng.random() < _DUPLICATE_SHARE
        ]
        threads = []
        last_ms = 0.0
        for req in chosen:
            eventlet.sleep((req.at_ms - last_ms) / 1000.0)
            last_ms = req.at_ms
            key = f"twice-{self.seed}-{req.number}"
            for _ in range(3):
                threads.append(eventlet.spawn(self._send_one, client, req, key))
        for thread in threads:
            thread.wait()

    def _send_one(
        self, client: load.LoadClient, req: load.LoadRequest, key: str
    ) -> None:
        client.results.append(client.send(req, key))

    def _choose_address(self, req: load.LoadRequest) -> str:
        del req
        names = [
            n
            for n in self.system.instance_names()
            if self.system.is_running(n) and not self.system.entries[n].leaving
        ]
        name = self.rng.choice(names or self.system.instance_names())
        return self.system.entries[name].address

    def _report(self) -> int:
        self._check_results()
        self._check_effects()
        self._check_faults()
        lines = [f"seed {self.seed}, {self.duration_s:.0f} s"]
        outcomes = load.outcome_table(self.client.results)
        lines.append(load.format_table(outcomes))
        for kind, count in sorted(self.record.counts.items()):
            lines.append(f"  failure {kind}: {count}")
        missing = [
            k for k in self.injector.kinds() if not self.record.counts[k]
        ]
        for kind in missing:
            lines.append(f"  failure {kind}: did not occur")
        if not all(v.passed for v in self.checkers.values()):
            lines += self.record.timeline()
        for checker in self.checkers.values():
            flag = "ok" if checker.passed else "FAILED"
            lines.append(
                f"{checker.name:>14}: {flag}, {checker.checks} checks, "
                f"{len(checker.violations)} violations"
            )
            lines += [f"      {v}" for v in checker.violations[:8]]
        sys.stdout.write("\n".join(lines) + "\n")
        passed = all(v.passed for v in self.checkers.values())
        return 0 if passed and not missing else 1

    def _check_results(self) -> None:
        names = {
            e.address: n
            for n, e in self.system.entries.items()
            if e.kind == membership.KIND_INSTANCE
        }
        for result in self.client.results:
            name = names[result.address]
            affected = self.record.was_affected(
                name,
                _CONNECTION_LOSS_FAULTS,
                result.start_wall_ms,
                result.end_wall_ms,
            )
            self._check_time(result, name, affected)
            self.checkers["own answer"].check(
                result.outcome != "wrong", f"wrong answer to {result.req}"
            )
            if not affected and result.outcome == "refused":
                self.checkers["in time"].check(
                    result.retry_after_ms > 0,
                    f"refused without Retry-After: {result}",
                )

    def _check_time(
        self, result: load.CallResult, name: str, affected: bool
    ) -> None:
        if affected or result.outcome == "unreachable":
            return
        limit_ms = result.req.deadline_ms + _LATENESS_TOLERANCE_MS
        self.checkers["in time"].check(
            result.total_ms <= limit_ms and result.outcome != "lost",
            f"{name} {result.outcome} after {result.total_ms:.0f} ms "
            f"{result.req}",
        )
        draining = self.record.was_affected(
            name, ("term",), result.start_wall_ms, result.end_wall_ms
        )
        if draining:
            self.checkers["graceful"].check(
                result.outcome != "lost",
                f"{name} broke off {result.req} while it drained",
            )

    def _check_effects(self) -> None:
        effects: dict[str, list[float]] = {}
        attempts = set()
        for name in self.system.names(membership.KIND_SERVICE):
            for at_ms, key, attempt in self._read_effects(name):
                effects.setdefault(key, []).append(at_ms)
                attempts.add(attempt)
        once = self.checkers["at most once"]
        for key, times in effects.items():
            once.check(len(times) == 1, f"{key} ran {len(times)} times")
        answers: list[_answers.KeyedAnswer] = []
        for result in self.client.results:
            if not result.idempotency_key:
                continue
            scoped_key = f"{result.req.team}/cases/{result.idempotency_key}"
            executions_ms = effects.get(scoped_key, [])
            if result.outcome == "ok":
                once.check(
                    bool(executions_ms),
                    f"{scoped_key} answered ok but never ran",
                )
                answers.append(_answers.KeyedAnswer(scoped_key, result.body))
            if result.outcome == "not_run":
                self._check_not_run(result, scoped_key, executions_ms, attempts)
        differing = _answers.find_differing_answers(answers)
        for key in {answer.key for answer in answers}:
            once.check(
                key not in differing,
                f"{key} was answered in {differing.get(key)} ways",
            )

    def _check_not_run(
        self,
        result: load.CallResult,
        scoped_key: str,
        executions_ms: list[float],
        attempts: set[str],
    ) -> None:
        """Checks a call that was answered as not run.

        Its own attempt has never run, and no call under its key ran before it
        was sent. Another call under the key may run meanwhile.

        Args:
            result: Result of the call.
            scoped_key: Team, service and idempotency key of the call.
            executions_ms: Wall clock times at which calls under the key ran,
                in ms.
            attempts: Ids of all attempts that ran.
        """
        checker = self.checkers["not run"]
        checker.check(
            result.attempt_id != "" and result.attempt_id not in attempts,
            f"{scoped_key} answered as not run, but attempt "
            f"{result.attempt_id!r} ran or has no id",
        )
        before = [t for t in executions_ms if t <= result.start_wall_ms]
        checker.check(
            not before, f"{scoped_key} answered as not run, but ran at {before}"
        )

    def _read_effects(self, name: str) -> list:
        path = self.system.log_dir / f"{name}.journal"
        if not path.exists():
            return []
        rows = []
        for line in path.read_text().splitlines():
            at_ms, key, attempt = line.split("\t")
            rows.append((float(at_ms), key, attempt))
        return rows

    def _check_faults(self) -> None:
        for name, shown_ms, late in self.injector.leaving_checks:
            self.checkers["leaving"].check(
                not late,
                f"{name} leaves since {shown_ms:.0f}, got work {late} ms later",
            )
        for name, _, code in self.injector.drain_exits:
            self.checkers["graceful"].check(
                code == 0, f"{name} exited with {code}, expected 0"
            )
        for codes, weights, exported in self.injector.edit_races:
            accepted = [
                w
                for c, w in zip(codes, weights, strict=True)
                if c in _failures.ACCEPTED
            ]
            shown = [w for w in weights if f",{w}," in exported]
            known = not any(c == _EXIT_UNKNOWN for c in codes)
            self.checkers["table"].check(
                len(accepted) <= 1 and (not known or shown == accepted),
                f"concurrent edits: exit codes {codes}, weights {weights}, "
                f"table shows {shown}",
            )


def run_seeds(
    seeds: list[int], duration_s: float, log_dir: pathlib.Path
) -> int:
    """Runs seeds one after the other, with the workloads in turn.

    Args:
        seeds: Seeds to run.
        duration_s: Time during which requests arrive, per seed, in seconds.
        log_dir: Directory for the output of the processes.

    Returns:
        Zero if all seeds passed, otherwise one.
    """
    failed = []
    for seed in seeds:
        workloads = list(load.WORKLOADS.values())
        workload = workloads[seed % len(workloads)]
        try:
            code = FaultRun(
                seed, duration_s, log_dir / f"seed{seed}", workload
            ).run()
        except base.HollycartError as exc:
            sys.stdout.write(f"seed {seed}: {type(exc).__name__} {exc}\n")
            code = 1
        if code:
            failed.append(seed)
        sys.stdout.flush()
    sys.stdout.write(f"seeds {seeds}: failed {failed or 'none'}\n")
    return 1 if failed else 0
