"""Teams that compete for capacity, under the product's placement."""

import random

import pytest

from hollycart_bench import virtual
from hollycart_core import placement

ENGINES = 6
SMALL_TEAMS = ("b", "c", "d", "e")


def _kind(team, per_s):
    return virtual.PromptKind(
        team, per_s, 4960, 0.9, 23800, 1600, 300, 250, 1e4
    )


class SharingPolicy:
    """The placer, with late prompts that give way to those of other teams."""

    def __init__(self, view, health, teams):
        self.placer = placement.Placer(view, health)
        self.view = view
        self.teams = teams
        self.returned = set()
        self.times = placement.ReturnTimes()

    def choose(self, prompt, model, endpoints, now_ms):
        prompt = prompt._replace(team=self.teams[int(prompt.attempt_id)])
        chosen = self.placer.choose(prompt, model, endpoints, now_ms)
        usage = placement.measure_usage(
            [a for e in endpoints for a in self.view.on_endpoint(e.id)], now_ms
        )
        first = prompt.attempt_id not in self.returned
        late = chosen and chosen.first_event_ms > prompt.target_ms
        if late and usage.gives_way(prompt.team, can_return=first):
            self.returned.add(prompt.attempt_id)
            interval_ms = model.usual_answer_ms / max(1, usage.recent)
            wait_ms = self.times.plan(
                chosen.first_event_ms - prompt.target_ms,
                interval_ms,
                3e3,
                now_ms,
            )
            return chosen._replace(
                first_event_ms=max(prompt.remaining_ms, 0) + wait_ms + 1.0
            )
        return chosen


@pytest.fixture(scope="module")
def outcomes():
    """Outcomes by whether teams share; one of five floods six engines."""
    kinds = (_kind("a", 60.0), *(_kind(t, 2.0) for t in SMALL_TEAMS))
    arrivals = virtual.draw_arrivals(kinds, [(12.0, {})], random.Random(3))
    teams = [a.kind.name for a in arrivals]

    def make_policy(view, health):
        return SharingPolicy(view, health, teams)

    return {
        shared: virtual.simulate(
            arrivals,
            virtual.PUBLISHED_ENGINE,
            ENGINES,
            make_policy=make_policy if shared else placement.Placer,
        )
        for shared in (False, True)
    }


def test_every_team_is_on_time_more_often_beside_a_flood(outcomes):
    """Guards against one team that makes the prompts of all teams late."""
    for team in ("a", *SMALL_TEAMS):
        before, after = (
            virtual.share_on_time(outcomes[shared], team)
            for shared in (False, True)
        )
        assert after > before


def test_teams_within_their_share_are_on_time_as_often_as_all(outcomes):
    served = outcomes[True]
    mean = sum(o.on_time for o in served) / len(served)
    worst = min(virtual.share_on_time(served, t) for t in SMALL_TEAMS)
    assert worst >= 0.9 * mean


def test_no_team_is_served_less_than_a_quarter_as_often_as_all(outcomes):
    served = outcomes[True]
    overall = sum(o.complete for o in served) / len(served)
    for team in ("a", *SMALL_TEAMS):
        own = [o.complete for o in served if o.arrival.kind.name == team]
        assert sum(own) / len(own) >= 0.25 * overall
