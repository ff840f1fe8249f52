"""Systematic exploration of schedules (stateless model checking)."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

import greenlet

from hollycart_core import base
from hollycart_core import kv


class Budget(NamedTuple):
    """Bounds of an exploration.

    Attributes:
        faults: Maximum number of injected faults per run.
        switches: Maximum number of preemptions per run: switches away from an
            actor that could continue.
        runs: Maximum number of runs. An exploration that needs more is
            incomplete.
    """

    faults: int = 2
    switches: int = 3
    runs: int = 200_000


class Exploration(NamedTuple):
    """Result of an exploration.

    Attributes:
        runs: Number of schedules that were run.
        complete: Whether these are all schedules within the bounds of faults
            and switches.
        violations: Failed assertions and invariants, each with the decisions
            of its schedule; at most ten.
    """

    runs: int
    complete: bool
    violations: tuple[str, ...]


class Choices:
    """Decisions of one run, enumerated in depth-first order.

    Decisions after the prefix take option zero.

    Args:
        prefix: Options to take at the first decisions.

    Attributes:
        decisions: Each decision as (option, number of options).
    """

    def __init__(self, prefix: list[int]) -> None:
        self.prefix = prefix
        self.decisions: list[tuple[int, int]] = []

    def choose(self, options: int) -> int:
        """Returns the option of the next decision, from 0 to `options` - 1."""
        position = len(self.decisions)
        option = self.prefix[position] if position < len(self.prefix) else 0
        self.decisions.append((option, options))
        return option

    def next_prefix(self) -> list[int] | None:
        """Returns the prefix of the next run, or None after the last."""
        decisions = list(self.decisions)
        while decisions:
            option, options = decisions.pop()
            if option + 1 < options:
                return [o for o, _ in decisions] + [option + 1]
        return None


class Scenario(Protocol):
    """Small system of concurrent actors over shared state."""

    def actors(self, scheduler: "Scheduler") -> list[Callable[[], None]]:
        """Resets the state and returns the actors of one run."""

    def check(self) -> None:
        """Raises `AssertionError` if an invariant is violated."""


class Scheduler:
    """Interleaves the actors at the points where they call `yield_control`.

    Args:
        choices: Makes the decisions of the run.
        budget: Bounds of faults and switches.
    """

    def __init__(self, choices: Choices, budget: Budget) -> None:
        self.choices = choices
        self.faults_left = budget.faults
        self.switches_left = budget.switches
        self._main_greenlet = greenlet.getcurrent()

    def yield_control(self) -> None:
        """Returns control to the scheduler; called by an actor."""
        self._main_greenlet.switch()

    def choose_fault(self, faults: int) -> int:
        """Chooses whether to inject a fault.

        Args:
            faults: Number of possible faults.

        Returns:
            Zero for no fault, or the number of the fault, from 1.
        """
        if self.faults_left <= 0:
            return 0
        option = self.choices.choose(faults + 1)
        if option:
            self.faults_left -= 1
        return option

    def run(self, actors: list[Callable[[], None]]) -> None:
        """Runs the actors until all have ended."""
        greenlets = [
            greenlet.greenlet(_stop_on_crash(actor)) for actor in actors
        ]
        current = 0
        while any(not g.dead for g in greenlets):
            current = self._choose_next(greenlets, current)
            greenlets[current].switch()

    def _choose_next(
        self, greenlets: list[greenlet.greenlet], current: int
    ) -> int:
        runnable = [n for n, g in enumerate(greenlets) if not g.dead]
        if current not in runnable:
            return runnable[self.choices.choose(len(runnable))]
        if self.switches_left <= 0 or len(runnable) == 1:
            return current
        other_actors = [n for n in runnable if n != current]
        option = self.choices.choose(1 + len(other_actors))
        if option == 0:
            return current
        self.switches_left -= 1
        return other_actors[option - 1]


def explore(scenario: Scenario, budget: Budget) -> Exploration:
    """Runs a scenario under every schedule within a budget.

    Args:
        scenario: System whose invariants are checked after each run.
        budget: Bounds of the exploration.

    Returns:
        The result, with at most ten violations.
    """
    prefix: list[int] | None = []
    runs = 0
    violations: list[str] = []
    while prefix is not None and runs < budget.runs:
        choices = Choices(prefix)
        scheduler = Scheduler(choices, budget)
        try:
            scheduler.run(scenario.actors(scheduler))
            scenario.check()
        except (AssertionError, base.InvariantError) as exc:
            if len(violations) < 10:
                violations.append(f"{[o for o, _ in choices.decisions]}: {exc}")
        runs += 1
        prefix = choices.next_prefix()
    return Exploration(runs, prefix is None, tuple(violations))


def _stop_on_crash(actor: Callable[[], None]) -> Callable[[], None]:
    def run() -> None:
        try:
            actor()
        except kv.CallerLost:
            return

    return run
