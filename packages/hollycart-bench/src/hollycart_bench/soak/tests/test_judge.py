import pytest

from hollycart_bench import soak

CALL = soak.Call(
    request_id="r",
    kind="once",
    instance="n0",
    team="t",
    start_ms=10000.0,
    end_ms=10100.0,
    caller_timeout_ms=3000.0,
    status=200,
    complete=True,
    body_matches=True,
    abandoned=False,
    retry_after_ms=None,
)
RUN = soak.JournalEntry(10050.0, "e-0", "run", "r", "t")


@pytest.fixture
def record():
    soak_record = soak.SoakRecord()
    soak_record.calls.append(CALL)
    soak_record.journal_entries.append(RUN)
    return soak_record


def violated(record):
    return {
        name
        for name, v in soak.check_guarantees(record).items()
        if v.violations
    }


def test_served_request_violates_no_guarantee(record):
    assert not violated(record)


def test_second_run_of_a_non_idempotent_request(record):
    record.journal_entries.append(RUN._replace(engine="e-1"))
    assert violated(record) == {"at most once"}


def test_second_run_of_an_idempotent_request(record):
    record.calls[0] = CALL._replace(kind="again")
    record.journal_entries.append(RUN._replace(engine="e-1"))
    assert not violated(record)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refusal_of_a_request_that_has_run(record, status):
    record.calls[0] = CALL._replace(status=status, retry_after_ms=250.0)
    assert "refused is not run" in violated(record)


def test_refusal_without_retry_after(record):
    record.journal_entries.clear()
    record.calls[0] = CALL._replace(status=503)
    assert "refusals say when" in violated(record)


def test_body_of_another_request(record):
    record.calls[0] = CALL._replace(body_matches=False)
    assert violated(record) == {"whole and own"}


def test_late_response(record):
    record.calls[0] = CALL._replace(end_ms=14000.0)
    assert "in time" in violated(record)


def test_late_response_of_a_frozen_instance(record):
    record.calls[0] = CALL._replace(end_ms=14000.0)
    record.faults.append(soak.Fault("freeze", "n0", 10050.0, 13050.0))
    assert not violated(record) & {"in time"}
    record.faults[0] = soak.Fault("freeze", "n1", 10050.0, 13050.0)
    assert "in time" in violated(record)


def test_stopping_instance_truncates_a_response(record):
    record.calls[0] = CALL._replace(status=200, complete=False)
    record.faults.append(soak.Fault("stop", "n0", 10050.0, 12000.0))
    assert "stopping cuts nothing" in violated(record)


def test_work_for_a_leaving_engine(record):
    record.leaving.append(("e-0", 7000.0))
    assert violated(record) == {"leaving gets nothing"}
    record.leaving[0] = ("e-0", 9000.0)
    assert not violated(record)


def test_run_with_a_revoked_key(record):
    record.revoked_teams.append(("t", 5000.0))
    assert "revoked keys do not run" in violated(record)
    record.revoked_teams[0] = ("t", 5100.0)
    assert "revoked keys do not run" not in violated(record)


def test_run_at_the_old_service_of_a_moved_route(record):
    record.moved_services.append(("e", 7000.0))
    assert violated(record) == {"a new configuration is in force"}
    record.moved_services[0] = ("e", 8000.0)
    assert not violated(record)


def test_work_for_a_caller_that_has_left(record):
    record.calls.append(CALL._replace(request_id="r2", abandoned=True))
    record.journal_entries.append(
        soak.JournalEntry(10900.0, "e-0", "end", "r2", "t"),
    )
    assert violated(record) == {"work ends with its caller"}


def test_reservation_held_at_the_end(record):
    record.held["e-0"] = 1
    assert violated(record) == {"memory comes back"}


def test_instance_that_does_not_exit(record):
    record.exits.append(("n0", None))
    assert violated(record) == {"stopped in time"}


def test_requests_that_fail_without_a_fault_nearby(record):
    record.calls[0] = CALL._replace(status=502)
    assert violated(record) == {"served without faults"}
    record.faults.append(soak.Fault("engine_kill", "e-0", 9000.0, 10000.0))
    record.calls.append(CALL._replace(start_ms=90000.0, end_ms=90100.0))
    assert not violated(record)


def test_run_without_a_fault_free_request_fails(record):
    record.faults.append(soak.Fault("store_down", "", 0.0, 20000.0))
    assert violated(record) == {"served without faults"}


