import eventlet
import pytest

PATH = "/v1/services/cases/releases"


def _call(system, key, number=0, value=None, deadline_ms=5000):
    headers = {
        "Idempotency-Key": key,
        "Hollycart-Deadline-Ms": str(deadline_ms),
    }
    return system.post(PATH, value or {"sum": 1}, number, headers)


def _effects(system, key):
    return [
        e
        for app in system.services
        for e in app.effects
        if e[1].endswith(f"/{key}")
    ]


def test_duplicate_gets_the_first_outcome_at_any_instance(system):
    first = _call(system, "k1")
    again = _call(system, "k1", number=1)
    assert first.status == again.status == 200
    assert first.body == again.body
    assert len(_effects(system, "k1")) == 1


def test_concurrent_duplicates_run_once(system):
    threads = [eventlet.spawn(_call, system, "k2", n % 2) for n in range(6)]
    bodies = {t.wait().body for t in threads}
    assert len(bodies) == 1
    assert len(_effects(system, "k2")) == 1


def test_key_is_required(system):
    response = system.post(PATH, {"sum": 1})
    assert response.status == 400


def test_reused_key_with_another_body_is_rejected(system):
    _call(system, "k3")
    response = _call(system, "k3", value={"sum": 2})
    assert response.json()["error"]["code"] == "idempotency_key_reused"


def test_store_outage_gives_not_run_with_retry_after(system):
    system.kv_app.faults.down = True
    response = _call(system, "k4")
    assert response.status == 503
    assert response.headers["Hollycart-Outcome"] == "not-run"
    assert int(response.headers["Retry-After"]) >= 1
    assert not _effects(system, "k4")
    system.kv_app.faults.down = False
    assert _call(system, "k4").status == 200
    assert len(_effects(system, "k4")) == 1


def test_store_outage_does_not_hide_an_executed_call(system):
    """An instance that has not loaded the claim must not respond `not-run`."""
    assert _call(system, "k5").status == 200
    for instance in system.instances:
        instance.claim_service._ledgers.clear()
    system.kv_app.faults.down = True
    response = _call(system, "k5", number=1)
    assert response.headers.get("Hollycart-Outcome") == "done"


def test_store_outage_without_lookup_is_unknown(system):
    for name in ("s0", "s1"):
        system.set_entry(name, lookup_path="")
    eventlet.sleep(0.3)
    system.kv_app.faults.down = True
    response = _call(system, "k6")
    assert response.headers["Hollycart-Outcome"] == "unknown"


def test_lost_response_is_looked_up(system):
    for app in system.services:
        app.faults.lose_answers = 1.0
    response = _call(system, "k7")
    assert response.headers["Hollycart-Outcome"] == "done"
    assert len(_effects(system, "k7")) == 1


def test_lost_response_without_lookup_stays_unknown(system):
    for name in ("s0", "s1"):
        system.set_entry(name, lookup_path="")
    eventlet.sleep(0.3)
    for app in system.services:
        app.faults.lose_answers = 1.0
    for number in range(3):
        response = _call(system, "k8", number % 2)
        assert response.headers["Hollycart-Outcome"] == "unknown"
    assert len(_effects(system, "k8")) == 1


def test_lost_store_responses_never_run_a_call_twice(system):
    system.kv_app.faults.lose_answers = 0.5
    for number in range(8):
        _call(system, f"k9-{number}", number % 2)
        _call(system, f"k9-{number}", (number + 1) % 2)
        assert len(_effects(system, f"k9-{number}")) <= 1


def test_call_of_a_lost_holder_is_unknown_and_never_run(system):
    """The claim holder stops between the claim and the send."""
    service = system.instances[0]._server.app.service_calls
    service.claimed_calls._send_once = lambda call, attempt_id: eventlet.sleep(
        60
    )
    thread = eventlet.spawn(_call, system, "k10", 0, None, 700)
    eventlet.sleep(0.2)
    response = _call(system, "k10", number=1, deadline_ms=4000)
    assert response.headers["Hollycart-Outcome"] == "unknown"
    assert not _effects(system, "k10")
    thread.kill()


