import hypothesis
from hypothesis import strategies
import pytest

from hollycart_core import crashes

FIRST_TRIAL_MS = 20_000.0


def crash(at_ms, *prompts):
    suspects = tuple(
        crashes.SuspectAttempt(f"{at_ms}.{n}", tuple(prompt), at_ms - 80.0)
        for n, prompt in enumerate(prompts)
    )
    return crashes.EngineCrash(f"e{at_ms}", 0, "s", at_ms, suspects)


@pytest.fixture
def quarantine():
    """The engines of the service have answered something before."""
    made = crashes.Quarantine()
    made.record_success("s", "o", 0.0)
    return made


def blame(quarantine, prompt="fp", at_ms=(100.0, 300.0, 500.0)):
    for instant_ms in at_ms:
        quarantine.record_crash(crash(instant_ms, prompt), instant_ms)
    quarantine.review(at_ms[-1] + crashes.SETTLE_MS)
    return quarantine.find("s", prompt)


def test_prompts_are_refused_only_with_all_traits_that_may_be_the_cause(
    quarantine,
):
    entry = blame(quarantine)
    assert entry.traits == {"f", "p"}
    assert quarantine.find("s", "fpx") == entry
    assert quarantine.find("s", "fx") is None
    assert quarantine.find("s", "px") is None
    assert quarantine.find("other", "fp") is None


def test_sound_answer_of_a_shared_trait_narrows_an_entry(quarantine):
    blame(quarantine)
    assert quarantine.record_success("s", "fx", 600.0)
    quarantine.review(700.0)
    assert quarantine.find("s", "fx") is None
    assert quarantine.find("s", "px").traits == {"p"}


def test_crash_with_some_of_the_traits_narrows_an_entry(quarantine):
    quarantine.record_success("s", "f", 1.0)
    blame(quarantine)
    quarantine.record_crash(crash(900.0, "gp"), 900.0)
    assert quarantine.find("s", "p").traits == {"p"}


def test_one_trial_is_admitted_at_a_time(quarantine):
    entry = blame(quarantine)
    assert quarantine.claim_trial(entry, "a", 500.0) is None
    due_ms = entry.trial_at_ms
    assert due_ms >= 500.0 + FIRST_TRIAL_MS
    claimed = quarantine.claim_trial(entry, "a", due_ms)
    assert quarantine.is_in_force(claimed)
    assert quarantine.claim_trial(entry, "b", due_ms + 1.0) is None


def test_prompt_with_two_traits_waits_for_the_later_trial(quarantine):
    first = blame(quarantine, "p")
    second = blame(quarantine, "q", (5100.0, 5300.0, 5500.0))
    assert quarantine.find("s", "pq") == second
    assert second.trial_at_ms > first.trial_at_ms


def test_crash_of_a_trial_multiplies_the_time_to_the_next(quarantine):
    entry = blame(quarantine)
    for trial in range(1, 4):
        now_ms = entry.trial_at_ms
        quarantine.claim_trial(entry, "a", now_ms)
        quarantine.record_crash(crash(now_ms + 90.0, "fp"), now_ms + 90.0)
        entry = quarantine.find("s", "fp")
        assert entry.trial_at_ms == now_ms + 90.0 + FIRST_TRIAL_MS * 3.0**trial


def test_trait_that_was_answered_is_tried_again_soon(quarantine):
    for _ in range(40):
        quarantine.record_success("s", "f", 10.0)
    quarantine.record_success("s", "p", 10.0)
    entry = blame(quarantine, "p", (100.0, 700.0, 1300.0, 1900.0))
    assert entry.trial_at_ms - entry.last_crash_ms <= 1200.0


def test_trial_without_an_outcome_is_soon_followed_by_another(quarantine):
    entry = blame(quarantine)
    now_ms = entry.trial_at_ms
    claimed = quarantine.claim_trial(entry, "a", now_ms)
    ended = quarantine.end_trial(claimed, now_ms + 500.0)
    assert ended.trial_at_ms == now_ms + 1500.0
    assert quarantine.end_trial(claimed, now_ms + 600.0) is None
    assert quarantine.claim_trial(ended, "b", now_ms + 1500.0) is not None


