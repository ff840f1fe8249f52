import pytest

from hollycart_core import crashes


def answer(history, *traits, began_ms=10.0, count=1):
    for _ in range(count):
        history.count_answer("s")
        for trait in traits:
            history.record_success("s", trait, began_ms)


def crash(at_ms, *prompts, endpoint=None, lag_ms=80.0, service="s"):
    """Returns a crash with one suspect for each prompt, sent before it."""
    name = endpoint or f"e{at_ms}"
    suspects = tuple(
        crashes.SuspectAttempt(f"{name}.{n}", tuple(prompt), at_ms - lag_ms)
        for n, prompt in enumerate(prompts)
    )
    return crashes.EngineCrash(name, 0, service, at_ms, suspects)


@pytest.fixture
def history():
    """The engines of the service have answered something before."""
    made = crashes.CrashHistory()
    made.record_success("s", "other", 0.0)
    return made


def culprits(history, known=()):
    found = history.find_culprits("s", known, 90_000.0)
    return {c.trait: set(c.traits) for c in found}


def test_trait_of_crashes_one_after_the_other_is_a_culprit(history):
    for at_ms in (100.0, 300.0):
        history.record_crash(crash(at_ms, "fp", "fa"))
        assert not culprits(history)
    history.record_crash(crash(500.0, "fp", "fb"))
    assert culprits(history) == {"p": {"f", "p"}}


def test_more_crashes_are_needed_before_the_first_answer_of_a_service():
    history = crashes.CrashHistory()
    for at_ms in (100.0, 300.0, 500.0, 700.0):
        history.record_crash(crash(at_ms, "fp"))
        assert not culprits(history)
    history.record_crash(crash(900.0, "fp"))
    assert culprits(history) == {"f": {"f", "p"}}


def test_of_two_unanswered_traits_the_one_that_explains_more_is_blamed(
    history,
):
    """A rare trait of sound prompts is beside most of the crashes."""
    history.record_crash(crash(100.0, "fxp", "ft"))
    history.record_crash(crash(300.0, "fxp"))
    history.record_crash(crash(500.0, "ftp"))
    history.record_success("s", "f", 600.0)
    history.record_crash(crash(800.0, "ftp"))
    assert set(culprits(history)) == {"p"}


def test_culprit_beside_another_that_explains_as_much_needs_more(history):
    for at_ms in (100.0, 300.0, 500.0, 700.0):
        history.record_crash(crash(at_ms, "fp", "ft"))
    assert not culprits(history)
    history.record_crash(crash(900.0, "fp", "ft"))
    (culprit,) = history.find_culprits("s", (), 9000.0)
    assert not culprit.is_clear
    history.record_success("s", "f", 50.0)
    history.record_success("s", "t", 50.0)
    (culprit,) = history.find_culprits("s", (), 9000.0)
    assert culprit.trait == "p"
    assert culprit.is_clear


def test_traits_with_sound_answers_are_not_blamed_for_what_another_explains(
    history,
):
    history.record_success("s", "f", 10.0)
    history.record_success("s", "t", 20.0)
    for at_ms in (100.0, 300.0, 500.0, 700.0, 900.0):
        history.record_crash(crash(at_ms, "ftp", "ft", "ft"))
    assert set(culprits(history)) == {"p"}


def test_traits_of_single_prompts_do_not_hide_one_that_was_answered(history):
    """Each prompt also has a trait that no other prompt has."""
    answer(history, "f", count=40)
    answer(history, "p")
    for number in range(4):
        history.record_crash(crash(100.0 + 700.0 * number, f"p{number}"))
    assert set(culprits(history)) == {"p"}


def test_trait_with_answers_is_not_blamed_beside_one_without(history):
    """Not even while others have not yet reported the prompt that is guilty."""
    history.record_success("s", "f", 10.0)
    for at_ms in (100.0, 300.0, 500.0, 700.0):
        history.record_crash(crash(at_ms, "fp", "fp"))
    history.record_crash(crash(900.0, "fu"))
    assert set(culprits(history)) == {"p"}


def test_crashes_count_once_all_instances_have_reported_them(history):
    for at_ms in (100.0, 300.0, 500.0):
        history.record_crash(crash(at_ms, "p"))
    assert not history.find_culprits("s", (), 500.0 + 0.9 * crashes.SETTLE_MS)
    assert history.find_culprits("s", (), 500.0 + crashes.SETTLE_MS)


def test_trait_that_was_answered_needs_more_crashes_over_some_time(history):
    answer(history, "f", count=40)
    answer(history, "f", "p")
    for number in range(6):
        history.record_crash(crash(100.0 + 100.0 * number, "p"))
    assert not culprits(history)
    history.record_crash(crash(1700.0, "p"))
    assert set(culprits(history)) == {"p"}


