import itertools

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from hollycart_core import base
from hollycart_core import kv
from hollycart_core import table


def _team(name, digest):
    return table.TeamRow(name, (digest,))


@pytest.fixture(name="clock")
def _clock():
    return base.ManualClock()


def test_version_conflict_names_both_rows(clock):
    tables = table.TableStore(kv.MemoryStore(clock), clock)
    row = _team("a", "11")
    tables.commit([table.RowChange.of(row.key, 0, row)], "e1", "x")
    mine, theirs = _team("a", "22"), _team("a", "33")
    tables.commit([table.RowChange.of(row.key, 1, theirs)], "e2", "y")
    with pytest.raises(base.VersionConflictError) as caught:
        tables.commit([table.RowChange.of(row.key, 1, mine)], "e3", "x")
    assert "33" in caught.value.detail
    assert "22" in caught.value.detail


def test_commit_whose_answer_was_lost_is_read_back(clock):
    faults = itertools.chain(
        [kv.CallFault.NONE, kv.CallFault.ANSWER_LOST],
        itertools.repeat(kv.CallFault.NONE),
    )
    store = kv.FaultyStore(kv.MemoryStore(clock), lambda _: next(faults))
    tables = table.TableStore(store, clock)
    row = _team("a", "11")
    delta = tables.commit([table.RowChange.of(row.key, 0, row)], "e", "x")
    assert delta.revision == 1
    assert tables.read().rows[row.key].version == 1


def test_commit_with_a_lost_answer_and_a_later_edit_is_not_a_conflict(clock):
    """The edit is committed, its answer is lost, and another edit follows.

    The other edit is committed before the first one is read back.
    """
    memory = kv.MemoryStore(clock)
    other = table.TableStore(memory, clock)
    calls = itertools.count()

    def next_fault(call):
        number = next(calls)
        if number == 1:
            return kv.CallFault.ANSWER_LOST
        if number == 2:
            change = _team("b", "22")
            other.commit([table.RowChange.of(change.key, 0, change)], "o", "y")
        return kv.CallFault.NONE

    tables = table.TableStore(kv.FaultyStore(memory, next_fault), clock)
    row = _team("a", "11")
    delta = tables.commit([table.RowChange.of(row.key, 0, row)], "e", "x")
    assert delta.revision == 1


def test_commit_with_unknown_outcome_raises(clock):
    faults = itertools.chain(
        [kv.CallFault.NONE, kv.CallFault.ANSWER_LOST],
        itertools.repeat(kv.CallFault.REFUSED),
    )
    store = kv.FaultyStore(kv.MemoryStore(clock), lambda _: next(faults))
    tables = table.TableStore(store, clock)
    row = _team("a", "11")
    with pytest.raises(base.KvAnswerLostError):
        tables.commit([table.RowChange.of(row.key, 0, row)], "e", "x")


def test_follower_rejects_older_revisions_and_gaps():
    follower = table.TableFollower()
    assert follower.apply_if_newer(table.Table.build(5, []))
    assert not follower.apply_if_newer(table.Table.build(4, []))
    row = _team("a", "11")
    gap = table.Delta(7, (table.RowChange.of(row.key, 0, row),))
    assert not follower.apply_deltas([gap])
    assert follower.current.revision == 5
    following = gap._replace(revision=6)
    assert follower.apply_deltas([following, gap])
    assert follower.deltas_since(5) == [following, gap]
    assert follower.deltas_since(2) is None


class TableMachine(stateful.RuleBasedStateMachine):
    """Edits with lost answers, and followers that read at any time."""

    def __init__(self):
        super().__init__()
        self.clock = base.ManualClock()
        self.memory = kv.MemoryStore(self.clock)
        self.faults = []
        self.store = kv.FaultyStore(self.memory, self._next_fault)
        self.tables = table.TableStore(self.store, self.clock)
        self.followers = [table.TableFollower() for _ in range(2)]
        self.accepted = {}
        self.edits = itertools.count()
        self.highest = [0, 0]

    def _next_fault(self, call):
        del call
        return self.faults.pop() if self.faults else kv.CallFault.NONE

    @stateful.rule(faults=st.lists(st.sampled_from(kv.CallFault), max_size=3))
    def inject(self, faults):
        self.faults = faults

    @stateful.rule(
        team=st.sampled_from("abc"),
        digest=st.sampled_from(["11", "22", "33"]),
        stale=st.booleans(),
    )
    def edit(self, team, digest, stale):
        row = _team(team, digest)
        current = table.TableStore(self.memory, self.clock).read()
        old = current.rows.get(row.key)
        version = old.version if old else 0
        read = max(0, version - 1) if stale else version
        change = table.RowChange.of(row.key, read, row)
        edit_id = f"e{next(self.edits)}"
        try:
            delta = self.tables.commit([change], edit_id, "x")
        except base.VersionConflictError:
            assert read != version
            return
        except (base.KvUnavailableError, base.KvAnswerLostError):
            return
        except kv.CallerLost:
            return  # the operator's command was ended
        assert read == version
        self.accepted[delta.revision] = edit_id

    @stateful.rule(who=st.integers(0, 1))
    def follow(self, who):
        try:
            self.followers[who].apply_if_newer(self.tables.read())
        except base.KvUnavailableError:
            return

    @stateful.rule(who=st.integers(0, 1))
    def gossip(self, who):
        source, sink = self.followers[who], self.followers[1 - who]
        deltas = source.deltas_since(sink.current.revision)
        if deltas is None:
            sink.apply_if_newer(source.current)
        else:
            sink.apply_deltas(deltas)

    @stateful.invariant()
    def accepted_edits_stay(self):
        records = table.TableStore(self.memory, self.clock).history()
        by_revision = {r.revision: r.edit_id for r in records}
        for revision, edit_id in self.accepted.items():
            assert by_revision[revision] == edit_id

    @stateful.invariant()
    def followers_never_go_back(self):
        for number, follower in enumerate(self.followers):
            assert follower.current.revision >= self.highest[number]
            self.highest[number] = follower.current.revision


TableMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
test_table_machine = TableMachine.TestCase
