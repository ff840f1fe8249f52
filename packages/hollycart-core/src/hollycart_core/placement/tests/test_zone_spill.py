"""Decisions on leaving the zone, with fake zones that have slots and queues."""

import collections
import math
import random

import pytest

from hollycart_core import placement
from hollycart_core.placement import _spill_share

SERVICE = "s"
ANSWER_MS = 4000.0
STEP_MS = 100.0
SLOTS = 120
ROOMY = placement.ServiceRoom(100, SLOTS)
FULL = placement.ServiceRoom(0, SLOTS, 1.0)
BODY = 20000
# Bytes that cross for prompts of several lengths, most of them short.
SIZES = (2000, 5000, 20000, 20000, 50000, 200000, 2000000)
ENDPOINT = placement.Endpoint("e", "", SERVICE, "a", 6)


def make_prompt(**changes):
    prompt = placement.Prompt(
        "x", 5000, 1500, 300.0, 9000.0, 200.0, "a", usual_tokens=5000.0
    )
    return prompt._replace(**changes)


def placed(loss, first_event_ms=400.0):
    return placement.Placement(ENDPOINT, (), (), first_event_ms, loss)


def make_spill(rooms, made_ms=0.0, instances=20):
    directory = placement.CellDirectory()
    for cell, room in rooms.items():
        directory.record(
            placement.CellReport(
                cell,
                instances,
                {SERVICE: min(10, room.free_slots)},
                made_ms,
                {SERVICE: room},
            )
        )
    return placement.ZoneSpill(directory)


def decide(spill, own, home=FULL, now_ms=0.0, price=0.0, seed=1, cells="bc"):
    return spill.decide(
        make_prompt(),
        SERVICE,
        own,
        placement.HomeState(home, 1),
        list(cells),
        BODY,
        price,
        now_ms,
        random.Random(seed),
    )


def test_late_prompt_leaves_for_a_cell_with_room():
    offer = decide(make_spill({"b": ROOMY}), placed(2.0))
    assert offer.cell == "b"
    cost = offer.round_trip_loss + offer.crossing_loss
    assert offer.gain - cost > offer.error
    assert offer.max_loss < 2.0 - cost


@pytest.mark.parametrize(
    ("own", "rooms", "now_ms"),
    [
        pytest.param(placed(0.1), {"b": ROOMY}, 0.0, id="served well"),
        pytest.param(placed(2.0), {"b": FULL}, 0.0, id="no room elsewhere"),
        pytest.param(
            placed(1.5),
            {"b": placement.ServiceRoom(3, SLOTS)},
            0.0,
            id="would displace others",
        ),
        pytest.param(placed(2.0), {"b": ROOMY}, 2900.0, id="old summary"),
        pytest.param(placed(2.0), {"b": ROOMY}, 9000.0, id="dark zone"),
        pytest.param(placed(2.0), {}, 0.0, id="never heard of"),
        pytest.param(
            None,
            {"b": placement.ServiceRoom(0, 0)},
            0.0,
            id="evacuated or cold, though the own cell has nothing",
        ),
    ],
)
def test_prompt_stays(own, rooms, now_ms):
    assert decide(make_spill(rooms), own, now_ms=now_ms, cells="b") is None


def test_prompt_stays_if_the_own_cell_has_more_room():
    """A long prompt may be costly at home although slots are free."""
    home = placement.ServiceRoom(110, SLOTS)
    assert decide(make_spill({"b": ROOMY}), placed(1.5), home) is None


@pytest.mark.parametrize("own", [None, placed(9.0, first_event_ms=99999.0)])
def test_refused_prompt_asks_a_dark_zone(own):
    """Without room at home, a cell that nobody heard of is the last way."""
    offer = decide(make_spill({}), own, cells="b")
    assert (offer.cell, offer.age_ms, offer.slots_left) == ("b", None, None)
    assert math.isinf(offer.max_loss) == (own is None)


def test_older_summaries_count_less():
    spill = make_spill({"b": ROOMY})
    offers = [decide(spill, placed(2.0), now_ms=t) for t in (0.0, 1500.0)]
    assert offers[1].gain == pytest.approx(offers[0].gain / 2.0, rel=0.01)


def test_silent_cell_is_asked_again_after_a_newer_summary():
    """Partition between zones: each prompt would wait for the timeout."""
    spill = make_spill({"b": ROOMY})
    spill.record_silence(decide(spill, placed(2.0)), 10.0)
    assert decide(spill, placed(2.0), now_ms=20.0) is None
    assert decide(spill, None, now_ms=20.0) is not None
    report = spill.directory.find("b", 20.0)
    spill.directory.record(report._replace(made_ms=30.0))
    assert decide(spill, placed(2.0), now_ms=40.0) is not None


