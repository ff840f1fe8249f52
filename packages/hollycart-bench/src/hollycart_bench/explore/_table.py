"""Scenario: two operators edit one row at once."""

from collections.abc import Callable

from hollycart_bench.explore import _explorer
from hollycart_bench.explore import _store
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import table


class TableScenario:
    """Two operators each commit an edit to the same version of one row.

    They use the real `table.TableStore` over one shared store.

    Args:
        checks_conditions: Whether the store checks the conditions of
            transactions; False shows that the exploration finds violations.

    Attributes:
        accepted: Edits reported as committed.
        unknown: Edits whose commit call lost its response.
    """

    def __init__(self, checks_conditions: bool = True) -> None:
        self.checks_conditions = checks_conditions
        self.accepted: list[str] = []
        self.unknown: list[str] = []
        self.memory = kv.MemoryStore(base.ManualClock())

    def actors(
        self, scheduler: _explorer.Scheduler
    ) -> list[Callable[[], None]]:
        """Returns the two operators, over an empty store."""
        self.accepted = []
        self.unknown = []
        clock = base.ManualClock()
        self.memory = _store.make_store(clock, self.checks_conditions)
        return [
            self._actor(
                digest,
                table.TableStore(
                    _store.scheduled_store(self.memory, scheduler),
                    clock,
                ),
            )
            for digest in ("11", "22")
        ]

    def check(self) -> None:
        """Asserts that at most one edit is accepted and stored.

        An edit reported as accepted must be in the history.
        """
        clock = base.ManualClock()
        records = table.TableStore(self.memory, clock).history()
        stored = [r.edit_id for r in records]
        assert len(self.accepted) <= 1, f"accepted {self.accepted}"
        for edit in self.accepted:
            assert edit in stored, f"{edit} is not in {stored}"
        assert len(stored) <= 1, f"stored {stored}"

    def _actor(
        self, digest: str, tables: table.TableStore
    ) -> Callable[[], None]:
        def run() -> None:
            row = table.TeamRow("a", (digest,))
            change = table.RowChange.of(row.key, 0, row)
            try:
                tables.commit([change], digest, "x")
            except base.KvAnswerLostError:
                self.unknown.append(digest)
            except base.HollycartError:
                return
            else:
                self.accepted.append(digest)

        return run
