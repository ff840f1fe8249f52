"""Requests that crash engines and are sent again, at fleets in virtual time."""

import eventlet
import pytest

from hollycart.gateway import _peers
from hollycart.gateway.tests import crashing_fleet

KINDS = [("/again/", ()), ("/once/", ()), ("/stream/", ("f", "u"))]
MAX_LATE = 3  # the users' rule


@pytest.fixture
def make_fleet(plain_codec, config, monkeypatch):
    """Returns fleets by their numbers of instances and engines."""
    monkeypatch.setattr(_peers, "_BATCH_WINDOW_MS", 0.0)

    def make(instances, engines, zones="abc"):
        return crashing_fleet.Fleet(
            plain_codec, config, monkeypatch, instances, engines, zones
        )

    return make


def load_sound(fleet, per_s, seconds):
    """Sends sound requests of all kinds, each with another body."""
    for path, segments in KINDS:
        fleet.load(per_s / 3.0, lambda s=segments: s, seconds, path=path)


@pytest.mark.parametrize(("path", "segments"), KINDS)
@pytest.mark.parametrize(
    ("instances", "engines", "per_s"),
    [(4, 8, 20.0), (6, 3, 9.0), (30, 24, 30.0), (300, 48, 60.0)],
)
def test_request_that_crashes_engines_stops_reaching_them(
    make_fleet, instances, engines, per_s, path, segments
):
    fleet = make_fleet(
        instances, engines, "abcdef" if instances > 100 else "abc"
    )
    load_sound(fleet, per_s, 20.0)
    fleet.run(3.0)
    fleet.crashing = {b"crash"}
    fleet.load(1.5, lambda: segments, 17.0, path=path, body=b"crash")
    fleet.run(17.0)
    assert len(fleet.crashes) >= 3
    assert len(fleet.late_repeats(b"crash")) <= MAX_LATE
    since_ms = fleet.crashes[2][0] + 2.0 * crashing_fleet.CONTACT_MS
    assert fleet.share_answered(since_ms, since_ms + 5000.0) >= 0.95


def crash_at_random(fleet, gap_s, seconds):
    """Lets engines crash for reasons of their own."""
    end_ms = fleet.clock.now_ms() + seconds * 1000.0

    def crash():
        while fleet.clock.now_ms() < end_ms:
            fleet.clock.sleep_ms(gap_s * 1000.0 * fleet.rng.uniform(0.5, 1.5))
            alive = [e for e in fleet.engines.values() if e.alive]
            if alive:
                fleet.crash(fleet.rng.choice(alive))

    eventlet.spawn(crash)


def is_quarantined(fleet, body):
    """Returns whether any call with a body was refused for its traits."""
    return any(
        exchange.status == 503 and exchange.retry_after_ms > 1500.0
        for exchange, _, _ in fleet.calls
        if exchange.body == body
    )


@pytest.mark.parametrize(("path", "segments"), KINDS)
@pytest.mark.parametrize(
    ("instances", "engines", "gap_s"), [(4, 8, 1.0), (6, 3, 3.0), (30, 24, 0.4)]
)
def test_sound_request_that_is_repeated_is_served_while_engines_crash(
    make_fleet, instances, engines, gap_s, path, segments
):
    fleet = make_fleet(instances, engines)
    load_sound(fleet, 6.0, 32.0)
    fleet.load(3.0, lambda: segments, 30.0, path=path, body=b"same")
    crash_at_random(fleet, gap_s, 28.0)
    fleet.run(33.0)
    assert not is_quarantined(fleet, b"same")
    start_ms = fleet.calls[0][2]
    share = fleet.share_answered(start_ms, start_ms + 29000.0, b"same")
    assert share >= 0.9


