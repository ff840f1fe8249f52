"""Two operators who edit one row, with the real table store."""

from collections.abc import Callable

from hollycart_bench.explore import _explorer
from hollycart_bench.explore import _store
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import table


class TableScenario:
    """Two operators commit an edit of the same version of one row.

    Args:
        fenced: Whether the store honours conditions.
    """

    def __init__(self, fenced: bool = True) -> None:
        self.fenced = fenced
        self.accepted: list[str] = []
        self.unknown: list[str] = []
        self.memory = kv.MemoryStore(base.ManualClock())

    def actors(
        self, scheduler: _explorer.Scheduler
    ) -> list[Callable[[], None]]:
        """Builds the operators."""
        self.accepted = []
        self.unknown = []
        clock = base.ManualClock()
        self.memory = _store.make_store(clock, self.fenced)
        return [
            self._actor(
                digest,
                table.TableStore(
                    _store.stepping_store(self.memory, scheduler),
                    clock,
                ),
            )
            for digest in ("11", "22")
        ]

    def check(self) -> None:
        """Every accepted edit is in the history; at most one is accepted."""
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
