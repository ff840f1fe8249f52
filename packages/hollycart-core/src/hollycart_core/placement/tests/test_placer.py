import hypothesis
from hypothesis import strategies
import pytest

from hollycart_core import placement


@pytest.fixture
def write(placer, view, model, endpoints):
    """Places prompts that are writing already; returns their endpoints."""

    def run(prompts):
        used = []
        for prompt in prompts:
            chosen = placer.choose(prompt, model, endpoints, 0.0)
            view.add("i", chosen.assignments)
            view.start_decoding(prompt.attempt)
            used.append(chosen.endpoint.id)
        return used

    return run


def test_short_answers_are_packed(write, short_prompt):
    used = write([short_prompt(f"s{i}") for i in range(14)])
    assert len(set(used)) == 2


def test_last_slot_is_spared_for_what_others_place_at_once(write, short_prompt):
    """Seen with 75 instances: two of them take the same last slot."""
    used = write([short_prompt(f"s{i}") for i in range(15)])
    assert sorted(used.count(e) for e in set(used)) == [1, 7, 7]


def test_short_prompts_that_come_at_once_are_spread(
    placer, view, model, endpoints, short_prompt
):
    used = set()
    for i in range(12):
        chosen = placer.choose(short_prompt(f"s{i}"), model, endpoints, 0.0)
        view.add("i", chosen.assignments)
        used.update(w.endpoint for w in chosen.assignments)
        assert chosen.first_event_ms < 300
    assert len(used) >= 3


def test_long_prompt_is_split_and_spares_short_answers(
    placer, model, endpoints, write, short_prompt, long_prompt
):
    writing = set(write([short_prompt(f"s{i}") for i in range(16)]))
    chosen = placer.choose(long_prompt("l"), model, endpoints, 0.0)
    assert chosen.helpers
    assert chosen.first_event_ms < 1500
    assert not writing & {w.endpoint for w in chosen.assignments}


def test_long_prompts_come_in_time_one_after_the_other(
    placer, view, model, endpoints, long_prompt
):
    for i in range(3):
        chosen = placer.choose(long_prompt(f"l{i}"), model, endpoints, 0.0)
        view.add("i", chosen.assignments)
        assert chosen.first_event_ms < 3000


def test_prompt_over_one_endpoints_memory_is_reserved_on_several(
    placer, model, endpoints, long_prompt
):
    chosen = placer.choose(long_prompt("l", 900000), model, endpoints, 0.0)
    assert chosen.reservations[0].endpoint == chosen.endpoint
    assert sum(r.tokens for r in chosen.reservations) >= 900800
    assert all(r.tokens <= 450000 for r in chosen.reservations)


def test_no_more_endpoints_are_listed_than_an_engine_accepts(
    placer, model, many_endpoints, long_prompt
):
    """Seen on a played day: 17 tickets were answered with 400."""
    chosen = placer.choose(long_prompt("l", 480000), model, many_endpoints, 0.0)
    # The writing endpoint's own ticket is listed, too.
    assert len(chosen.reservations) <= 16
    assert len(chosen.helpers) <= 15


def test_long_prompt_is_split_where_halves_would_disturb_others(
    placer, view, model, many_endpoints, long_prompt
):
    """Seen on a played day: 322,000 tokens on one of 69 engines."""
    for i in range(5):
        chosen = placer.choose(
            long_prompt(f"l{i}", 350000), model, many_endpoints, 0.0
        )
        view.add("i", chosen.assignments)
    chosen = placer.choose(
        long_prompt("last", 320000), model, many_endpoints, 0.0
    )
    assert chosen.first_event_ms < 3000


def test_prompt_over_all_memory_has_no_place(
    placer, model, endpoints, long_prompt
):
    assert (
        placer.choose(long_prompt("l", 900000), model, endpoints[:2], 0.0)
        is None
    )


@pytest.mark.parametrize("writing", [0, 20])
def test_prompt_that_is_late_anyway_leaves_endpoints_to_others(
    writing, placer, model, endpoints, write, short_prompt, long_prompt
):
    """Seen on a played day: eight of 14 endpoints were taken for 6 s."""
    write([short_prompt(f"s{i}") for i in range(writing)])
    prompt = long_prompt("l", 984000)._replace(remaining_ms=12000)
    chosen = placer.choose(prompt, model, endpoints, 0.0)
    assert len(chosen.assignments) <= 6
    assert chosen.first_event_ms <= 11000


def test_every_slot_is_used_before_a_full_endpoint(
    placer, model, endpoints, write, short_prompt
):
    used = write([short_prompt(f"s{i}") for i in range(14 * 8)])
    assert [used.count(e) for e in set(used)] == [8] * 14


def test_slow_endpoint_is_drained_of_load(
    placer, health, model, endpoints, short_prompt
):
    first = placer.choose(short_prompt("a"), model, endpoints, 0.0).endpoint
    for _ in range(20):
        health.record_slowness(first.id, 8.0, 0.0)
    second = placer.choose(short_prompt("b"), model, endpoints, 0.0).endpoint
    assert second != first


@hypothesis.given(
    strategies.lists(strategies.integers(1000, 1000000), max_size=25)
)
def test_every_placement_is_consistent(sizes):
    from hollycart_core import routing

    model = placement.EngineModel(
        routing.EngineParameters(
            8, 450000, 46, 0.925, 0.00966, 0.00254, 256.0, 0.0917, 2048
        )
    )
    endpoints = [
        placement.Endpoint(f"e{i}", f"10.0.0.{i}:1", "llm", "z", 8)
        for i in range(6)
    ]
    view = placement.LoadView()
    placer = placement.Placer(view, placement.EndpointHealth())
    for i, tokens in enumerate(sizes):
        prompt = placement.Prompt(f"p{i}", tokens, 800, 3000, 15000, 800)
        chosen = placer.choose(prompt, model, endpoints, 0.0)
        if chosen is None:
            continue
        used = [w.endpoint for w in chosen.assignments]
        assert len(used) == len(set(used))
        assert sum(w.primary for w in chosen.assignments) == 1
        assert len(chosen.helpers) <= 16
        assert chosen.first_event_ms > 0
        held = sum(w.memory_tokens for w in chosen.assignments)
        assert held >= tokens
        view.add("i", chosen.assignments)
    for endpoint in endpoints:
        held = sum(w.memory_tokens for w in view.on_endpoint(endpoint.id))
        assert held <= 450000
