"""Two instances that claim one key, with the real ledger."""

from collections.abc import Callable

from hollycart_bench.explore import _explorer
from hollycart_bench.explore import _store
from hollycart_core import base
from hollycart_core import claims

_KEY = "team/cases/key"


class ClaimScenario:
    """Callers ask two owners of a shard; each sends only what is granted.

    Args:
        callers: Number of callers, each at an owner of its own.
        fenced: Whether the store honours conditions.
    """

    def __init__(self, callers: int = 2, fenced: bool = True) -> None:
        self.callers = callers
        self.fenced = fenced
        self.effects: list[str] = []
        self.told_done: list[str] = []
        self.told_not_run: list[str] = []

    def actors(
        self, scheduler: _explorer.Scheduler
    ) -> list[Callable[[], None]]:
        """Builds the owners and their callers."""
        self.effects = []
        self.told_done = []
        self.told_not_run = []
        clock = base.ManualClock()
        memory = _store.make_store(clock, self.fenced)
        return [
            self._actor(
                f"i{number}/x/1",
                claims.ClaimLedger(
                    _store.stepping_store(memory, scheduler),
                    0,
                    clock,
                ),
                scheduler,
            )
            for number in range(self.callers)
        ]

    def check(self) -> None:
        """The call ran at most once and every answer is true."""
        assert len(self.effects) <= 1, f"ran {self.effects}"
        for body in self.told_done:
            assert body in self.effects, f"done {body}, ran {self.effects}"
        for attempt in self.told_not_run:
            assert attempt not in self.effects, f"not run {attempt}"

    def _actor(
        self,
        attempt: str,
        ledger: claims.ClaimLedger,
        scheduler: _explorer.Scheduler,
    ) -> Callable[[], None]:
        def run() -> None:
            ask = claims.ClaimRequest(_KEY, "d", attempt, 1e12)
            try:
                decision = ledger.decide_batch([ask])[0]
            except base.KvUnavailableError:
                self.told_not_run.append(attempt)
                return
            if isinstance(decision, claims.Granted):
                self._send(attempt, ledger, scheduler)
            elif isinstance(decision, claims.Settled):
                outcome = decision.record.outcome()
                if isinstance(outcome, base.Done):
                    self.told_done.append(outcome.body.decode())

        return run

    def _send(
        self,
        attempt: str,
        ledger: claims.ClaimLedger,
        scheduler: _explorer.Scheduler,
    ) -> None:
        scheduler.pause()
        if scheduler.choose_fault(1):
            return  # died between claim and call
        self.effects.append(attempt)
        self.told_done.append(attempt)
        settle = claims.SettleRequest(
            _KEY, attempt, claims.ClaimState.DONE, 200, attempt.encode()
        )
        try:
            ledger.decide_batch([settle])
        except base.KvUnavailableError:
            return  # settled later; the claim stays
