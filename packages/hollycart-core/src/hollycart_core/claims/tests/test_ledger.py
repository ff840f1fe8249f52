import itertools

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import result

from hollycart_core import base
from hollycart_core import claims
from hollycart_core import kv


@pytest.fixture(name="clock")
def _clock():
    return base.ManualClock()


def _claim_request(attempt, key="k", digest="d"):
    return claims.ClaimRequest(key, digest, attempt, 1e12)


def _done(attempt, key="k", body=b"receipt"):
    return claims.SettleRequest(key, attempt, claims.ClaimState.DONE, 200, body)


def test_second_owner_sees_the_claim_of_the_first(clock):
    store = kv.MemoryStore(clock)
    first, second = (claims.ClaimLedger(store, 0, clock) for _ in range(2))
    assert isinstance(
        first.decide_batch([_claim_request("a/x/1")])[0], claims.Granted
    )
    assert isinstance(
        second.decide_batch([_claim_request("b/x/1")])[0], claims.Pending
    )
    first.decide_batch([_done("a/x/1")])
    clock.sleep_ms(1000)
    answer = second.decide_batch([_claim_request("c/x/1")])[0]
    assert isinstance(answer, claims.Settled)
    assert answer.record.body == b"receipt"


def test_stale_owner_is_fenced_by_the_head(clock):
    store = kv.MemoryStore(clock)
    paused, other = (claims.ClaimLedger(store, 0, clock) for _ in range(2))
    paused.decide_batch([_claim_request("p/x/1", key="warm")])
    other.decide_batch([_claim_request("o/x/1")])
    answer = paused.decide_batch([_claim_request("p/x/2")])[0]
    assert isinstance(answer, claims.Pending)


def test_key_reused_with_another_request_is_rejected(clock):
    ledger = claims.ClaimLedger(kv.MemoryStore(clock), 0, clock)
    ledger.decide_batch([_claim_request("a/x/1")])
    answer = ledger.decide_batch([_claim_request("b/x/1", digest="other")])[0]
    assert isinstance(answer, claims.KeyReused)


def test_failed_claim_that_was_stored_is_released_later():
    """The store writes the claim, but its answer is lost and retries fail."""
    clock = base.SystemClock()
    script = iter([kv.CallFault.NONE, kv.CallFault.ANSWER_LOST])

    def next_fault(call):
        del call
        return next(script, failing[0])

    failing = [kv.CallFault.REFUSED]
    memory = kv.MemoryStore(clock)
    ledger = claims.ClaimLedger(
        kv.FaultyStore(memory, next_fault), 0, clock, commit_interval_ms=0
    )
    answer = ledger.submit(_claim_request("a/x/1"))
    assert isinstance(answer, result.Err)
    stored = claims.ClaimLog(memory, 0).load().records["k"]
    assert stored.attempt_id == "a/x/1"
    failing[0] = kv.CallFault.NONE
    again = ledger.submit(_claim_request("b/x/1"))
    assert isinstance(again.ok_value, claims.Granted)


def test_attempt_that_was_released_is_never_granted_again(clock):
    ledger = claims.ClaimLedger(kv.MemoryStore(clock), 0, clock)
    ledger.decide_batch([_claim_request("a/x/1")])
    release = claims.SettleRequest("k", "a/x/1", claims.ClaimState.NOT_RUN)
    ledger.decide_batch([release])
    answer = ledger.decide_batch([_claim_request("a/x/1")])[0]
    assert isinstance(answer, claims.Settled)


def test_compaction_keeps_every_live_claim(clock):
    store = kv.MemoryStore(clock)
    ledger = claims.ClaimLedger(store, 0, clock)
    for number in range(200):
        ledger.decide_batch([_claim_request(f"a/x/{number}", key=f"k{number}")])
    assert len(store.range("hollycart/claims/000/log/").items) < 70
    assert len(claims.ClaimLog(store, 0).load().records) == 200


def test_full_shard_rejects_writes_and_keeps_stored_claims(clock):
    store = kv.MemoryStore(clock)
    ledger = claims.ClaimLedger(store, 0, clock)
    body = b"x" * 14_000
    with pytest.raises(base.StoreFullError):
        for number in range(200):
            attempt, key = f"a/x/{number}", f"k{number}"
            ledger.decide_batch([_claim_request(attempt, key=key)])
            ledger.decide_batch([_done(attempt, key=key, body=body)])
    kept = claims.ClaimLog(store, 0).load().records
    assert len(kept) >= 30


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Callers, two owners, lost answers; effects happen at most once."""

    def __init__(self):
        super().__init__()
        self.clock = base.ManualClock()
        self.faults = []
        self.store = kv.FaultyStore(
            kv.MemoryStore(self.clock), lambda _: self._next_fault()
        )
        self.ledgers = [self._new_ledger() for _ in range(2)]
        self.attempts = itertools.count(1)
        self.effects = {}
        self.told_not_run = set()
        self.in_call = []
        self.told = {}

    def _new_ledger(self):
        return claims.ClaimLedger(self.store, 0, self.clock)

    def _next_fault(self):
        return self.faults.pop() if self.faults else kv.CallFault.NONE

    @stateful.rule(faults=st.lists(st.sampled_from(kv.CallFault), max_size=4))
    def inject(self, faults):
        self.faults = faults

    @stateful.rule(ms=st.sampled_from([10.0, 600.0]))
    def wait(self, ms):
        self.clock.sleep_ms(ms)

    @stateful.rule(owner=st.integers(0, 1), key=st.sampled_from("kl"))
    def claim(self, owner, key):
        attempt = f"i/x/{next(self.attempts)}"
        ask = claims.ClaimRequest(key, "d", attempt, 1e12)
        try:
            answer = self.ledgers[owner].decide_batch([ask])[0]
        except base.KvUnavailableError:
            self.told_not_run.add(attempt)
            return
        except kv.CallerLost:
            self.ledgers[owner] = self._new_ledger()
            return
        if isinstance(answer, claims.Granted):
            self.in_call.append((key, attempt))
        if isinstance(answer, claims.Settled):
            outcome = answer.record.outcome()
            if isinstance(outcome, base.Done):
                assert self.effects[key] == [outcome.body.decode()]

    @stateful.precondition(lambda self: self.in_call)
    @stateful.rule(owner=st.integers(0, 1), sent=st.booleans())
    def finish(self, owner, sent):
        key, attempt = self.in_call.pop()
        state = claims.ClaimState.NOT_RUN
        if sent:
            self.effects.setdefault(key, []).append(attempt)
            state = claims.ClaimState.DONE
        settle = claims.SettleRequest(
            key, attempt, state, 200, attempt.encode() if sent else b""
        )
        try:
            self.ledgers[owner].decide_batch([settle])
        except base.KvUnavailableError:
            return
        except kv.CallerLost:
            self.ledgers[owner] = self._new_ledger()

    @stateful.invariant()
    def effects_happen_at_most_once(self):
        for done in self.effects.values():
            assert len(done) == 1

    @stateful.invariant()
    def not_run_is_true(self):
        ran = {a for done in self.effects.values() for a in done}
        assert not ran & self.told_not_run


ClaimMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=30, deadline=None, derandomize=True
)
test_claim_machine = ClaimMachine.TestCase