@pytest.mark.parametrize(("path", "segments"), KINDS)
def test_sound_requests_that_run_beside_it_are_served(
    make_fleet, path, segments
):
    """One of them is the same each time, and all run on three engines."""
    fleet = make_fleet(6, 3)
    load_sound(fleet, 9.0, 18.0)
    fleet.load(4.0, lambda: segments, 18.0, path=path, body=b"same")
    fleet.crashing = {b"crash"}
    fleet.load(1.5, lambda: segments, 17.0, path=path, body=b"crash")
    fleet.run(19.0)
    assert len(fleet.late_repeats(b"crash")) <= MAX_LATE
    since_ms = fleet.crashes[2][0] + 2.0 * crashing_fleet.CONTACT_MS
    assert fleet.share_answered(since_ms, since_ms + 6000.0, b"same") >= 0.95


def test_requests_with_another_path_team_or_body_stay_served(make_fleet):
    fleet = make_fleet(4, 8)
    load_sound(fleet, 9.0, 16.0)
    fleet.crashing = {b"crash"}
    fleet.load(2.0, lambda: ("f",), 16.0, body=b"crash")
    fleet.run(8.0)
    others = [
        fleet.call(("f",), body=b"crash2"),
        fleet.call(("f",), body=b"crash", path="/stream/other"),
        fleet.call((), path="/once/", body=b"crash2"),
    ]
    fleet.crashing = set()
    others.append(fleet.call(("f",), body=b"crash", key=b"key-b"))
    refused = fleet.call(("f",), body=b"crash")
    fleet.run(4.0)
    assert [e.status for e in others] == [200] * 4
    assert refused.status == 503


@pytest.mark.parametrize(("path", "segments"), KINDS)
def test_request_that_no_longer_crashes_engines_is_admitted_again(
    make_fleet, path, segments
):
    fleet = make_fleet(4, 8)
    load_sound(fleet, 9.0, 60.0)
    fleet.crashing = {b"crash"}
    fleet.load(2.0, lambda: segments, 60.0, path=path, body=b"crash")
    fleet.run(10.0)
    crashes = len(fleet.crashes)
    fleet.crashing = set()
    fleet.run(50.0)
    assert len(fleet.crashes) == crashes
    latest = [e for e, _, _ in fleet.calls[:-60] if e.body == b"crash"][-10:]
    assert [e.status for e in latest] == [200] * 10


def test_trials_of_a_request_that_still_crashes_engines_grow_rare(make_fleet):
    fleet = make_fleet(4, 8)
    load_sound(fleet, 9.0, 100.0)
    fleet.crashing = {b"crash"}
    fleet.load(2.0, lambda: (), 100.0, path="/again/", body=b"crash")
    fleet.run(100.0)
    assert len(fleet.late_repeats(b"crash")) <= MAX_LATE


@pytest.mark.parametrize(("path", "segments"), KINDS)
def test_instances_that_restart_or_lose_datagrams_know_the_request(
    make_fleet, path, segments
):
    fleet = make_fleet(6, 12)
    fleet.network.loss = 0.2
    load_sound(fleet, 15.0, 24.0)
    fleet.crashing = {b"crash"}
    fleet.load(3.0, lambda: segments, 22.0, path=path, body=b"crash")
    fleet.run(5.0)
    for name in list(fleet.instances):
        fleet.start_instance(name)
        fleet.run(2.0)
    fleet.run(6.0)
    assert len(fleet.late_repeats(b"crash")) <= MAX_LATE


def test_refusal_is_at_once_and_true(make_fleet):
    fleet = make_fleet(4, 8)
    load_sound(fleet, 9.0, 14.0)
    fleet.crashing = {b"crash"}
    fleet.load(3.0, lambda: (), 12.0, path="/again/", body=b"crash")
    fleet.run(14.0)
    sent = {s.request_id for s in fleet.sends}
    refused = 0
    for number, (exchange, _, at_ms) in enumerate(fleet.calls):
        if exchange.body != b"crash":
            continue
        if f"r{number}" in sent:
            assert exchange.status == 502
        else:
            refused += 1
            assert exchange.status == 503
            assert exchange.retry_after_ms >= 1000.0
            assert exchange.ended_ms == at_ms
    assert refused >= 20
