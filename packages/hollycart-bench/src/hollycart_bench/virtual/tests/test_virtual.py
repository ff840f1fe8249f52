"""Outcomes of simulated loads under the product's placement."""

import random

import pytest

from hollycart_bench import virtual
from hollycart_core import placement

PARAMETERS = virtual.PUBLISHED_ENGINE
SHORT = virtual.PromptKind(
    "short", 15.4, 4960, 0.9, 23800, 1600, 300, 200, 10000
)
MIDDLE = virtual.PromptKind(
    "middle", 1.12, 45000, 0.5, 110000, 960, 1500, 500, 10000
)
LONG = virtual.PromptKind(
    "long", 0.462, 210000, 0.55, 1000000, 780, 3000, 800, 15000
)
KINDS = (SHORT, MIDDLE, LONG)
ENGINES = 14


@pytest.fixture(scope="module")
def season():
    """Outcomes of phases of mostly long, mostly short and long prompts."""
    phases = virtual.seasonal_phases(KINDS)
    arrivals = virtual.draw_arrivals(KINDS, phases, random.Random(1))
    return virtual.simulate(arrivals, PARAMETERS, ENGINES)


def test_short_and_long_prompts_are_on_time_in_all_phases(season):
    assert virtual.share_on_time(season, "short") >= 0.97
    assert virtual.share_on_time(season, "long") >= 0.9


def test_every_prompt_gets_its_complete_answer(season):
    assert all(outcome.complete for outcome in season)


def test_median_prediction_error_is_within_a_step(season):
    errors = sorted(
        abs(o.time_to_first_event_ms - o.predicted_ms) for o in season
    )
    assert errors[len(errors) // 2] <= 50.0


def test_earlier_long_prompt_is_not_starved_by_later_ones():
    """Guards against later long prompts that preempt an earlier one.

    Seven long prompts arrive within 1.2 s, as on a simulated day.
    """
    lengths = (133, 376, 156, 88, 206, 268, 280)
    times = (0, 90, 210, 790, 930, 1000, 1190)
    arrivals = [
        virtual.Arrival(float(at), LONG, tokens * 1000, 800)
        for at, tokens in zip(times, lengths, strict=True)
    ]
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    assert outcomes[0].time_to_first_event_ms <= LONG.target_ms
    assert sum(o.on_time for o in outcomes) >= 6


def test_prompt_over_the_memory_of_one_engine_is_answered_beside_short_ones():
    arrivals = virtual.draw_arrivals((SHORT,), [(6.0, {})], random.Random(2))
    arrivals.append(virtual.Arrival(2000.0, LONG, 900000, 800))
    arrivals.sort(key=lambda a: a.at_ms)
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    long = [o for o in outcomes if o.arrival.kind is LONG]
    assert long[0].complete
    assert virtual.share_on_time(outcomes, "short") >= 0.9


def test_short_prompts_after_a_prompt_over_all_targets_are_on_time():
    """Guards against a prompt that cannot meet any target and delays others.

    It arrives just before many short prompts.
    """
    phases = [(3.0, {"short": 0.35}), (9.0, {"short": 2.0})]
    arrivals = virtual.draw_arrivals((SHORT,), phases, random.Random(4))
    # The caller abandons a stream without an event after four times its
    # target.
    kind = LONG._replace(caller_timeout_ms=12000)
    arrivals.append(virtual.Arrival(1500.0, kind, 984000, 800))
    arrivals.sort(key=lambda a: a.at_ms)
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    long = [o for o in outcomes if o.arrival.kind is kind]
    assert long[0].time_to_first_event_ms <= 12000.0
    assert virtual.share_on_time(outcomes, "short") >= 0.9


def test_prompt_without_time_for_prefill_does_not_delay_short_ones():
    """Guards against prefill for a caller whose time-out comes first.

    The prompt arrives among many short ones with too little time left.
    """
    phases = [(2.0, {"short": 1.0}), (8.0, {"short": 2.4})]
    arrivals = virtual.draw_arrivals((SHORT,), phases, random.Random(4))
    kind = LONG._replace(caller_timeout_ms=9500)
    arrivals.append(virtual.Arrival(4000.0, kind, 984000, 800))
    arrivals.sort(key=lambda a: a.at_ms)
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    long = [o for o in outcomes if o.arrival.kind is kind]
    assert long[0].refused or long[0].complete
    assert virtual.share_on_time(outcomes, "short") >= 0.9


@pytest.fixture(scope="module")
def large():
    """Outcomes of many long prompts at 69 engines of six slots."""
    kinds = (
        SHORT._replace(per_s=25.0, target_ms=321),
        MIDDLE._replace(per_s=6.0),
        LONG._replace(
            per_s=4.0,
            mean_tokens=300000,
            target_ms=4055,
            abandon_after_ms=16000,
        ),
    )
    parameters = PARAMETERS._replace(slots=6, memory_tokens=382500)
    arrivals = virtual.draw_arrivals(kinds, [(8.0, {})], random.Random(10))
    return virtual.simulate(arrivals, parameters, 69)


@pytest.mark.parametrize("kind", ["short", "middle", "long"])
def test_all_kinds_are_on_time_at_many_engines(large, kind):
    """Guards against a placement that uses only some of many engines."""
    assert virtual.share_on_time(large, kind) >= 0.9


def test_concurrent_placements_do_not_fill_the_same_slots():
    """Guards against instances that take the same slots at the same time.

    The other instances learn of a placement 10 ms later.
    """
    crowd = SHORT._replace(per_s=120.0, target_ms=321)
    parameters = PARAMETERS._replace(slots=6, memory_tokens=382500)
    arrivals = virtual.draw_arrivals((crowd,), [(5.0, {})], random.Random(2))
    outcomes = virtual.simulate(
        arrivals, parameters, 69, instances=12, propagation_delay_ms=10.0
    )
    assert virtual.share_on_time(outcomes, "short") >= 0.99


def test_callers_are_refused_before_they_abandon():
    """Guards against callers that abandon without an answer or a refusal.

    More short prompts arrive than there are slots; callers abandon after 2 s.
    """
    crowd = SHORT._replace(per_s=70.0, abandon_after_ms=2000.0)
    arrivals = virtual.draw_arrivals((crowd,), [(9.0, {})], random.Random(4))
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    notified = [o for o in outcomes if o.complete or o.refused]
    assert len(notified) >= 0.98 * len(outcomes)


def test_all_short_prompts_are_answered_after_an_overload():
    """The load has twice the short prompts that the engines have slots for."""
    crowd = SHORT._replace(per_s=120.0)
    arrivals = virtual.draw_arrivals((crowd,), [(3.0, {})], random.Random(3))
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    assert all(o.complete for o in outcomes)


def _share_on_time_after_restart(names):
    """Plays 36 short prompts within 200 ms on instances that just started."""
    arrivals = [
        virtual.Arrival(200.0 * number / 36, SHORT, 8000, 1600)
        for number in range(36)
    ]
    remaining = iter(names)
    outcomes = virtual.simulate(
        arrivals,
        PARAMETERS,
        ENGINES,
        instances=len(names),
        propagation_delay_ms=60000.0,
        make_policy=lambda view, health: placement.Placer(
            view, health, next(remaining)
        ),
    )
    return virtual.share_on_time(outcomes, "short")


def test_instances_without_each_others_load_choose_different_endpoints():
    """All instances restart and know nothing of each other's prompts."""
    names = [f"edge-{number}" for number in range(9)]
    assert _share_on_time_after_restart(names) >= 0.9
    # They would all choose the same endpoint if the name did not matter.
    assert _share_on_time_after_restart(["edge"] * 9) < 0.5
