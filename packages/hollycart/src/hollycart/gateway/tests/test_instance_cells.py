import pytest

from hollycart import gateway
from hollycart.gateway import _history
from hollycart_core import kv
from hollycart_core import routing

_ENGINE = routing.EngineParameters(
    8, 450000, 46, 0.9, 0.01, 0.0, 256, 0.1, 2048
)
_PLAIN = routing.Service("app", 100)
_MODEL = routing.Service("llm", 100, _ENGINE)


@pytest.fixture
def apply(instance):
    """Applies a state with an instance in each of two zones."""

    def run(services):
        peers = {
            f"i-{zone}": gateway.InstanceAddress(f"127.0.1.{number}", zone)
            for number, zone in enumerate((instance.cfg.zone, "other"), 1)
        }
        snapshot = gateway.Snapshot(
            1,
            1,
            routing.RoutingConfig(1, [], services),
            (),
            peers,
            1,
        )
        raw = _history.RawState(kv.RangeResult(1, ()), 1)
        now_ms = instance.clock.now_ms()
        instance.platform_state.apply(raw, snapshot, now_ms)
        instance.peers.add_addresses(peers.values())
        instance._apply_change()
        return instance.peers.book

    return run


def test_instances_of_all_zones_are_peers_without_model_engines(
    instance, apply
):
    """Guards against zones that never exchange retries, limits and crashes."""
    book = apply([_PLAIN])
    assert book.cell == {instance.cfg.zone, "other"}
    assert len(book.in_cell()) == 2


def test_cells_wait_for_the_model_engines_of_a_starting_platform(apply):
    assert not apply([_PLAIN, _MODEL]).cell
