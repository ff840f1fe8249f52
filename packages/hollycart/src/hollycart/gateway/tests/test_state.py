import pytest

from hollycart import gateway
from hollycart.gateway import _history
from hollycart.gateway import _state
from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing


@pytest.fixture
def platform_state():
    return _state.PlatformState(4000.0, 2000.0)


@pytest.fixture
def apply_state(platform_state):
    def run(revision, ids, now_ms, config_revision=1, version=1, era=0):
        snapshot = gateway.Snapshot(
            revision,
            config_revision,
            routing.RoutingConfig(version, [], []),
            tuple(placement.Endpoint(i, "1:1", "s", "z", 1) for i in ids),
            {},
            revision + 1000 * era,
            era,
            era,
        )
        raw = _history.RawState(kv.RangeResult(revision, ()), revision)
        return platform_state.apply(raw, snapshot, now_ms)

    return run


def test_endpoint_without_a_record_is_removed_at_once(
    platform_state, apply_state
):
    apply_state(1, ["a", "b"], 0.0)
    apply_state(2, ["a"], 100.0)
    assert set(platform_state.endpoints) == {"a"}


def test_endpoint_that_expired_in_an_outage_is_retained_for_a_time(
    platform_state, apply_state
):
    apply_state(1, ["a", "b"], 0.0)
    platform_state.record_outage_end(5000.0)
    apply_state(2, ["a"], 5000.0)
    assert set(platform_state.endpoints) == {"a", "b"}
    platform_state.remove_expired(6999.0)
    assert set(platform_state.endpoints) == {"a", "b"}
    platform_state.remove_expired(7000.0)
    assert set(platform_state.endpoints) == {"a"}


def test_older_revision_is_ignored(platform_state, apply_state):
    apply_state(5, ["a"], 0.0)
    assert not apply_state(4, ["b"], 1.0)
    assert set(platform_state.endpoints) == {"a"}


def test_older_configuration_is_ignored(platform_state, apply_state):
    apply_state(5, ["a"], 0.0, config_revision=5, version=7)
    apply_state(6, ["a"], 1.0, config_revision=3, version=2)
    assert platform_state.config.version == 7


def test_configuration_does_not_go_back_when_the_store_does(
    platform_state, apply_state
):
    apply_state(50, ["a"], 0.0, config_revision=45, version=7, era=1)
    apply_state(40, ["a"], 1.0, config_revision=30, version=5, era=2)
    assert platform_state.config.version == 7
    apply_state(41, ["a"], 2.0, config_revision=41, version=9, era=2)
    assert platform_state.config.version == 9
    apply_state(42, ["a"], 3.0, config_revision=42, version=8, era=2)
    assert platform_state.config.version == 8
