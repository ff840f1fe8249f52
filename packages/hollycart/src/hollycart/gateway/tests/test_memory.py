"""What an instance may hold follows from its settings and the configuration."""

from hollycart import gateway
from hollycart.gateway import _history
from hollycart_core import kv
from hollycart_core import routing


def apply_limits(instance, limits):
    cfg = routing.RoutingConfig(1, [], [], limits=limits)
    snapshot = gateway.Snapshot(1, 1, cfg, (), {}, 1)
    raw = _history.RawState(kv.RangeResult(1, ()), 1)
    now_ms = instance.clock.now_ms()
    instance.platform_state.apply(raw, snapshot, now_ms)
    instance._apply_change()


def test_there_is_room_for_the_largest_body_that_is_allowed(instance):
    """Guards against a request within the limits that is always refused."""
    policy = gateway.PolicySettings(memory_bytes=100 << 20)
    instance.reload(instance.cfg._replace(policy=policy))
    budget = instance.memory.budget
    assert budget.account_bytes < 50 << 20
    apply_limits(instance, routing.Limits(max_body_bytes=50 << 20))
    assert budget.account_bytes > 50 << 20
    instance.reload(instance.cfg._replace(retry_ratio=0.3))
    assert budget.total_bytes >= budget.account_bytes > 50 << 20


def test_changed_settings_change_the_number_of_connections(instance):
    policy = gateway.PolicySettings(
        memory_bytes=300 << 20, max_descriptors=4100
    )
    instance.reload(instance.cfg._replace(policy=policy))
    assert instance.front_server.max_connections == 480
    policy = policy._replace(max_descriptors=1000)
    instance.reload(instance.cfg._replace(policy=policy))
    assert instance.front_server.max_connections == 250
