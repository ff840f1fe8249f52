import hypothesis
from hypothesis import strategies as st

from hollycart_core import placement

ENDPOINTS = [f"e{number:02d}" for number in range(60)]
MAX_GAP_MS = 250.0


def assigned(attempt, endpoint="e00", part_ms=20.0, memory=6000):
    return placement.Assignment(
        attempt, endpoint, True, True, part_ms, 0, 0, 9, 250, 5000, memory, 1.0
    )


@hypothesis.given(
    st.lists(
        st.tuples(
            st.floats(0.0, 500.0),
            st.lists(st.sampled_from(ENDPOINTS), max_size=17),
        )
    )
)
def test_queries_are_bounded_for_each_endpoint_and_placement(steps):
    queries, now_ms, queried_ms = placement.LoadQueries("i"), 0.0, {}
    for wait_ms, preferred in steps:
        now_ms += wait_ms
        due = queries.take(preferred, ENDPOINTS, now_ms)
        assert len(due) == len(set(due)) <= 24
        for endpoint in due:
            assert now_ms - queried_ms.get(endpoint, -1e9) >= 400.0
            queried_ms[endpoint] = now_ms
        for endpoint in preferred:
            assert now_ms - queried_ms[endpoint] < 400.0


def test_all_endpoints_are_queried_in_turn():
    queries = placement.LoadQueries("i")
    found = [queries.take((), ENDPOINTS, 100.0 * n) for n in range(3)]
    assert sorted(e for due in found for e in due) == ENDPOINTS


def test_only_long_parts_are_worth_queries():
    assert not placement.needs_queries([assigned("a", part_ms=140.0)])
    assert placement.needs_queries([assigned("a", part_ms=160.0)])


@hypothesis.given(
    st.integers(0, 20),
    st.integers(0, 500000),
    st.lists(st.floats(0.0, 5000.0), max_size=12),
)
def test_own_attempts_are_subtracted_once_reports_contain_them(
    requests, memory_tokens, ages_ms
):
    accounted = [assigned(f"a{n}") for n in range(len(ages_ms))]
    placed_ms = {f"a{n}": -age_ms for n, age_ms in enumerate(ages_ms)}
    load = placement.unaccounted_load(
        requests, memory_tokens, accounted, placed_ms, MAX_GAP_MS, 0.0
    )
    contained = sum(age_ms >= 250.0 for age_ms in ages_ms)
    assert load.requests == max(0, requests - contained)
    assert 0 <= load.memory_tokens <= memory_tokens


@hypothesis.given(st.lists(st.integers(0, 9), max_size=24))
def test_endpoint_without_a_report_is_never_taken_to_be_free(reported):
    known = [
        placement.UnaccountedLoad(count, count * 5000, 0.0, 2000.0)
        for count in reported
    ]
    load = placement.assumed_load(known, MAX_GAP_MS, 0.0)
    assert 1 <= load.requests <= max([1, *reported])
    assert load.requests >= sum(reported) / max(1, len(reported))


def test_report_holds_until_it_is_outdated():
    load = placement.unaccounted_load(6, 0, [], {}, MAX_GAP_MS, 0.0)
    left = [load.requests_left(ms) for ms in (0.0, 2000.0, 3000.0, 4000.0)]
    assert left == [6, 6, 3, 0]


def test_long_prompt_avoids_endpoints_with_unknown_answers(
    placer, view, model, endpoints, long_prompt
):
    """Guards against parts beside the short answers of other instances."""
    busy = {e.id for e in endpoints[:7]}
    for endpoint in busy:
        load = placement.unaccounted_load(3, 15000, [], {}, MAX_GAP_MS, 0.0)
        view.set_unaccounted(endpoint, load)
    chosen = placer.choose(long_prompt("a"), model, endpoints, 0.0)
    assert not busy & {a.endpoint for a in chosen.assignments}
    assert chosen.first_event_ms <= 3000.0


def test_load_surveyed_after_a_restart_does_not_repel_parts(
    placer, view, model, endpoints, long_prompt
):
    """What is seen only once after the start is placed beside as before."""
    free = placer.choose(long_prompt("a"), model, endpoints, 0.0)
    for endpoint in endpoints:
        view.set_unaccounted(
            endpoint.id, placement.UnaccountedLoad(1, 0, 0.0, 2000.0)
        )
    chosen = placer.choose(long_prompt("a"), model, endpoints, 0.0)
    assert len(chosen.assignments) == len(free.assignments)
