import hypothesis
from hypothesis import strategies
import pytest

from hollycart_core import placement


@pytest.fixture
def place_decoding(placer, view, model, endpoints):
    """Places prompts that start decoding at once; returns their endpoints."""

    def run(prompts):
        used = []
        for prompt in prompts:
            chosen = placer.choose(prompt, model, endpoints, 0.0)
            view.add("i", chosen.assignments)
            view.start_decoding(prompt.attempt_id)
            used.append(chosen.endpoint.id)
        return used

    return run


def test_short_answers_are_packed_on_few_endpoints(
    place_decoding, short_prompt
):
    used = place_decoding([short_prompt(f"s{i}") for i in range(14)])
    assert len(set(used)) == 2


def test_last_free_slot_is_left_to_concurrent_placements(
    place_decoding, short_prompt
):
    """Guards against two of 75 instances taking the same last slot."""
    used = place_decoding([short_prompt(f"s{i}") for i in range(15)])
    assert sorted(used.count(e) for e in set(used)) == [1, 7, 7]


def test_concurrent_short_prompts_are_spread_for_prefill(
    placer, view, model, endpoints, short_prompt
):
    used = set()
    for i in range(12):
        chosen = placer.choose(short_prompt(f"s{i}"), model, endpoints, 0.0)
        view.add("i", chosen.assignments)
        used.update(a.endpoint for a in chosen.assignments)
        assert chosen.first_event_ms < 300
    assert len(used) >= 3


def test_long_prompt_is_split_over_endpoints_without_short_answers(
    placer, model, endpoints, place_decoding, short_prompt, long_prompt
):
    short_endpoints = set(
        place_decoding([short_prompt(f"s{i}") for i in range(16)])
    )
    chosen = placer.choose(long_prompt("l"), model, endpoints, 0.0)
    assert chosen.helpers
    assert chosen.first_event_ms < 1500
    assert not short_endpoints & {a.endpoint for a in chosen.assignments}


def test_long_prompts_in_succession_meet_their_target(
    placer, view, model, endpoints, long_prompt
):
    for i in range(3):
        chosen = placer.choose(long_prompt(f"l{i}"), model, endpoints, 0.0)
        view.add("i", chosen.assignments)
        assert chosen.first_event_ms < 3000


def test_prompt_beyond_one_endpoints_memory_is_reserved_on_several(
    placer, model, endpoints, long_prompt
):
    chosen = placer.choose(long_prompt("l", 900000), model, endpoints, 0.0)
    assert chosen.reservations[0].endpoint == chosen.endpoint
    assert sum(r.tokens for r in chosen.reservations) >= 900800
    assert all(r.tokens <= 450000 for r in chosen.reservations)


def test_reservations_do_not_exceed_what_an_engine_accepts(
    placer, model, many_endpoints, long_prompt
):
    """Engines reject a list of 17 reservations with status 400."""
    chosen = placer.choose(long_prompt("l", 480000), model, many_endpoints, 0.0)
    # The list includes the primary's own reservation.
    assert len(chosen.reservations) <= 16
    assert len(chosen.helpers) <= 15


def test_long_prompt_is_split_if_two_halves_interfere_with_decode(
    placer, view, model, many_endpoints, long_prompt
):
    """Guards against a search that stops at too few shares.

    On a simulated day, one of 69 engines prefilled 322,000 tokens alone.
    """
    for i in range(5):
        chosen = placer.choose(
            long_prompt(f"l{i}", 350000), model, many_endpoints, 0.0
        )
        view.add("i", chosen.assignments)
    chosen = placer.choose(
        long_prompt("last", 320000), model, many_endpoints, 0.0
    )
    assert chosen.first_event_ms < 3000


def test_prompt_beyond_all_memory_is_not_placed(
    placer, model, endpoints, long_prompt
):
    assert (
        placer.choose(long_prompt("l", 900000), model, endpoints[:2], 0.0)
        is None
    )


@pytest.mark.parametrize("decoding_count", [0, 20])
def test_prompt_that_cannot_meet_its_target_uses_few_helpers(
    decoding_count,
    placer,
    model,
    endpoints,
    place_decoding,
    short_prompt,
    long_prompt,
):
    """On a simulated day, such a prompt used eight of 14 endpoints for 6 s."""
    place_decoding([short_prompt(f"s{i}") for i in range(decoding_count)])
    prompt = long_prompt("l", 984000)._replace(remaining_ms=12000)
    chosen = placer.choose(prompt, model, endpoints, 0.0)
    assert len(chosen.assignments) <= 6
    assert chosen.first_event_ms <= 11000


def test_no_endpoint_queues_while_another_has_a_free_slot(
    placer, model, endpoints, place_decoding, short_prompt
):
    used = place_decoding([short_prompt(f"s{i}") for i in range(14 * 8)])
    assert [used.count(e) for e in set(used)] == [8] * 14


def test_slow_endpoint_is_avoided(
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
        used = [a.endpoint for a in chosen.assignments]
        assert len(used) == len(set(used))
        assert sum(a.primary for a in chosen.assignments) == 1
        assert len(chosen.helpers) <= 16
        assert chosen.first_event_ms > 0
        held = sum(a.memory_tokens for a in chosen.assignments)
        assert held >= tokens
        view.add("i", chosen.assignments)
    for endpoint in endpoints:
        held = sum(a.memory_tokens for a in view.on_endpoint(endpoint.id))
        assert held <= 450000


@pytest.mark.parametrize("scale", [0.5, 1.0, 2.0])
def test_weights_follow_the_usual_length_of_a_service(scale):
    """A deployment with prompts of half or twice the length weighs alike."""
    weights = [
        placement.Prompt(
            "a",
            int(scale * tokens),
            1500,
            300.0,
            9000.0,
            200.0,
            usual_tokens=scale * 14000.0,
        ).weight
        for tokens in (7000, 14000, 2000000)
    ]
    assert weights == [1.5, 2.0, 16.0]


def test_long_prompt_is_placed_whole_if_no_endpoint_takes_parts(
    placer, model, endpoints, long_prompt
):
    """All of them limit their rate; this raised a division by zero."""
    primary_only = frozenset(e.id for e in endpoints)
    chosen = placer.choose(
        long_prompt("a"), model, endpoints, 0.0, primary_only
    )
    assert len(chosen.assignments) == 1
