"""Outcomes while instances of a cell are cut off from each other."""

import random

import pytest

from hollycart_bench import virtual
from hollycart_core import routing

PARAMETERS = routing.EngineParameters(
    6, 450000, 46, 0.925, 0.00966, 0.00254, 110.0, 0.0917, 2048
)
SHORT = virtual.PromptKind(
    "short", 14.0, 4960, 0.9, 23800, 1600, 300, 250, 10000
)
LONG = virtual.PromptKind(
    "long", 0.8, 190000, 0.05, 250000, 780, 3000, 800, 15000
)
# A third of a fleet of 30 instances and 60 engines.
INSTANCES = 10
ENGINES = 20
QUERYING = virtual.Strategy(before_long=True, survey_ms=1000.0)


def play(cut, strategy):
    """Returns shares on time, latest long first event, number of queries."""
    outcomes, queries = [], 0
    for seed in range(4):
        arrivals = virtual.draw_arrivals(
            (SHORT, LONG), [(19.0, {})], random.Random(seed)
        )
        played, sent = virtual.simulate_cut(
            arrivals,
            PARAMETERS,
            ENGINES,
            INSTANCES,
            virtual.Cut(frozenset(range(cut)), 4000.0, 16000.0),
            strategy,
        )
        outcomes += [o for o in played if 5600 <= o.arrival.at_ms < 16000]
        queries += sent
    return (
        virtual.share_on_time(outcomes, "short"),
        virtual.share_on_time(outcomes, "long"),
        max(
            o.time_to_first_event_ms for o in outcomes if o.arrival.kind is LONG
        ),
        queries,
    )


def test_nothing_changes_while_no_instance_is_cut_off():
    assert play(0, QUERYING) == play(0, virtual.Strategy())
    assert play(0, QUERYING)[-1] == 0


@pytest.mark.parametrize(("cut", "least"), [(1, 0.97), (4, 0.9)])
def test_short_answers_are_on_time_beside_blindly_placed_prompts(cut, least):
    """Guards against parts of long prompts beside unknown short answers."""
    short, long, first_event_ms, queries = play(cut, QUERYING)
    assert short >= least > play(cut, virtual.Strategy())[0]
    # A gap of a long answer is longer than accepted now and then also if no
    # instance is cut off.
    assert long >= play(0, QUERYING)[1]
    assert first_event_ms <= LONG.target_ms
    # At most one survey a second and a query of each engine for each prompt.
    assert queries <= 4 * ENGINES * (12 + 12)
