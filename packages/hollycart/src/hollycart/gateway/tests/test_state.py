import pytest

from hollycart import gateway
from hollycart.gateway import _state
from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing


@pytest.fixture
def platform_state():
    return _state.PlatformState(4000.0, 2000.0)


@pytest.fixture
def learn(platform_state):
    def run(revision, ids, now_ms, config_revision=1, version=1):
        snapshot = gateway.Snapshot(
            revision,
            config_revision,
            routing.RoutingConfig(version, [], []),
            tuple(placement.Endpoint(i, "1:1", "s", "z", 1) for i in ids),
            {},
            revision,
        )
        raw = _state.RawState(kv.RangeResult(revision, ()), revision)
        return platform_state.apply(raw, snapshot, now_ms)

    return run


def test_endpoint_whose_record_vanishes_is_gone_at_once(platform_state, learn):
    learn(1, ["a", "b"], 0.0)
    learn(2, ["a"], 100.0)
    assert set(platform_state.endpoints) == {"a"}


def test_record_that_lapsed_in_an_outage_is_awaited(platform_state, learn):
    learn(1, ["a", "b"], 0.0)
    platform_state.note_outage_end(5000.0)
    learn(2, ["a"], 5000.0)
    assert set(platform_state.endpoints) == {"a", "b"}
    platform_state.expire(6999.0)
    assert set(platform_state.endpoints) == {"a", "b"}
    platform_state.expire(7000.0)
    assert set(platform_state.endpoints) == {"a"}


def test_older_read_changes_nothing(platform_state, learn):
    learn(5, ["a"], 0.0)
    assert not learn(4, ["b"], 1.0)
    assert set(platform_state.endpoints) == {"a"}


def test_configuration_never_goes_back(platform_state, learn):
    learn(5, ["a"], 0.0, config_revision=5, version=7)
    learn(6, ["a"], 1.0, config_revision=3, version=2)
    assert platform_state.config.version == 7
