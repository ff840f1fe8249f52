"""Scenario: several instances claim one idempotency key at once."""

from collections.abc import Callable

from hollycart_bench.explore import _explorer
from hollycart_bench.explore import _store
from hollycart_core import base
from hollycart_core import claims

_KEY = "team/cases/key"


class ClaimScenario:
    """Concurrent claims on one key at several owners of the same shard.

    Each caller sends its service call only if its owner grants the claim. The
    owners run the real `claims.ClaimLedger` over one shared store.

    Args:
        callers: Number of callers, each with an owner of its own.
        checks_conditions: Whether the store checks the conditions of
            transactions; False shows that the exploration finds violations.

    Attributes:
        effects: Attempts whose service call was executed.
        reported_done: Attempts reported as executed to a caller.
        reported_not_run: Attempts reported as not executed to a caller.
    """

    def __init__(
        self, callers: int = 2, checks_conditions: bool = True
    ) -> None:
        self.callers = callers
        self.checks_conditions = checks_conditions
        self.effects: list[str] = []
        self.reported_done: list[str] = []
        self.reported_not_run: list[str] = []

    def actors(
        self, scheduler: _explorer.Scheduler
    ) -> list[Callable[[], None]]:
        """Builds the owners and their callers."""
        self.effects = []
        self.reported_done = []
        self.reported_not_run = []
        clock = base.ManualClock()
        memory = _store.make_store(clock, self.checks_conditions)
        return [
            self._actor(
                f"i{number}/x/1",
                claims.ClaimLedger(
                    _store.scheduled_store(memory, scheduler),
                    0,
                    clock,
                ),
                scheduler,
            )
            for number in range(self.callers)
        ]

    def check(self) -> None:
        """Asserts at most one execution and correct reported outcomes."""
        assert len(self.effects) <= 1, f"ran {self.effects}"
        for body in self.reported_done:
            assert body in self.effects, f"done {body}, ran {self.effects}"
        for attempt in self.reported_not_run:
            assert attempt not in self.effects, f"not run {attempt}"

    def _actor(
        self,
        attempt: str,
        ledger: claims.ClaimLedger,
        scheduler: _explorer.Scheduler,
    ) -> Callable[[], None]:
        def run() -> None:
            claim_req = claims.ClaimRequest(_KEY, "d", attempt, 1e12)
            try:
                decision = ledger.decide_batch([claim_req])[0]
            except base.KvUnavailableError:
                self.reported_not_run.append(attempt)
                return
            if isinstance(decision, claims.Granted):
                self._send(attempt, ledger, scheduler)
            elif isinstance(decision, claims.Settled):
                outcome = decision.record.outcome()
                if isinstance(outcome, base.Done):
                    self.reported_done.append(outcome.body.decode())

        return run

    def _send(
        self,
        attempt: str,
        ledger: claims.ClaimLedger,
        scheduler: _explorer.Scheduler,
    ) -> None:
        scheduler.yield_control()
        if scheduler.choose_fault(1):
            return  # crash between claim and call
        self.effects.append(attempt)
        self.reported_done.append(attempt)
        settle_req = claims.SettleRequest(
            _KEY, attempt, claims.ClaimState.DONE, 200, attempt.encode()
        )
        try:
            ledger.decide_batch([settle_req])
        except base.KvUnavailableError:
            return  # the claim stays open until the outcome is stored
