import hypothesis
from hypothesis import strategies as st

from hollycart_core import connections

TOTAL, LARGEST, WAIT_MS = 1000000, 400000, 500.0
STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),  # account
        st.integers(0, 200000),  # bytes to add
        st.booleans(),  # whether its caller takes everything first
        st.floats(0.0, 300.0),  # ms until the next step
    ),
    max_size=60,
)


def play(steps):
    """Yields each decision with the sizes that it was made on."""
    budget = connections.MemoryBudget(TOTAL, LARGEST, WAIT_MS)
    accounts = [budget.open() for _ in range(6)]
    now_ms = 0.0
    for index, size, takes_all, pause_ms in steps:
        now_ms += pause_ms
        account = accounts[index]
        account.shed = lambda: None
        if takes_all:
            budget.add(account, -account.held_bytes, now_ms)
        budget.add(account, size, now_ms)
        if account.held_bytes and index % 2:
            budget.set_buffered(account, True, account.since_ms)
        verdict = budget.decide(account, now_ms)
        yield budget, accounts, account, verdict, now_ms
        if verdict.victim is not None:
            budget.close(verdict.victim)
            accounts[accounts.index(verdict.victim)] = budget.open()


@hypothesis.given(STEPS)
def test_sum_is_that_of_the_open_accounts(steps):
    for budget, accounts, *_ in play(steps):
        assert budget.held_bytes == sum(a.held_bytes for a in accounts)


@hypothesis.given(STEPS)
def test_nothing_is_shed_or_waits_while_there_is_room(steps):
    for budget, _, account, verdict, _ in play(steps):
        has_room = budget.held_bytes <= TOTAL * 7 // 8
        if has_room and account.held_bytes <= LARGEST:
            assert verdict == connections.MemoryVerdict()


@hypothesis.given(STEPS)
def test_nothing_is_read_beyond_the_bounds(steps):
    """Else many slow callers exhaust the memory of the process."""
    for budget, _, account, verdict, _ in play(steps):
        if verdict == connections.MemoryVerdict():
            assert account.held_bytes <= LARGEST
            assert budget.held_bytes <= TOTAL


@hypothesis.given(STEPS)
def test_largest_of_those_that_last_is_shed_after_the_wait(steps):
    for _, accounts, account, verdict, now_ms in play(steps):
        if verdict.victim is None or account.held_bytes > LARGEST:
            continue
        waited_ms = now_ms - account.waiting_since_ms + account.waited_ms
        assert waited_ms >= WAIT_MS
        lasting = [
            a.held_bytes
            for a in accounts
            if a.is_buffered and now_ms - a.since_ms >= WAIT_MS
        ]
        if lasting:
            assert verdict.victim.held_bytes >= max(lasting)


def test_account_of_a_running_request_is_never_shed():
    """Its engine may run it, and the caller would be told that it failed."""
    budget = connections.MemoryBudget(TOTAL, TOTAL, WAIT_MS)
    running, other = budget.open(), budget.open()
    running.shed = other.shed = lambda: None
    budget.add(running, 900000, 0.0)
    budget.protect(running)
    budget.add(other, 200000, 0.0)
    budget.decide(other, 0.0)
    assert budget.decide(other, WAIT_MS).victim is other


def test_reserve_is_kept_for_small_accounts():
    budget = connections.MemoryBudget(TOTAL, TOTAL, WAIT_MS)
    large, small = budget.open(), budget.open()
    budget.add(large, 900000, 0.0)
    budget.add(small, 10000, 0.0)
    assert budget.decide(large, 0.0).wait_ms
    assert budget.decide(small, 0.0) == connections.MemoryVerdict()


def test_slow_caller_is_shed_before_one_that_waits_for_room():
    """Else a prompt caller loses its response to callers that read slowly."""
    budget = connections.MemoryBudget(TOTAL, TOTAL, WAIT_MS)
    slow, prompt = budget.open(), budget.open()
    slow.shed = prompt.shed = lambda: None
    budget.add(slow, 400000, 0.0)
    budget.set_buffered(slow, True, 0.0)
    budget.add(prompt, 700000, 600.0)
    assert budget.decide(prompt, 600.0).wait_ms == WAIT_MS
    assert budget.decide(prompt, 600.0 + WAIT_MS).victim is slow
