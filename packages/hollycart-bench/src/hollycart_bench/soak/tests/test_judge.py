import pytest

from hollycart_bench import soak

CALL = soak.Call(
    request_id="r",
    kind="once",
    instance="n0",
    team="t",
    began_ms=10000.0,
    ended_ms=10100.0,
    wait_ms=3000.0,
    status=200,
    complete=True,
    own=True,
    left=False,
    retry_after_ms=None,
)
RUN = soak.EngineLine(10050.0, "e-0", "run", "r", "t")


@pytest.fixture
def record():
    made = soak.SoakRecord()
    made.calls.append(CALL)
    made.lines.append(RUN)
    return made


def broken(record):
    return {name for name, v in soak.judge(record).items() if v.violations}


def test_an_answered_request_breaks_nothing(record):
    assert not broken(record)


def test_second_run_of_what_runs_once(record):
    record.lines.append(RUN._replace(engine="e-1"))
    assert broken(record) == {"at most once"}


def test_second_run_of_what_may_be_repeated(record):
    record.calls[0] = CALL._replace(kind="again")
    record.lines.append(RUN._replace(engine="e-1"))
    assert not broken(record)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refusal_of_what_has_run(record, status):
    record.calls[0] = CALL._replace(status=status, retry_after_ms=250.0)
    assert "refused is not run" in broken(record)


def test_refusal_without_a_time_to_come_back(record):
    record.lines.clear()
    record.calls[0] = CALL._replace(status=503)
    assert "refusals say when" in broken(record)


def test_foreign_bytes(record):
    record.calls[0] = CALL._replace(own=False)
    assert broken(record) == {"whole and own"}


def test_answer_after_its_time(record):
    record.calls[0] = CALL._replace(ended_ms=14000.0)
    assert "in time" in broken(record)


def test_answer_after_its_time_of_an_instance_that_was_frozen(record):
    record.calls[0] = CALL._replace(ended_ms=14000.0)
    record.faults.append(soak.Fault("freeze", "n0", 10050.0, 13050.0))
    assert not broken(record) & {"in time"}
    record.faults[0] = soak.Fault("freeze", "n1", 10050.0, 13050.0)
    assert "in time" in broken(record)


def test_stopping_instance_cuts_a_request(record):
    record.calls[0] = CALL._replace(status=200, complete=False)
    record.faults.append(soak.Fault("stop", "n0", 10050.0, 12000.0))
    assert "stopping cuts nothing" in broken(record)


def test_work_for_a_leaving_engine(record):
    record.leaving.append(("e-0", 7000.0))
    assert broken(record) == {"leaving gets nothing"}
    record.leaving[0] = ("e-0", 9000.0)
    assert not broken(record)


def test_run_with_a_revoked_key(record):
    record.revoked.append(("t", 5000.0))
    assert "revoked keys do not run" in broken(record)
    record.revoked[0] = ("t", 5100.0)
    assert "revoked keys do not run" not in broken(record)


def test_run_at_a_former_service(record):
    record.moved.append(("e", 7000.0))
    assert broken(record) == {"a new configuration is in force"}
    record.moved[0] = ("e", 8000.0)
    assert not broken(record)


def test_work_for_a_caller_that_has_left(record):
    record.calls.append(CALL._replace(request_id="r2", left=True))
    record.lines.append(
        soak.EngineLine(10900.0, "e-0", "end", "r2", "t"),
    )
    assert broken(record) == {"work ends with its caller"}


def test_memory_that_is_kept(record):
    record.held["e-0"] = 1
    assert broken(record) == {"memory comes back"}


def test_exit_without_success(record):
    record.exits.append(("n0", None))
    assert broken(record) == {"stopped in time"}


def test_requests_that_fail_without_a_fault_nearby(record):
    record.calls[0] = CALL._replace(status=502)
    assert broken(record) == {"served without faults"}
    record.faults.append(soak.Fault("engine_kill", "e-0", 9000.0, 10000.0))
    record.calls.append(CALL._replace(began_ms=90000.0, ended_ms=90100.0))
    assert not broken(record)


def test_no_calm_request_is_no_proof(record):
    record.faults.append(soak.Fault("store_down", "", 0.0, 20000.0))
    assert broken(record) == {"served without faults"}


def test_every_promise_is_judged_where_it_can_be_broken(record):
    record.calls[0] = CALL._replace(status=503, retry_after_ms=250.0)
    record.calls.append(CALL._replace(request_id="r2", left=True))
    record.calls.append(CALL._replace(request_id="r3"))
    record.faults.append(soak.Fault("stop", "n0", 90000.0, 92000.0))
    record.calls.append(
        CALL._replace(request_id="r4", began_ms=90100.0, ended_ms=90200.0)
    )
    record.leaving.append(("e-9", 0.0))
    record.revoked.append(("t9", 0.0))
    record.moved.append(("e9", 0.0))
    record.exits.append(("n0", 0))
    record.held["e-0"] = 0
    assert set(soak.judge(record)) == set(soak.PROMISES)
