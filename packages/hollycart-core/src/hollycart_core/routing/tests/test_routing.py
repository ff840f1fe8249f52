import hypothesis
from hypothesis import strategies
import pytest

from hollycart_core import routing


def route(name, prefix, targets=(("s", 1.0),)):
    return routing.Route(
        name,
        "h.example",
        prefix,
        routing.RouteKind.IDEMPOTENT,
        tuple(routing.RouteTarget(*t) for t in targets),
        1000,
        300,
    )


@pytest.fixture
def cfg():
    return routing.RoutingConfig(
        3,
        [route("outer", "/a/"), route("inner", "/a/b/")],
        [],
        [routing.Team("t", ("k1", "k2"))],
    )


def test_longest_prefix_wins(cfg):
    assert cfg.find_route("h.example", "/a/b/c").name == "inner"
    assert cfg.find_route("h.example", "/a/bc").name == "outer"


def test_path_without_the_trailing_slash_does_not_match(cfg):
    assert cfg.find_route("h.example", "/a") is None


def test_port_and_case_of_the_host_are_ignored(cfg):
    assert cfg.find_route("H.Example:8080", "/a/").name == "outer"


def test_every_key_of_a_team_is_found(cfg):
    assert cfg.find_team("k2").name == "t"
    assert cfg.find_team("") is None


@hypothesis.given(strategies.floats(0, 1, exclude_max=True))
def test_requests_are_split_by_weight(fraction):
    split = route("r", "/", (("a", 90.0), ("b", 10.0)))
    cfg = routing.RoutingConfig(1, [split], [])
    expected = "a" if fraction < 0.9 else "b"
    if abs(fraction - 0.9) > 1e-9:
        assert cfg.choose_service(split, fraction) == expected


def test_age_counts_from_the_start_of_the_latest_read():
    freshness = routing.Freshness(4000.0)
    assert not freshness.is_fresh(0.0)
    freshness.confirm(1000.0)
    freshness.confirm(500.0)
    assert freshness.age_ms(1500.0) == 500.0
    assert freshness.is_fresh(5000.0)
    assert not freshness.is_fresh(5000.1)
