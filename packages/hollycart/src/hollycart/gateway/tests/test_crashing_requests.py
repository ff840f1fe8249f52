"""Requests that crash engines and are sent again, at fleets in virtual time."""

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
