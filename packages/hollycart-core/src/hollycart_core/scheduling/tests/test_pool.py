import itertools
import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from hollycart_core import scheduling

_CAPACITY = 100_000


def _infos(count, capacity=_CAPACITY):
    return [
        scheduling.EndpointInfo(f"e{n}", f"h:{n}", capacity)
        for n in range(count)
    ]


_ids = itertools.count()


def _req(tokens=1000, **changes):
    req = scheduling.PermitRequest(
        f"p{next(_ids)}", "i", "a", "k", 1.0, 0, tokens, 10, 60_000.0
    )
    return req._replace(**changes)


@pytest.fixture(name="pool")
def _pool():
    pool = scheduling.Pool(scheduling.SplitPolicy(random.Random(1)))
    pool.set_endpoints(_infos(4))
    return pool


def _permits(answers):
    return [a for a in answers if isinstance(a, scheduling.Permit)]


def test_short_request_avoids_endpoints_in_long_prefill(pool):
    for _ in range(2):
        pool.submit(_req(50_000), 0.0)
    long_endpoints = {p.endpoint_ids[0] for p in _permits(pool.dispatch(0.0))}
    for _ in range(2):
        pool.submit(_req(4000), 0.0)
    short_endpoints = {p.endpoint_ids[0] for p in _permits(pool.dispatch(0.0))}
    assert not long_endpoints & short_endpoints


def test_leaving_endpoint_receives_no_requests(pool):
    infos = [i._replace(leaving=i.endpoint_id != "e2") for i in _infos(4)]
    pool.set_endpoints(infos)
    pool.submit(_req(), 0.0)
    assert pool.dispatch(0.0)[0].endpoint_ids == ("e2",)


def test_request_that_cannot_meet_its_deadline_is_refused_at_once(pool):
    refused = pool.submit(_req(90_000, time_left_ms=500.0), 0.0)
    assert refused[0].code == "overloaded"
    assert refused[0].retry_after_ms > 0


def test_queued_request_out_of_time_is_refused_at_once(pool):
    pool.set_endpoints([i._replace(leaving=True) for i in _infos(4)])
    pool.queue.push(scheduling.QueuedRequest(_req(), 1000.0, 100.0, 0.0))
    answers = pool.dispatch(200.0)
    assert [a.code for a in answers] == ["overloaded"]
    assert pool.queue.length == 0


def test_prompt_larger_than_an_endpoint_gets_shares_on_several(pool):
    pool.submit(_req(250_000), 0.0)
    permit = _permits(pool.dispatch(0.0))[0]
    assert len(permit.endpoint_ids) == 3
    assert list(permit.endpoint_ids) == sorted(permit.endpoint_ids)


def test_prompt_larger_than_the_pool_is_refused(pool):
    refused = pool.submit(_req(500_000), 0.0)
    assert refused[0].code == "payload_too_large"


def test_failed_endpoints_are_used_again_if_there_is_no_other(pool):
    pool.submit(_req(excluded=("e0", "e1", "e2", "e3")), 0.0)
    assert len(_permits(pool.dispatch(0.0))) == 1


def test_shares_are_granted_all_or_none(pool):
    for _ in range(4):
        pool.submit(_req(60_000), 0.0)
    assert len(_permits(pool.dispatch(0.0))) > 0
    pool.submit(_req(250_000, permit_id="big"), 0.0)
    assert not _permits(pool.dispatch(0.0))
    for permit_id in list(pool.live_permits):
        pool.release(permit_id, 1.0)
    granted = _permits(pool.dispatch(1.0))
    assert "big" in {p.permit_id for p in granted}