@pytest.mark.parametrize(
    ("without", "is_culprit"), [(0, False), (30, False), (60, True)]
)
def test_trait_of_most_answers_is_no_culprit(history, without, is_culprit):
    """All engines crash again and again; refusing all prompts helps nobody."""
    answer(history, "f", count=40)
    answer(history, "g", count=without)
    for number in range(6):
        history.record_crash(crash(100.0 + 700.0 * number, "f"))
    assert (set(culprits(history)) == {"f"}) == is_culprit


def test_instance_with_few_answers_blames_no_answered_trait(history):
    answer(history, "f", count=3)
    answer(history, "g", count=6)
    for number in range(6):
        history.record_crash(crash(100.0 + 700.0 * number, "f"))
    assert not culprits(history)


def test_engines_that_crash_together_are_one_generation(history):
    """A zone loses power while prompts of one team run at all its engines."""
    for number in range(6):
        history.record_crash(crash(100.0 + number, "ft", endpoint=f"e{number}"))
    assert not culprits(history)


def test_sound_answers_between_crashes_clear_a_trait(history):
    for number in range(9):
        history.record_crash(crash(100.0 + 500.0 * number, "ft"))
        history.record_success("s", "f", 300.0 + 500.0 * number)
        if number % 2:
            history.record_success("s", "t", 300.0 + 500.0 * number)
    assert not culprits(history)


def test_answer_that_began_before_a_crash_does_not_clear_a_trait(history):
    answer(history, "f", count=40)
    for at_ms in (100.0, 700.0, 1300.0, 1900.0):
        history.record_crash(crash(at_ms, "p"))
    answer(history, "p", began_ms=90.0)
    assert "p" in culprits(history)


def test_engines_that_crash_for_other_reasons_make_nobody_a_culprit(history):
    """A rare trait is at a few of many crashes, always the same engines."""
    for number in range(40):
        prompts = ["rx"] if number % 13 == 0 else []
        history.record_crash(crash(100.0 + 400.0 * number, *prompts))
    assert not culprits(history)


def test_two_culprits_are_told_apart(history):
    history.record_success("s", "f", 0.0)
    for number in range(3):
        history.record_crash(crash(100.0 + 600.0 * number, "fp"))
        history.record_crash(crash(400.0 + 600.0 * number, "fq"))
    assert set(culprits(history)) == {"p", "q"}


def test_what_a_known_culprit_explains_counts_against_nobody(history):
    for at_ms in (100.0, 300.0, 500.0):
        history.record_crash(crash(at_ms, "p", "fa"))
    assert history.suspicion("s", "fa", ()) == 3
    assert history.suspicion("s", "fa", "p") == 0
    assert not history.unexplained("p")


def test_earlier_answers_make_a_trait_less_suspicious(history):
    history.record_crash(crash(100.0, "fp"))
    assert history.suspicion("s", "p", ()) == 1
    history.record_success("s", "f", 50.0)
    assert history.suspicion("s", "f", ()) == 0


def test_reports_of_one_crash_are_merged(history):
    assert history.record_crash(crash(100.0, "fa", endpoint="e"))
    assert not history.record_crash(crash(104.0, "fa", endpoint="e"))
    other = crash(99.0, "fp", endpoint="e")._replace(
        suspects=(crashes.SuspectAttempt("other", ("f", "p"), 20.0),)
    )
    assert history.record_crash(other)
    (merged,) = history.unexplained(())
    assert (merged.at_ms, len(merged.suspects)) == (99.0, 2)


def test_engine_that_crashes_again_under_its_id_has_crashed_twice(history):
    """It may also have refused connections before it was ready."""
    history.record_crash(crash(100.0, endpoint="e"))
    for at_ms in (4000.0, 8000.0, 12000.0):
        history.record_crash(crash(at_ms, "p", endpoint="e"))
    assert set(culprits(history)) == {"p"}


def test_services_are_judged_apart(history):
    for at_ms in (100.0, 300.0, 500.0):
        history.record_crash(crash(at_ms, "p", service="other"))
    assert not culprits(history)
    assert history.suspicion("s", "p", ()) == 0


def test_what_is_old_is_forgotten(history):
    for at_ms in (100.0, 300.0, 500.0):
        history.record_crash(crash(at_ms, "p"))
    history.remove_old(100_000.0)
    assert culprits(history)
    history.remove_old(400_000.0)
    assert not culprits(history)
    assert not history.services()


def test_crash_that_counts_against_nobody_is_forgotten_earlier(history):
    history.record_crash(crash(100.0, "f"))
    history.record_success("s", "f", 300.0)
    history.remove_old(20_000.0)
    assert history.services()
    history.remove_old(40_000.0)
    assert not history.services()
