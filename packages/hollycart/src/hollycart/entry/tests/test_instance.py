import eventlet
import msgspec
import pytest

from hollycart import peers
from hollycart_bench import local
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import orders
from hollycart_core import table

PATH = "/v1/completions"
BODY = {"model": local.MODEL, "prompt": "hello", "max_tokens": 4}


def _admin(system, number, path, body=None):
    return system.client.send(
        "GET" if body is None else "POST",
        f"http://{system.address(number)}/admin/{path}",
        body,
        {"Authorization": f"Bearer {local.OPERATOR_KEY}"},
    )


def _commit_row(system):
    tables = table.TableStore(system.kv_app.store, system.clock)
    row = table.TeamRow("late", ("ab",))
    change = table.RowChange.of(row.key, 0, row)
    return tables.commit([change], "e", "x")


def test_wrong_key_is_rejected(system):
    response = system.post(PATH, BODY, headers={"Authorization": "Bearer no"})
    assert response.status == 401


def test_unknown_kind_model_path_and_method_are_rejected(system):
    kind = {"Hollycart-Kind": "none"}
    assert system.post(PATH, BODY, headers=kind).status == 404
    assert system.post(PATH, {**BODY, "model": "no"}).status == 404
    assert system.post("/nowhere", BODY).status == 404
    url = f"http://{system.address(0)}{PATH}"
    assert system.client.send("GET", url).status == 405


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"model":"draft"}',
        b'{"model":"draft","prompt":7}',
        b'{"model":"draft","prompt":"x","max_tokens":0}',
        b'{"model":"draft","prompt":"x","max_tokens":"many"}',
        b'{"model":"draft","prompt":"x","n":2}',
        b'{"model":"draft","prompt":"x","priority":0}',
        b'{"prompt":"x"}',
        b'\xff\xfe{"model"}',
    ],
)
def test_invalid_body_gets_a_typed_error(system, body):
    response = system.post(PATH, body)
    assert response.status == 400
    assert response.json()["error"]["code"] == "invalid_request"


def test_invalid_deadline_is_rejected(system):
    for text in ("0", "-1", "soon", "9" * 20):
        headers = {"Hollycart-Deadline-Ms": text}
        assert system.post(PATH, BODY, headers=headers).status == 400


def test_body_over_the_limit_is_rejected():
    running = local.LocalSystem(1, 1, settings={"max_body_bytes": "1024"})
    running.start()
    try:
        response = running.post(PATH, {**BODY, "prompt": "x" * 2000})
        assert response.status == 413
    finally:
        running.close()


def test_slow_body_times_out():
    running = local.LocalSystem(1, 1, settings={"body_timeout_ms": "200"})
    running.start()
    try:
        host, port = running.address(0).split(":")
        conn = eventlet.connect((host, int(port)))
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {local.TEAM_KEY}\r\n"
            "Content-Length: 1000\r\n\r\n{"
        )
        conn.sendall(head.encode())
        assert b" 408 " in conn.recv(200)
    finally:
        running.close()


def test_committed_table_reaches_every_instance(system):
    revision = _commit_row(system).revision
    for instance in system.instances:
        system.wait_for(
            lambda i=instance: i.table_follower.current.revision == revision
        )


def test_watchers_read_deltas_and_not_the_full_table(system):
    before = [i.metrics.counters["table.applied"] for i in system.instances]
    revision = _commit_row(system).revision
    for instance in system.instances:
        system.wait_for(
            lambda i=instance: i.table_follower.current.revision == revision
        )
    after = [i.metrics.counters["table.applied"] for i in system.instances]
    assert after == before


def test_table_reaches_all_instances_in_a_store_outage(system):
    """An operator sends the delta to one instance; the others pull it."""
    for instance in system.instances:
        instance.table_sync._read_store = lambda: False
        instance.table_sync._apply_stored_deltas = lambda: None
    delta = _commit_row(system)
    system.kv_app.faults.down = True
    body = msgspec.json.encode([delta])
    assert _admin(system, 0, "table", body).status == 200
    for instance in system.instances:
        system.wait_for(
            lambda i=instance: (
                i.table_follower.current.revision == delta.revision
            )
        )


def test_new_instance_reads_the_table_from_peers_in_an_outage(system):
    system.kv_app.faults.down = True
    instance = system.add_instance("i9")
    system.wait_for(lambda: instance.lifecycle.ready)
    assert instance.table_follower.current.revision == 1


def test_new_instance_without_any_table_is_not_ready():
    running = local.LocalSystem(0, 1)
    running.start()
    try:
        running.kv_app.faults.down = True
        instance = running.add_instance("i0")
        eventlet.sleep(0.6)
        assert not instance.lifecycle.ready
        running.kv_app.faults.down = False
        running.wait_for(lambda: instance.lifecycle.ready)
    finally:
        running.close()


def test_drain_ends_readiness_and_finishes_requests_in_flight(system):
    system.engines[0].faults.set({"slow_factor": 5.0})
    system.engines[1].faults.set({"slow_factor": 5.0})
    thread = eventlet.spawn(system.post, PATH, {**BODY, "max_tokens": 12})
    first = system.instances[0]
    system.wait_for(lambda: first.lifecycle.running == 1)
    drained = eventlet.spawn(first.drain)
    eventlet.sleep(0.05)
    ready = system.client.send("GET", f"http://{system.address(0)}/readyz")
    assert ready.status == 503
    assert thread.wait().status == 200
    drained.wait()
    assert first.lifecycle.running == 0
    with pytest.raises(base.EndpointUnreachableError):
        system.post(PATH, BODY)


def test_status_shows_pool_owners_and_store_calls(system):
    system.post(PATH, BODY)
    value = _admin(system, 0, "status").json()
    assert value["pools"][local.MODEL]["owner"] in ("i0", "i1")
    assert value["kv_calls"]["kv/range"] >= 1
    assert value["members"] == ["i0", "i1"]
    rows = _admin(system, 0, "histograms").json()
    assert {r["name"] for r in rows} == {"first_token", "request"}


def test_admin_interface_requires_the_operator_key(system):
    url = f"http://{system.address(0)}/admin/status"
    assert system.client.send("GET", url).status == 401


def test_orders_bring_engines_to_their_targets(system):
    targets = [orders.Order("e0", ("draft", "extra"), "serve")]
    system.kv_app.store.txn(
        [], [_put("hollycart/targets", msgspec.json.encode(targets))]
    )
    system.wait_for(lambda: system.engines[0].orders.models[-1] == "extra")
    fence = system.engines[0].orders.highest_fence
    stale_order = {"fence": fence - 1, "models": [], "role": "serve"}
    status, _ = system.engines[0].orders.handle(stale_order)
    assert status == 409


def test_model_list(system):
    url = f"http://{system.address(0)}/v1/models"
    headers = {"Authorization": f"Bearer {local.TEAM_KEY}"}
    value = system.client.send("GET", url, headers=headers).json()
    assert [m["id"] for m in value["data"]] == [local.MODEL]


def test_peer_with_a_wrong_secret_is_rejected(system):
    bridge = peers.LoopBridge()
    bridge.start()
    client = peers.PeerClient(bridge, "wrong")
    address = f"127.0.0.1:{system.instances[0].cfg.peer_port}"
    with pytest.raises(base.PeerUnreachableError):
        client.call(address, peers.TABLE, peers.TableQuery(0), 2000)
    client.close()
    bridge.close()


def _put(key, value):
    return kv.Put(key, value)