def test_large_prompt_is_not_starved_by_smaller_prompts(pool):
    """Smaller prompts must not take all memory that is freed.

    A prompt that needs the memory of several endpoints would otherwise stay
    queued forever.
    """
    now = 0.0
    live_ids = []

    def add_work():
        for _ in range(6):
            pool.submit(_req(12_000, team="b", time_left_ms=1e9), now)

    def dispatch():
        granted = [p.permit_id for p in _permits(pool.dispatch(now))]
        for permit_id in granted:
            pool.mark_first_token(permit_id, 0, now)
        live_ids.extend(granted)

    for _ in range(20):
        add_work()
        dispatch()
        now += 1000.0
    big = _req(250_000, permit_id="big", time_left_ms=1e9)
    pool.submit(big, now)
    for _ in range(200):
        now += 1000.0
        for permit_id in live_ids[:2]:
            pool.release(permit_id, now)
        del live_ids[:2]
        add_work()
        dispatch()
        if "big" in live_ids:
            break
    assert "big" in live_ids


def test_row_limit_on_concurrent_requests(pool):
    for _ in range(3):
        pool.submit(_req(max_running=2), 0.0)
    granted = _permits(pool.dispatch(0.0))
    assert len(granted) == 2
    pool.release(granted[0].permit_id, 1.0)
    assert len(_permits(pool.dispatch(1.0))) == 1


def test_permit_expires_unless_renewed(pool):
    for _ in range(2):
        pool.submit(_req(), 0.0)
    kept, lost = _permits(pool.dispatch(0.0))
    later = scheduling.PERMIT_LIFETIME_MS - 1
    pool.renew_permits([pool.live_permits[kept.permit_id]], later)
    assert pool.expire(later + 2) == [lost.permit_id]


def test_new_owner_counts_renewed_permits(pool):
    pool.submit(_req(50_000), 0.0)
    permit = _permits(pool.dispatch(0.0))[0]
    live_permit = pool.live_permits[permit.permit_id]
    new = scheduling.Pool(scheduling.SplitPolicy(random.Random(2)))
    new.set_endpoints(_infos(4))
    new.renew_permits([live_permit], 10.0)
    endpoint_load = new.endpoint_loads[permit.endpoint_ids[0]]
    assert (
        endpoint_load.free_tokens
        == _CAPACITY - live_permit.request.memory_tokens
    )


def test_memory_held_without_permit_is_reported_and_counted(pool):
    report = scheduling.EndpointReport(
        "e1", (scheduling.HeldSequence("x/y/1", 40_000, 0),), 0.0
    )
    assert pool.reconcile(report, 0.0) == ["x/y/1"]
    assert pool.endpoint_loads["e1"].free_tokens == _CAPACITY - 40_000


@pytest.mark.parametrize("policy", sorted(scheduling.POLICIES))
def test_every_policy_places_and_releases(policy):
    pool = scheduling.Pool(scheduling.POLICIES[policy](random.Random(3)))
    pool.set_endpoints(_infos(3))
    for _ in range(9):
        pool.submit(_req(), 0.0)
    granted = _permits(pool.dispatch(0.0))
    for permit in granted:
        pool.release(permit.permit_id, 1.0)
    assert len(granted) == 9
    assert all(a.requests == 0 for a in pool.endpoint_loads.values())


def test_request_with_a_cached_prefix_goes_first_where_it_is_cached(pool):
    """Two rows compete for one free endpoint; one has a cached prefix."""
    blocks = tuple(range(100, 116))
    pool.set_endpoints(_infos(1))
    pool.index.add("e0", blocks, 0.0)
    pool.submit(_req(20_000, team="a", permit_id="cold"), 0.0)
    warm = _req(20_000, team="b", permit_id="warm", prefix_hashes=blocks)
    pool.submit(warm, 0.0)
    assert pool.dispatch(0.0)[0].permit_id == "warm"


def test_reordering_for_cached_prefixes_is_bounded(pool):
    """A row whose prefix is always cached must not starve the due row."""
    blocks = tuple(range(100, 116))
    pool.set_endpoints(_infos(1))
    pool.index.add("e0", blocks, 0.0)
    now = 0.0
    pool.submit(_req(20_000, team="a", permit_id="cold"), now)
    for number in range(40):
        warm = _req(20_000, team="b", prefix_hashes=blocks)
        pool.submit(warm, now)
        for permit in _permits(pool.dispatch(now)):
            if permit.permit_id == "cold":
                assert number < 30
                return
            pool.release(permit.permit_id, now)
        now += 1000.0
    raise AssertionError("request of the due row not placed in 40 rounds")


