import pytest

from hollycart_bench import local
from hollycart_core import base
from hollycartctl import operations


@pytest.fixture(name="system")
def _system():
    running = local.LocalSystem()
    running.start()
    yield running
    running.close()


@pytest.fixture(name="client")
def _client(system):
    cfg = operations.OperatorConfig(
        system.kv_address, system.list_address, local.OPERATOR_KEY, "tester"
    )
    client = operations.OperatorClient(cfg, system.clock)
    client.start()
    yield client
    client.close()


def _with_weight(text, weight):
    header, row = text.splitlines()[:2]
    cells = row.split(",")
    cells[2] = weight
    return f"{header}\n{','.join(cells)}\n"


def test_apply_makes_the_planned_change_at_all_instances(system, client):
    changed = _with_weight(client.export(), "7.5")
    assert [c.key for c in client.plan(changed)] == ["limit/team/default"]
    applied = client.apply(changed)
    assert (applied.changes, applied.notified) == (1, 2)
    for instance in system.instances:
        row = instance.table_follower.current.limit("team", "default")
        assert row.weight == 7.5
    assert client.apply(client.export()).revision == 0


def test_apply_of_an_old_export_is_a_conflict(client):
    exported = client.export()
    client.apply(_with_weight(exported, "2"))
    with pytest.raises(base.VersionConflictError):
        client.apply(_with_weight(exported, "3"))


def test_rollback_is_a_new_revision(client):
    exported = client.export()
    applied = client.apply(_with_weight(exported, "9"))
    back = client.rollback(applied.revision)
    assert back.revision == applied.revision + 1
    assert client.tables.read().limit("team", "default").weight == 1
    assert [r.author for r in client.history()][-2:] == ["tester", "tester"]
    with pytest.raises(base.NotFoundError):
        client.rollback(99)


def test_former_key_stays_valid_until_the_next_rotation_unless_dropped(
    system, client
):
    first = client.add_team("new")
    second = client.rotate_key("new", drop_old=False)
    third = client.rotate_key("new", drop_old=True)
    digests = system.instances[0].table_follower.current.rows["team/new"]
    assert len({first, second, third}) == 3
    assert len(digests.key_digests) == 1
    with pytest.raises(base.VersionConflictError):
        client.add_team("new")
    with pytest.raises(base.InvalidTableError):
        client.add_team("a/b")


def test_edit_fails_while_the_store_is_down(system, client):
    exported = client.export()
    system.kv_app.faults.down = True
    with pytest.raises(base.KvUnavailableError):
        client.apply(_with_weight(exported, "2"))


def test_status_and_drain(system, client):
    assert {s["instance_id"] for s in client.status()} == {"i0", "i1"}
    client.drain("i1")
    system.wait_for(lambda: system.instances[1].lifecycle.draining)
    with pytest.raises(base.NotFoundError):
        client.drain("i7")


def test_missing_variables_are_named():
    with pytest.raises(base.InvalidSettingsError, match="KV_ADDRESS"):
        operations.OperatorConfig.from_environ({})