def test_every_guarantee_is_checked_where_it_applies(record):
    record.calls[0] = CALL._replace(status=503, retry_after_ms=250.0)
    record.calls.append(CALL._replace(request_id="r2", abandoned=True))
    record.calls.append(CALL._replace(request_id="r3"))
    record.faults.append(soak.Fault("stop", "n0", 90000.0, 92000.0))
    record.calls.append(
        CALL._replace(request_id="r4", start_ms=90100.0, end_ms=90200.0)
    )
    record.leaving.append(("e-9", 0.0))
    record.revoked_teams.append(("t9", 0.0))
    record.moved_services.append(("e9", 0.0))
    record.evacuations.append(soak.Evacuation("a", ("e-9",), 0.0, 0.0))
    record.exits.append(("n0", 0))
    record.held["e-0"] = 0
    for event in ("leaving", "pause", "cold"):
        record.journal_entries.append(RUN._replace(event=event))
    record.faults.append(soak.Fault("engine_limits", "e-0", 50000.0, 60000.0))
    record.journal_entries.append(RUN._replace(event="limited", at_ms=55000.0))
    add_crashes(record, crashes=1, late=0)
    add_crashes(record, crashes=1, late=0, what="request")
    assert set(soak.check_guarantees(record)) == set(soak.GUARANTEES)


def add_crashes(record, crashes, late, what="segment"):
    """Adds crashes, and arrivals that are too late after them.

    Args:
        record: The record.
        crashes: Number of crashes.
        late: Number of arrivals.
        what: What the engines crash on, `segment` or `request`.
    """
    arrival, crash = {
        "segment": ("crashing", "crash"),
        "request": ("repeated", "repeated_crash"),
    }[what]
    times = [20000.0 + 500.0 * n for n in range(crashes)]
    for number, at_ms in enumerate(times):
        for event in (arrival, crash):
            record.journal_entries.append(
                soak.JournalEntry(at_ms, "e-0", event, f"c{number}", "t")
            )
    for number in range(late):
        record.journal_entries.append(
            soak.JournalEntry(30000.0, "e-0", arrival, f"l{number}", "t")
        )
    record.faults.append(
        soak.Fault(f"engines_crash_on_{what}", "", 20000.0, 40000.0)
    )


@pytest.mark.parametrize(
    ("crashes", "late", "is_violated"),
    [(5, 3, False), (5, 4, True), (4, 4, False)],
)
def test_prompts_that_crash_engines_reach_them_too_late(
    record, crashes, late, is_violated
):
    add_crashes(record, crashes, late)
    name = "prompts that crash engines are kept away"
    assert (name in violated(record)) == is_violated


@pytest.mark.parametrize(
    ("crashes", "late", "is_violated"),
    [(3, 3, False), (3, 4, True), (2, 4, False)],
)
def test_requests_that_crash_engines_reach_them_too_late(
    record, crashes, late, is_violated
):
    add_crashes(record, crashes, late, "request")
    name = "requests that crash engines are kept away"
    assert (name in violated(record)) == is_violated


def test_sound_streams_are_refused_with_those_that_crash_engines(record):
    name = "prompts that crash engines are kept away"
    add_crashes(record, 5, 0)
    sound = CALL._replace(
        kind="stream", status=200, start_ms=31000.0, end_ms=31500.0
    )
    record.calls += [sound, sound._replace(status=503)]
    assert name not in violated(record)
    record.calls.append(sound._replace(status=503))
    assert name in violated(record)
    record.calls[-1] = sound._replace(status=503, crashes_engines=True)
    assert name not in violated(record)


def test_work_for_an_engine_that_said_it_leaves(record):
    told = soak.JournalEntry(5000.0, "e-0", "leaving", "q", "t")
    record.calls.append(CALL._replace(request_id="q", start_ms=4990.0))
    record.journal_entries.append(told)
    assert "leaving by its word gets nothing" in violated(record)
    record.faults.append(soak.Fault("kill", "n0", 6000.0, 7000.0))
    assert "leaving by its word gets nothing" not in violated(record)


def test_requests_in_a_pause(record):
    for number, at_ms in enumerate((5000.0, 6000.0, 6100.0, 6200.0)):
        name = f"q{number}"
        record.calls.append(CALL._replace(request_id=name, start_ms=at_ms))
        record.journal_entries.append(
            soak.JournalEntry(at_ms, "e-0", "pause", name, "t")
        )
    assert "a pause is kept" in violated(record)
    record.journal_entries.pop()
    assert "a pause is kept" not in violated(record)