def test_sound_trial_ends_the_quarantine(quarantine):
    entry = blame(quarantine)
    now_ms = entry.trial_at_ms
    quarantine.claim_trial(entry, "a", now_ms)
    quarantine.record_success("s", "fp", now_ms + 60.0)
    assert quarantine.find("s", "fp") is None
    assert quarantine.suspicion("s", "fp") == 0
    # A single crash does not bring it back.
    quarantine.record_crash(crash(now_ms + 900.0, "fp"), now_ms + 900.0)
    assert quarantine.find("s", "fp") is None


def test_instance_that_knows_of_a_later_sound_answer_objects(quarantine):
    entry = blame(quarantine)
    other = crashes.Quarantine()
    other.record_success("s", "fp", 700.0)
    assert other.merge(entry, 800.0)
    assert other.find("s", "fp") is None
    (objection,) = other.entries
    assert quarantine.merge(objection, 800.0)
    assert quarantine.find("s", "fp") is None


def test_simultaneous_claims_leave_one_in_force(quarantine):
    entry = blame(quarantine)
    other = crashes.Quarantine()
    other.merge(entry, 500.0)
    due_ms = entry.trial_at_ms
    first = quarantine.claim_trial(entry, "a", due_ms)
    second = other.claim_trial(entry, "b", due_ms + 1.0)
    quarantine.merge(second, due_ms + 2.0)
    other.merge(first, due_ms + 2.0)
    assert quarantine.is_in_force(first)
    assert not other.is_in_force(second)


def test_delayed_exchanges_do_not_move_times(quarantine):
    entry = blame(quarantine)
    later = entry._replace(
        trial_at_ms=entry.trial_at_ms + 5.0,
        last_crash_ms=entry.last_crash_ms + 5.0,
    )
    assert not quarantine.merge(later, 600.0)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.sampled_from(["crash", "success", "claim", "exchange"]),
            strategies.sampled_from(["fp", "fq", "gp", "f", "g"]),
        ),
        max_size=40,
    )
)
def test_instances_that_have_exchanged_all_hold_the_same_entries(steps):
    """Clocks are equal and nothing is lost at the end."""
    fleet = [crashes.Quarantine() for _ in range(3)]
    now_ms = 0.0
    for number, kind, prompt in steps:
        now_ms += 7000.0
        own = fleet[number]
        if kind == "crash":
            own.record_crash(crash(now_ms, prompt), now_ms)
            own.review(now_ms + crashes.SETTLE_MS)
        elif kind == "success":
            own.record_success("s", prompt, now_ms)
        elif kind == "claim":
            entry = own.find("s", prompt)
            if entry is not None:
                own.claim_trial(entry, str(number), now_ms)
        else:
            _exchange(own, fleet[(number + 1) % 3], now_ms)
    for _ in range(8):
        for own in fleet:
            for other in fleet:
                _exchange(own, other, now_ms)
    held = [sorted(q.entries, key=lambda e: e.trait) for q in fleet]
    assert held[0] == held[1] == held[2]


def _exchange(sender, receiver, now_ms):
    if sender is not receiver:
        for entry in sender.entries:
            receiver.merge(entry, now_ms)


def test_answers_that_others_report_again_and_again_count_once(quarantine):
    """With each heartbeat; otherwise a rare trait would seem to be common."""
    for _ in range(40):
        quarantine.record_success("s", "f", 10.0)
        quarantine.record_success("s", "p", 20.0, is_own=False)
    assert blame(quarantine, "p", (100.0, 700.0, 1300.0, 1900.0))


@pytest.mark.parametrize(
    ("answers", "delay_ms"), [(1, 3000.0), (0, FIRST_TRIAL_MS)]
)
def test_failed_trial_keeps_away_for_long_only_what_was_never_answered(
    answers, delay_ms
):
    """Many sound requests may need a segment that was answered earlier."""
    quarantine = crashes.Quarantine()
    for number in range(20 * answers):
        quarantine.record_success("s", "o", float(number))
    for number in range(answers):
        quarantine.record_success("s", "t", float(number))
    entry = blame(quarantine, "t", (100.0, 700.0, 1300.0, 1900.0, 2500.0))
    now_ms = entry.trial_at_ms
    assert entry.trial_delay_ms == 1000.0
    assert quarantine.claim_trial(entry, "a", now_ms) is not None
    quarantine.record_crash(crash(now_ms + 90.0, "t"), now_ms + 90.0)
    assert quarantine.find("s", "t").trial_delay_ms == delay_ms
