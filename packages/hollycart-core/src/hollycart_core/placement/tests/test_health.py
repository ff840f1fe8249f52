from hollycart_core import placement


def test_endpoint_that_started_again_under_its_id_has_a_clean_record():
    health = placement.EndpointHealth()
    endpoint = placement.Endpoint("e", "1:1", "s", "z", 8, born_ms=5)
    health.follow_incarnations([endpoint])
    health.mark_unreachable("e")
    health.record_slowness("e", 9.0, 0.0)
    health.follow_incarnations([endpoint])
    assert not health.usable("e", 0.0)
    health.follow_incarnations([endpoint._replace(born_ms=6)])
    assert health.usable("e", 0.0)
    assert health.slowness("e", 0.0) == 1.0
