import pytest

from hollycart import gateway
from hollycart_core import connections
from hollycart_core import placement

TOKENS = 5000


@pytest.fixture
def crowded(system, endpoints, answers):
    """A system whose engines prefill for 3 s, mostly prompts of team-a."""
    for endpoint in endpoints:
        endpoint.handler = answers.events(1, 2)
    system.apply_state()
    now_ms = system.clock.now_ms()
    for number in range(12):
        team = "team-a" if number < 10 else "team-b"
        system.peers.view.add(
            "peer",
            [
                placement.Assignment(
                    f"p{number}", f"e{number % 2}", True, False, 300.0,
                    now_ms + 3000.0, now_ms + 3000.0, now_ms + 300.0, 200.0,
                    TOKENS, TOKENS, 1.0, team,
                )
            ],
        )  # fmt: skip
    return system


def test_late_prompt_of_team_above_its_share_gives_way(crowded, endpoints):
    """Guards against a team that makes the prompts of all others late."""
    crowded.forwarder.apply_policy(gateway.PolicySettings(fair_shares=True))
    refused = crowded.call("/stream/", key="key-a", tokens=TOKENS, wait=9000)
    served = crowded.call("/stream/", key="key-b", tokens=TOKENS)
    assert (refused.status, served.status) == (503, 200)
    after_s = float(connections.find_header(refused.headers, b"retry-after"))
    assert 0.25 <= after_s <= 9.0 / 3.0
    assert sum(len(e.requests) for e in endpoints) == 1


def test_refused_caller_that_returns_is_admitted(crowded):
    """Guards against a caller that is refused again at the named time."""
    crowded.forwarder.apply_policy(gateway.PolicySettings(fair_shares=True))
    crowded.call("/stream/", key="key-b", tokens=TOKENS, wait=9000)
    response = crowded.call("/stream/", key="key-a", tokens=TOKENS, wait=8000)
    assert response.status == 200


def test_caller_that_waits_beyond_the_timeout_of_the_route_changes_nothing(
    crowded,
):
    """Else one of them makes all others count as refused before."""
    crowded.forwarder.apply_policy(gateway.PolicySettings(fair_shares=True))
    crowded.call("/stream/", key="key-b", tokens=TOKENS, wait=600000)
    refused = crowded.call("/stream/", key="key-a", tokens=TOKENS, wait=15000)
    assert refused.status == 503


@pytest.mark.parametrize("key", ["key-a", "key-b"])
def test_no_team_gives_way_if_the_deployment_does_not_ask_for_shares(
    crowded, key
):
    assert crowded.call("/stream/", key=key, tokens=TOKENS).status == 200