def test_predicted_cache_shrinks_with_reserved_memory(pool):
    pool.set_endpoints(_infos(1))
    pool.index.add("e0", tuple(range(60)), 0.0)
    pool.submit(_req(70_000), 0.0)
    assert _permits(pool.dispatch(0.0))
    assert pool.index.match("e0", tuple(range(60)), 0.0) == 0


def test_last_free_endpoint_is_kept_for_longer_short_prompts(pool):
    pool.set_endpoints(_infos(2))
    pool.submit(_req(50_000), 0.0)
    busy = _permits(pool.dispatch(0.0))[0].endpoint_ids[0]
    pool.submit(_req(1_000, permit_id="small"), 0.0)
    pool.submit(_req(4_000, permit_id="large"), 0.0)
    at = {p.permit_id: p.endpoint_ids[0] for p in pool.dispatch(0.0)}
    assert at["small"] == busy
    assert at["large"] != busy


def test_deep_queue_is_not_searched_while_no_endpoint_is_free(pool):
    """A search of every queued row would stall the owner under overload."""
    for number in range(300):
        pool.submit(_req(30_000, team=f"t{number}", time_left_ms=1e9), 0.0)
    pool.dispatch(0.0)
    candidate_calls = []
    find_candidates = pool._candidates
    pool._candidates = lambda *args: (
        candidate_calls.append(1) or find_candidates(*args)
    )
    for step in range(50):
        pool.dispatch(0.1 * step)
    assert pool.queue.length > 200
    assert len(candidate_calls) == 0


class PoolMachine(stateful.RuleBasedStateMachine):
    """Memory is never promised twice and every request gets one answer."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        policy = scheduling.SplitPolicy(random.Random(4))
        self.pool = scheduling.Pool(policy)
        self.pool.set_endpoints(_infos(3))
        self.waiting = set()
        self.live = []

    def _take(self, answers):
        for answer in answers:
            assert answer.permit_id in self.waiting
            self.waiting.discard(answer.permit_id)
            if isinstance(answer, scheduling.Permit):
                self.live.append(answer.permit_id)

    @stateful.rule(
        tokens=st.sampled_from([500, 4000, 20_000, 80_000, 150_000]),
        team=st.sampled_from("abc"),
        left=st.sampled_from([2_000.0, 60_000.0]),
    )
    def submit(self, tokens, team, left):
        req = _req(tokens, team=team, time_left_ms=left)
        self.waiting.add(req.permit_id)
        self._take(self.pool.submit(req, self.now))
        self._take(self.pool.dispatch(self.now))

    @stateful.rule(ms=st.sampled_from([20.0, 500.0, 3000.0]))
    def wait(self, ms):
        self.now += ms
        self._take(self.pool.dispatch(self.now))

    @stateful.precondition(lambda self: self.live)
    @stateful.rule(index=st.integers(0, 100), first_token=st.booleans())
    def progress(self, index, first_token):
        permit_id = self.live[index % len(self.live)]
        if first_token:
            self.pool.mark_first_token(permit_id, 0, self.now)
        else:
            self.live.remove(permit_id)
            self.pool.release(permit_id, self.now)
        self._take(self.pool.dispatch(self.now))

    @stateful.rule(leaving=st.sets(st.sampled_from(["e0", "e1"])))
    def change_endpoints(self, leaving):
        self.pool.set_endpoints(
            i._replace(leaving=i.endpoint_id in leaving) for i in _infos(3)
        )

    @stateful.invariant()
    def memory_is_promised_once(self):
        for endpoint_load in self.pool.endpoint_loads.values():
            assert endpoint_load.free_tokens >= 0

    @stateful.invariant()
    def waiting_requests_are_queued(self):
        assert self.pool.queue.length == len(self.waiting)


PoolMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)
test_pool_machine = PoolMachine.TestCase
