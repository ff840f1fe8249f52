import pytest

from hollycart.gateway import _survey
from hollycart_core import placement


@pytest.fixture
def survey(system, endpoints):
    """A survey of one busy and one failing endpoint."""

    def report(exchange, fields):
        exchange.respond(200, (), b"[7, 30000]")

    def fail(exchange, fields):
        exchange.respond(500, (), b"")

    endpoints[0].handler = report
    endpoints[1].handler = fail
    system.apply_state()
    return _survey.LoadSurvey(
        system.peers,
        system.platform_state,
        system.forwarder.codec,
        system.forwarder.notices,
        system.log,
        system.clock,
    )


def test_reported_requests_hold_slots_until_they_are_assumed_to_end(
    system, survey
):
    survey.run()
    now_ms = system.clock.now_ms()
    load = system.peers.view.unaccounted("e0")
    assert load.requests_left(now_ms) == 7
    assert load.requests_left(now_ms + 60000.0) == 0
    assert system.peers.view.unaccounted("e1") is None


def test_short_prompt_avoids_an_endpoint_with_unaccounted_requests(
    system, survey
):
    """All instances restarted; an engine still runs the answers of before."""
    survey.run()
    prompt = placement.Prompt("a", 5000, 1500, 300.0, 9000.0, 250.0)
    for number in range(3):
        prompt = prompt._replace(attempt_id=f"a{number}")
        chosen = system.forwarder.chooser.place_in_cell(
            system.config.services["svc"],
            prompt,
            set(),
            system.clock.now_ms(),
        )
        system.peers.add(chosen.assignments)
        assert chosen.endpoint.id == "e1"


def test_endpoint_that_does_not_answer_in_time_is_left_out(
    system, survey, endpoints, answers
):
    """Guards against placements that wait for a silent engine."""
    endpoints[1].handler = answers.hang
    loads = survey.query(survey.endpoints(), 200.0)
    assert {i: load.requests for i, load in loads.items()} == {"e0": 7}


@pytest.mark.parametrize(
    "change", ["leaving", "paused", "limited", "cold", "evacuated"]
)
def test_endpoints_that_ask_for_less_are_not_queried(system, survey, change):
    state, now_ms = system.platform_state, system.clock.now_ms()
    endpoint, notices = state.endpoints["e0"], system.forwarder.notices
    if change == "paused":
        notices.restrictions.record_pause(endpoint, 5000.0, now_ms)
    elif change == "leaving":
        state.endpoints["e0"] = endpoint._replace(leaving=True)
    elif change == "limited":
        notices.limits.record(
            placement.RateStatement("e0", 0, 2.0, now_ms, now_ms)
        )
    elif change == "cold":
        service = system.config.services["svc"]
        system.config.services["svc"] = service._replace(
            cold_start_ms=3000.0, cold_per_s=14.0
        )
        system.listed_endpoints[0] = endpoint._replace(cold_left_ms=900.0)
        system.apply_state()
    else:
        system.listed_endpoints[0] = endpoint._replace(zone="y")
        system.peers.set_cells((frozenset("yz"),))
        system.apply_state(evacuated=("y",))
    assert [e.id for e in survey.endpoints()] == ["e1"]


def test_endpoints_are_not_asked_if_the_load_is_known(
    system, survey, endpoints, eventually
):
    system.peers.view.add(
        "other",
        [
            placement.Assignment(
                "x", "e1", True, True, 1.0, 1.0, 1.0, 9.0, 200.0, 1, 1, 1.0
            )
        ],
    )
    survey._run()
    assert not endpoints[0].requests


def test_one_of_several_new_instances_asks(system, survey, endpoints):
    names = ["me", *(f"i{number}" for number in range(9))]
    chosen = []
    for name in names:
        system.peers.name = name
        system.peers.live = lambda own=name: dict.fromkeys(
            [n for n in names if n != own], True
        )
        chosen.append(survey.is_chosen())
    assert chosen.count(True) == 1