def test_summary_without_rooms_counts_by_its_open_endpoints():
    """Instances of an earlier version report open endpoints only."""
    directory = placement.CellDirectory()
    directory.record(placement.CellReport("b", 1, {SERVICE: 9}, 0.0))
    assert decide(placement.ZoneSpill(directory), placed(2.0)).cell == "b"


def test_wrong_expectations_raise_the_error_for_a_time():
    spill = make_spill({"b": ROOMY})
    before = spill.error(0.0)
    for _ in range(10):
        spill.record_declined(decide(spill, placed(2.0)), 3.0, 0.0)
    assert spill.error(0.0) > 2.0 * before
    assert spill.error(60000.0) == pytest.approx(before, rel=0.01)


def test_slow_replies_raise_the_cost():
    spill = make_spill({"b": ROOMY})
    first = decide(spill, placed(2.0))
    for _ in range(30):
        spill.record_placed(first, first.expected_loss, 20.0, 0.0)
    later = decide(spill, placed(2.0), seed=3, now_ms=1500.0)
    assert later.round_trip_loss > first.round_trip_loss


@pytest.mark.parametrize(("loss", "excess"), [(1.75, 1.0), (3.1, 1.5)])
def test_herd_does_not_fill_a_cell_on_one_view(loss, excess):
    """60 instances have the same view of 1 s and 10 late or lost prompts each.

    Prompts that would be lost at home may also form a short queue elsewhere.
    """
    for seed in range(20):
        sent = collections.Counter()
        for instance in range(60):
            spill = make_spill(
                {"b": placement.ServiceRoom(60, SLOTS), "c": ROOMY}, 0.0, 1
            )
            rng = random.Random(seed * 100 + instance)
            for number in range(10):
                offer = spill.decide(
                    make_prompt(),
                    SERVICE,
                    placed(loss),
                    placement.HomeState(FULL, 60),
                    ["b", "c"],
                    BODY,
                    0.0,
                    number * 99.0,
                    rng,
                )
                if offer is not None:
                    sent[offer.cell] += 1
        assert 10 <= sent["b"] <= excess * 60
        assert 20 <= sent["c"] <= excess * 100


def test_sends_of_all_instances_fill_half_of_the_room():
    """Parts of a prompt add up over the instances that act on one view."""
    rng = random.Random(1)
    count = 0
    for _ in range(600):
        share = _spill_share.SpillShare()
        while share.unseen("b", 600, 0.0, rng) <= 300.0:
            share.take("b")
            count += 1
    assert count == pytest.approx(150, rel=0.2)


class FakeZone:
    """Slots that answers occupy, and a queue in front of them."""

    def __init__(self, name, instances, directory_seed):
        self.name = name
        self.ends_ms = []
        self.waiting = 0
        self.rngs = [
            random.Random(f"{directory_seed}{name}{i}")
            for i in range(instances)
        ]
        self.spills = [
            placement.ZoneSpill(placement.CellDirectory())
            for _ in range(instances)
        ]
        self.losses = placement.RecentLosses()

    def advance(self, now_ms):
        self.ends_ms = [e for e in self.ends_ms if e > now_ms]
        while self.waiting and len(self.ends_ms) < SLOTS:
            self.waiting -= 1
            self.ends_ms.append(now_ms + ANSWER_MS)

    def place(self):
        """Returns the placement that the zone's own view predicts."""
        queued = self.waiting + len(self.ends_ms) - SLOTS + 1
        wait_ms = max(0.0, queued * ANSWER_MS / SLOTS)
        late = min(1.0, max(0.0, (wait_ms - 80.0) / 150.0))
        return placed(0.1 + 1.7 * late + 0.0003 * wait_ms, 70.0 + wait_ms)

    def add(self, loss, now_ms):
        self.losses.record(SERVICE, loss / make_prompt().weight, now_ms)
        if len(self.ends_ms) < SLOTS:
            self.ends_ms.append(now_ms + ANSWER_MS)
        else:
            self.waiting += 1

    def room(self, now_ms):
        return placement.ServiceRoom(
            SLOTS - len(self.ends_ms), SLOTS, self.losses.mean(SERVICE, now_ms)
        )


