import pytest

from hollycart_core import crashes


def tracked(sent_ms, prefill_ms=40.0, traits=("f",)):
    return crashes.TrackedAttempt("e", 7, "s", traits, sent_ms, prefill_ms)


@pytest.mark.parametrize(
    ("sent_ms", "prefill_ms", "first_event_ms", "is_suspect"),
    [
        (900.0, 40.0, None, True),
        (995.0, 40.0, None, False),
        (850.0, 500.0, None, True),
        (100.0, 5000.0, None, False),
        (100.0, 40.0, 900.0, True),
        (-900.0, 40.0, -100.0, False),
    ],
)
def test_only_attempts_at_the_start_of_their_decode_are_suspects(
    sent_ms, prefill_ms, first_event_ms, is_suspect
):
    log = crashes.AttemptLog()
    log.start("a", tracked(sent_ms, prefill_ms))
    if first_event_ms is not None:
        log.record_first_event("a", first_event_ms)
    crash = log.collect("e", 1000.0)
    assert len(crash.suspects) == is_suspect


def test_a_crash_is_dated_by_the_first_attempt_that_was_cut():
    log = crashes.AttemptLog()
    log.start("a", tracked(0.0))
    log.start("b", tracked(50.0))
    log.cut("a", 100.0)
    crash = log.collect("e", 140.0)
    assert (crash.at_ms, crash.born_ms, len(crash.suspects)) == (100.0, 7, 2)


def test_attempts_that_ended_are_no_suspects():
    log = crashes.AttemptLog()
    log.start("a", tracked(0.0))
    log.remove("a")
    assert log.collect("e", 100.0) is None
    log.start("b", tracked(0.0))
    log.cut("b", 100.0)
    assert log.collect("e", 9000.0) is None


def test_a_crash_is_reported_once_but_a_later_one_again():
    log = crashes.AttemptLog()
    log.start("a", tracked(0.0))
    assert log.collect("e", 100.0) is not None
    assert log.has_crashed("e", 900.0)
    assert not log.has_crashed("e", 3000.0)


def test_attempt_sent_to_an_engine_that_has_crashed_is_no_suspect():
    """A proxy accepts connections for the engine, and cuts them."""
    log = crashes.AttemptLog()
    log.start("a", tracked(100.0))
    log.cut("a", 200.0)
    assert len(log.collect("e", 205.0).suspects) == 1
    log.remove("a")
    log.start("b", tracked(1500.0))
    log.cut("b", 1600.0)
    assert log.collect("e", 1605.0) is None
    assert not log.is_suspect("b")
    log.remove("b")
    log.start("c", tracked(3000.0))
    log.record_first_event("c", 3050.0)
    log.prove_sound("c", 4000.0)
    log.start("d", tracked(4100.0))
    log.cut("d", 4200.0)
    assert [s.attempt_id for s in log.collect("e", 4205.0).suspects] == ["d"]
