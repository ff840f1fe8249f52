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


def test_duplicates_at_once_run_once(system):
    threads = [eventlet.spawn(_call, system, "k2", n % 2) for n in range(6)]
    bodies = {t.wait().body for t in threads}
    assert len(bodies) == 1
    assert len(_effects(system, "k2")) == 1


def test_key_is_required(system):
    reply = system.post(PATH, {"sum": 1})
    assert reply.status == 400


def test_reused_key_with_another_body_is_rejected(system):
    _call(system, "k3")
    reply = _call(system, "k3", value={"sum": 2})
    assert reply.json()["error"]["code"] == "idempotency_key_reused"


def test_outage_is_answered_not_run_with_retry_after(system):
    system.kv_app.faults.down = True
    reply = _call(system, "k4")
    assert reply.status == 503
    assert reply.headers["Hollycart-Outcome"] == "not-run"
    assert int(reply.headers["Retry-After"]) >= 1
    assert not _effects(system, "k4")
    system.kv_app.faults.down = False
    assert _call(system, "k4").status == 200
    assert len(_effects(system, "k4")) == 1


def test_outage_does_not_deny_what_ran_before(system):
    """Another instance, without a memory of the key, must not say not run."""
    assert _call(system, "k5").status == 200
    for instance in system.instances:
        instance.claim_service._ledgers.clear()
    system.kv_app.faults.down = True
    reply = _call(system, "k5", number=1)
    assert reply.headers.get("Hollycart-Outcome") == "done"


def test_outage_without_the_services_answer_is_unknown(system):
    for name in ("s0", "s1"):
        system.set_entry(name, lookup_path="")
    eventlet.sleep(0.3)
    system.kv_app.faults.down = True
    reply = _call(system, "k6")
    assert reply.headers["Hollycart-Outcome"] == "unknown"


def test_lost_answer_is_looked_up(system):
    for app in system.services:
        app.faults.lose_answers = 1.0
    reply = _call(system, "k7")
    assert reply.headers["Hollycart-Outcome"] == "done"
    assert len(_effects(system, "k7")) == 1


def test_lost_answer_without_lookup_stays_unknown(system):
    for name in ("s0", "s1"):
        system.set_entry(name, lookup_path="")
    eventlet.sleep(0.3)
    for app in system.services:
        app.faults.lose_answers = 1.0
    for number in range(3):
        reply = _call(system, "k8", number % 2)
        assert reply.headers["Hollycart-Outcome"] == "unknown"
    assert len(_effects(system, "k8")) == 1


def test_lost_answers_of_the_key_value_service_do_no_harm(system):
    system.kv_app.faults.lose_answers = 0.5
    for number in range(8):
        _call(system, f"k9-{number}", number % 2)
        _call(system, f"k9-{number}", (number + 1) % 2)
        assert len(_effects(system, f"k9-{number}")) <= 1


def test_abandoned_claim_is_unknown_and_never_run_again(system):
    """The holder claimed and died before it sent the call."""
    service = system.instances[0]._server.app.service_calls
    service.claimed_calls._send_once = lambda call, attempt_id: eventlet.sleep(
        60
    )
    thread = eventlet.spawn(_call, system, "k10", 0, None, 700)
    eventlet.sleep(0.2)
    reply = _call(system, "k10", number=1, deadline_ms=4000)
    assert reply.headers["Hollycart-Outcome"] == "unknown"
    assert not _effects(system, "k10")
    thread.kill()


def test_unreachable_service_is_not_run_and_may_be_repeated(system):
    good = {n: system.entries[n].address for n in ("s0", "s1")}
    for name in good:
        system.set_entry(name, address="127.0.0.1:1")
    eventlet.sleep(0.3)
    reply = _call(system, "k11")
    assert reply.headers["Hollycart-Outcome"] == "not-run"
    for name, address in good.items():
        system.set_entry(name, address=address)
    eventlet.sleep(0.3)
    assert _call(system, "k11", number=1).status == 200


def test_reading_call_is_repeated_at_another_endpoint(system):
    system.set_entry("s0", address="127.0.0.1:1")
    eventlet.sleep(0.3)
    url = f"http://{system.address(0)}{PATH}"
    headers = {"Authorization": "Bearer team-key"}
    for _ in range(4):
        assert system.client.send("GET", url, headers=headers).status == 200


@pytest.mark.parametrize("key", ["a/b", "x" * 200])
def test_bad_key_is_rejected(system, key):
    assert _call(system, key).status == 400


def test_slow_key_value_service_does_not_hold_the_answer(system):
    """The claim is given up in time for an honest answer."""
    system.kv_app.faults.delay_ms = 30_000.0
    headers = {"Idempotency-Key": "k12", "Hollycart-Deadline-Ms": "2000"}
    reply = system.post(PATH, {"sum": 1}, 0, headers, timeout_ms=10_000)
    assert reply.headers["Hollycart-Outcome"] == "not-run"
    assert not _effects(system, "k12")


def test_claim_granted_too_late_is_released(system):
    service = system.instances[0]._server.app.service_calls
    claim_service = service.claimed_calls.claim_service
    real = claim_service.claim
    gate = eventlet.event.Event()

    def slow(ask):
        gate.wait()
        return real(ask)

    claim_service.claim = slow
    reply = _call(system, "k13", deadline_ms=1500)
    assert reply.headers["Hollycart-Outcome"] == "not-run"
    claim_service.claim = real
    gate.send()
    again = _call(system, "k13", number=1)
    assert again.status == 200
    assert len(_effects(system, "k13")) == 1


def test_outcome_that_cannot_be_stored_does_not_hold_the_answer(system):
    service = system.instances[0]._server.app.service_calls
    never = eventlet.event.Event()
    service.claimed_calls.claim_service.settle = lambda req: never.wait()
    headers = {"Idempotency-Key": "k14", "Hollycart-Deadline-Ms": "3000"}
    reply = system.post(PATH, {"sum": 1}, 0, headers, timeout_ms=10_000)
    assert reply.headers["Hollycart-Outcome"] == "done"


def test_answer_not_run_comes_before_the_key_is_free_again(system):
    """Otherwise another call could run before the caller is told."""
    for name in ("s0", "s1"):
        system.set_entry(name, address="127.0.0.1:1")
    eventlet.sleep(0.3)
    service = system.instances[0]._server.app.service_calls
    released = []
    service.claimed_calls.claim_service.settle = released.append
    reply = _call(system, "k15")
    assert reply.headers["Hollycart-Outcome"] == "not-run"
    assert released == []
    system.wait_for(lambda: released)
    assert reply.headers["Hollycart-Attempt"] == released[0].attempt_id


def test_large_answer_is_whole_and_not_kept(system):
    for app in system.services:
        app.receipt_padding = "x" * 20_000
    first = _call(system, "k16")
    assert len(first.body) > 20_000
    again = _call(system, "k16", number=1)
    assert (again.status, again.body) == (200, b"")