class Play:
    """What two zones did under a load."""

    def __init__(self, load, price=0.0, instances=30, seconds=30):
        rng = random.Random(7)
        zones = [FakeZone(n, instances, price and 1) for n in "ab"]
        self.arrived = collections.Counter()
        self.crossed = collections.Counter()
        self.late = 0
        self.crossed_at = collections.Counter()
        self.crossed_bytes = 0
        for step in range(round(seconds * 1000.0 / STEP_MS)):
            now_ms = step * STEP_MS
            for zone in zones:
                zone.advance(now_ms)
            if now_ms % 1000.0 == 0.0:
                self._report(zones, now_ms)
            for zone, other in (zones, zones[::-1]):
                per_step = load(zone.name, now_ms / 1000.0) * STEP_MS / 1000.0
                for _ in range(math.floor(per_step + rng.random())):
                    self._arrive(zone, other, now_ms, price, rng)

    def _report(self, zones, now_ms):
        for zone, other in (zones, zones[::-1]):
            report = placement.CellReport(
                other.name,
                len(other.spills),
                {},
                now_ms,
                {SERVICE: other.room(now_ms)},
            )
            for spill in zone.spills:
                spill.directory.record(report)

    def _arrive(self, zone, other, now_ms, price, rng):
        self.arrived[zone.name] += 1
        number = rng.randrange(len(zone.spills))
        spill, own = zone.spills[number], zone.place()
        size = rng.choice(SIZES)
        offer = spill.decide(
            make_prompt(),
            SERVICE,
            own,
            placement.HomeState(zone.room(now_ms), len(zone.spills)),
            [other.name],
            size,
            price,
            now_ms,
            zone.rngs[number],
        )
        chosen, there = zone, other.place()
        if offer is not None and there.predicted_loss <= offer.max_loss:
            spill.record_placed(offer, there.predicted_loss, 2.0, now_ms)
            chosen, own = other, there
            self.crossed[zone.name] += 1
            self.crossed_bytes += size
            self.crossed_at[round(now_ms // 1000.0)] += 1
        elif offer is not None:
            spill.record_declined(offer, 2.0, now_ms)
        chosen.add(own.predicted_loss, now_ms)
        self.late += own.first_event_ms > make_prompt().target_ms


def steady(a, b):
    return lambda zone, second: a if zone == "a" else b


def test_calm_load_stays_in_its_zone():
    play = Play(steady(18.0, 15.0))
    assert play.crossed.total() <= 0.005 * play.arrived.total()


def test_overloaded_zone_sends_its_excess():
    """Each zone serves 30 prompts a second; one gets 36, the other 15."""
    play, alone = (Play(steady(36.0, 15.0), price) for price in (0.0, 1e9))
    assert play.crossed["b"] == alone.crossed.total() == 0
    assert play.crossed["a"] >= 0.1 * play.arrived["a"]
    assert play.late < 0.25 * alone.late


def test_full_zones_do_not_exchange_their_prompts():
    play = Play(steady(36.0, 36.0))
    assert play.crossed.total() <= 0.02 * play.arrived.total()


def test_load_returns_home_when_a_step_is_over():
    def load(zone, second):
        return 40.0 if zone == "a" and 5 <= second < 15 else 15.0

    play = Play(load, seconds=30)
    assert play.crossed["b"] == 0
    assert play.crossed["a"] > 20
    # The answers of the step have ended after one more answer.
    assert not any(play.crossed_at[second] for second in range(20, 30))


def wave(zone, second):
    """Callers move between the zones with a period of 11 s."""
    swing = math.sin(2.0 * math.pi * second / 11.0)
    return 22.0 + (22.0 if zone == "a" else -22.0) * swing


def test_wave_between_the_zones_leaves_from_its_crest_only():
    play = Play(wave, seconds=44)
    alone = Play(wave, price=1e9, seconds=44)
    assert alone.crossed.total() == 0
    assert play.late < 0.5 * alone.late
    assert play.crossed.total() < 0.3 * play.arrived.total()


def test_share_that_crosses_follows_the_price():
    """The price of a GB differs between deployments by more than five times."""
    plays = [
        Play(wave, price, seconds=44) for price in (2000.0, 20000.0, 200000.0)
    ]
    prompts = [p.crossed.total() for p in plays]
    sizes = [p.crossed_bytes for p in plays]
    assert prompts[0] > prompts[1] > prompts[2] > 0
    assert sizes[0] > 1.2 * sizes[1] > 1.2 * 1.2 * sizes[2]