def test_unreachable_service_is_not_run_and_may_be_retried(system):
    addresses = {n: system.entries[n].address for n in ("s0", "s1")}
    for name in addresses:
        system.set_entry(name, address="127.0.0.1:1")
    eventlet.sleep(0.3)
    response = _call(system, "k11")
    assert response.headers["Hollycart-Outcome"] == "not-run"
    for name, address in addresses.items():
        system.set_entry(name, address=address)
    eventlet.sleep(0.3)
    assert _call(system, "k11", number=1).status == 200


def test_safe_call_is_retried_at_another_endpoint(system):
    system.set_entry("s0", address="127.0.0.1:1")
    eventlet.sleep(0.3)
    url = f"http://{system.address(0)}{PATH}"
    headers = {"Authorization": "Bearer team-key"}
    for _ in range(4):
        assert system.client.send("GET", url, headers=headers).status == 200


@pytest.mark.parametrize("key", ["a/b", "x" * 200])
def test_bad_key_is_rejected(system, key):
    assert _call(system, key).status == 400


def test_slow_store_does_not_delay_the_response(system):
    """The claim times out early enough to respond within the deadline."""
    system.kv_app.faults.delay_ms = 30_000.0
    headers = {"Idempotency-Key": "k12", "Hollycart-Deadline-Ms": "2000"}
    response = system.post(PATH, {"sum": 1}, 0, headers, timeout_ms=10_000)
    assert response.headers["Hollycart-Outcome"] == "not-run"
    assert not _effects(system, "k12")


def test_claim_granted_too_late_is_released(system):
    service = system.instances[0]._server.app.service_calls
    claim_service = service.claimed_calls.claim_service
    original_claim = claim_service.claim
    claim_allowed = eventlet.event.Event()

    def delayed_claim(claim_request):
        claim_allowed.wait()
        return original_claim(claim_request)

    claim_service.claim = delayed_claim
    response = _call(system, "k13", deadline_ms=1500)
    assert response.headers["Hollycart-Outcome"] == "not-run"
    claim_service.claim = original_claim
    claim_allowed.send()
    again = _call(system, "k13", number=1)
    assert again.status == 200
    assert len(_effects(system, "k13")) == 1


def test_unstorable_outcome_does_not_delay_the_response(system):
    service = system.instances[0]._server.app.service_calls
    never_sent = eventlet.event.Event()
    service.claimed_calls.claim_service.settle = lambda req: never_sent.wait()
    headers = {"Idempotency-Key": "k14", "Hollycart-Deadline-Ms": "3000"}
    response = system.post(PATH, {"sum": 1}, 0, headers, timeout_ms=10_000)
    assert response.headers["Hollycart-Outcome"] == "done"


def test_not_run_response_precedes_the_release_of_the_key(system):
    """Otherwise a call with the same key could run before the response.

    The caller would then read `not-run` for a key whose call was executed.
    """
    for name in ("s0", "s1"):
        system.set_entry(name, address="127.0.0.1:1")
    eventlet.sleep(0.3)
    service = system.instances[0]._server.app.service_calls
    released = []
    service.claimed_calls.claim_service.settle = released.append
    response = _call(system, "k15")
    assert response.headers["Hollycart-Outcome"] == "not-run"
    assert released == []
    system.wait_for(lambda: released)
    assert response.headers["Hollycart-Attempt"] == released[0].attempt_id


def test_large_response_is_complete_but_not_stored(system):
    for app in system.services:
        app.receipt_padding = "x" * 20_000
    first = _call(system, "k16")
    assert len(first.body) > 20_000
    again = _call(system, "k16", number=1)
    assert (again.status, again.body) == (200, b"")