def test_request_that_outlasts_the_grace_period_may_be_cut(record):
    """Seed 24: 600,000 tokens in prefill for 7.2 s of 8."""
    record.calls[0] = CALL._replace(
        status=200, complete=False, start_ms=9000.0, end_ms=17600.0,
        caller_timeout_ms=10000.0,
    )  # fmt: skip
    record.faults.append(soak.Fault("stop", "n0", 10000.0, 18100.0))
    gone = soak.JournalEntry(17550.0, "e-0", "gone", "r", "t")
    record.journal_entries.append(gone)
    assert "stopping cuts nothing" not in violated(record)
    record.journal_entries[-1] = gone._replace(at_ms=16500.0)
    assert "stopping cuts nothing" in violated(record)
    record.journal_entries[-1] = gone
    record.calls[0] = record.calls[0]._replace(start_ms=13100.0)
    assert "stopping cuts nothing" in violated(record)


def test_requests_beyond_the_limit_of_an_engine(record):
    record.faults.append(soak.Fault("engine_limits", "e-0", 0.0, 30000.0))
    for number in range(12):
        name = f"limited{number}"
        at_ms = 10000.0 + 400.0 * number
        record.calls.append(CALL._replace(request_id=name, instance="n1"))
        for event in ("run", "limited"):
            record.journal_entries.append(
                RUN._replace(request_id=name, at_ms=at_ms, event=event)
            )
    assert "a limit is kept" not in violated(record)
    for number in range(9):
        name = f"beyond{number}"
        record.calls.append(CALL._replace(request_id=name, instance="n1"))
        record.journal_entries.append(
            RUN._replace(request_id=name, at_ms=14000.0 + 50.0 * number)
        )
    assert "a limit is kept" in violated(record)
    record.faults.append(soak.Fault("freeze", "n1", 13500.0, 13600.0))
    assert "a limit is kept" not in violated(record)


@pytest.mark.parametrize(
    ("kind", "guarantee"),
    [
        ("engine_endless", "what has no end harms nobody else"),
        ("engines_read_slowly", "who reads slowly harms nobody else"),
    ],
)
def test_requests_beside_an_engine_at_fault(record, kind, guarantee):
    record.faults.append(soak.Fault(kind, "e-1", 40000.0, 50000.0))
    for number in range(60):
        record.calls.append(
            CALL._replace(
                request_id=f"beside{number}",
                start_ms=41000.0,
                end_ms=41100.0,
                status=200 if number else 503,
                retry_after_ms=250.0,
            )
        )
    assert guarantee in violated(record)
    record.journal_entries.append(
        RUN._replace(request_id="beside0", engine="e-1", at_ms=41000.0)
    )
    assert guarantee not in violated(record)


def test_instance_whose_event_loop_stands_still_or_that_grows(record):
    record.faults.append(soak.Fault("engine_endless", "e-1", 40000.0, 50000.0))
    record.loop_delays.append(soak.LoopDelay("n0", 45000.0, 900.0))
    record.peak_memory_mb["n0"] = 60.0
    assert not violated(record)
    record.loop_delays.append(soak.LoopDelay("n0", 46000.0, 2500.0))
    record.peak_memory_mb["n1"] = 450.0
    assert violated(record) == {
        "memory is bounded",
        "the event loop comes round",
    }
    record.faults.append(soak.Fault("freeze", "n0", 43000.0, 45900.0))
    assert violated(record) == {"memory is bounded"}


@pytest.mark.parametrize(
    ("at_ms", "engine", "late"),
    [
        (14000.0, "e-0", False),
        (15900.0, "e-0", True),
        (15900.0, "e-1", False),
        (20100.0, "e-0", False),
    ],
)
def test_request_in_an_evacuated_zone(record, at_ms, engine, late):
    """Requests may arrive until the bound, and after the evacuation."""
    record.evacuations.append(soak.Evacuation("a", ("e-0",), 10000.0, 20000.0))
    record.journal_entries.append(
        RUN._replace(at_ms=at_ms, engine=engine, event="arrived")
    )
    assert ("evacuated zones get nothing" in violated(record)) == late


def test_cold_engine_that_got_too_many_requests_in_a_second(record):
    """Four are allowed; requests that arrive when it is warm do not count."""
    cold = RUN._replace(event="cold")
    for at_ms in (0.0, 100.0, 600.0, 999.0, 1000.0):
        record.journal_entries.append(cold._replace(at_ms=at_ms))
    assert not violated(record)
    record.journal_entries.append(RUN._replace(at_ms=700.0, request_id="q"))
    assert not violated(record)
    record.journal_entries.append(cold._replace(at_ms=1050.0))
    assert violated(record) == {"cold engines get few requests"}
