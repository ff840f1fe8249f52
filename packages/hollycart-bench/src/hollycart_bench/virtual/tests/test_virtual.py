"""What callers get when loads are played through the placement."""

import random

import pytest

from hollycart_bench import virtual

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
    """A day of long, short and long phases."""
    phases = virtual.seasonal_phases(KINDS)
    arrivals = virtual.draw_arrivals(KINDS, phases, random.Random(1))
    return virtual.simulate(arrivals, PARAMETERS, ENGINES)


def test_short_and_long_prompts_are_on_time_in_all_phases(season):
    assert virtual.share_on_time(season, "short") >= 0.97
    assert virtual.share_on_time(season, "long") >= 0.9


def test_every_prompt_gets_its_whole_answer(season):
    assert all(outcome.complete for outcome in season)


def test_half_of_the_predictions_are_within_a_pass(season):
    errors = sorted(abs(o.first_ms - o.predicted_ms) for o in season)
    assert errors[len(errors) // 2] <= 50.0


def test_earlier_long_prompt_is_not_starved_by_later_ones():
    """Seven long prompts in a second, as seen on a played day."""
    lengths = (133, 376, 156, 88, 206, 268, 280)
    times = (0, 90, 210, 790, 930, 1000, 1190)
    arrivals = [
        virtual.Arrival(float(at), LONG, tokens * 1000, 800)
        for at, tokens in zip(times, lengths, strict=True)
    ]
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    assert outcomes[0].first_ms <= LONG.target_ms
    assert sum(o.on_time for o in outcomes) >= 6


def test_prompt_over_one_memory_is_answered_beside_short_ones():
    arrivals = virtual.draw_arrivals((SHORT,), [(6.0, {})], random.Random(2))
    arrivals.append(virtual.Arrival(2000.0, LONG, 900000, 800))
    arrivals.sort(key=lambda a: a.at_ms)
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    long = [o for o in outcomes if o.arrival.kind is LONG]
    assert long[0].complete
    assert virtual.share_on_time(outcomes, "short") >= 0.9


def test_short_prompts_that_follow_a_late_one_are_on_time():
    """A prompt over all targets just before many short ones."""
    phases = [(3.0, {"short": 0.35}), (9.0, {"short": 2.0})]
    arrivals = virtual.draw_arrivals((SHORT,), phases, random.Random(4))
    # Callers leave a stream without an event after four times its target.
    kind = LONG._replace(wait_ms=12000)
    arrivals.append(virtual.Arrival(1500.0, kind, 984000, 800))
    arrivals.sort(key=lambda a: a.at_ms)
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    long = [o for o in outcomes if o.arrival.kind is kind]
    assert long[0].first_ms <= 12000.0
    assert virtual.share_on_time(outcomes, "short") >= 0.9


def test_prompt_without_time_to_be_read_is_refused_and_disturbs_nobody():
    """It comes again in a crowd, with too little time left."""
    phases = [(2.0, {"short": 1.0}), (8.0, {"short": 2.4})]
    arrivals = virtual.draw_arrivals((SHORT,), phases, random.Random(4))
    kind = LONG._replace(wait_ms=9500)
    arrivals.append(virtual.Arrival(4000.0, kind, 984000, 800))
    arrivals.sort(key=lambda a: a.at_ms)
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    long = [o for o in outcomes if o.arrival.kind is kind]
    assert long[0].refused or long[0].complete
    assert virtual.share_on_time(outcomes, "short") >= 0.9


@pytest.fixture(scope="module")
def large():
    """Many long prompts at 69 engines of six slots."""
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
def test_many_engines_are_all_used_for_long_prompts(large, kind):
    assert virtual.share_on_time(large, kind) >= 0.9


def test_instances_that_place_at_once_do_not_fill_the_same_slots():
    """The others learn of a placement 10 ms later."""
    crowd = SHORT._replace(per_s=120.0, target_ms=321)
    parameters = PARAMETERS._replace(slots=6, memory_tokens=382500)
    arrivals = virtual.draw_arrivals((crowd,), [(5.0, {})], random.Random(2))
    outcomes = virtual.simulate(
        arrivals, parameters, 69, instances=12, propagation_delay_ms=10.0
    )
    assert virtual.share_on_time(outcomes, "short") >= 0.99


def test_callers_are_told_before_they_leave():
    """More short prompts than there are slots; callers leave after 2 s."""
    crowd = SHORT._replace(per_s=70.0, abandon_after_ms=2000.0)
    arrivals = virtual.draw_arrivals((crowd,), [(9.0, {})], random.Random(4))
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    told = [o for o in outcomes if o.complete or o.refused]
    assert len(told) >= 0.98 * len(outcomes)


def test_overload_refuses_nobody_for_good_and_short_ones_go_on():
    """Twice the short prompts that the engines have slots for."""
    crowd = SHORT._replace(per_s=120.0)
    arrivals = virtual.draw_arrivals((crowd,), [(3.0, {})], random.Random(3))
    outcomes = virtual.simulate(arrivals, PARAMETERS, ENGINES)
    assert all(o.complete for o in outcomes)
