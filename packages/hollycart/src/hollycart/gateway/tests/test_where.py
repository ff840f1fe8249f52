"""Dry runs of placements, against the placements of real requests."""

import itertools
import random
import types

import msgspec
import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _history
from hollycart.gateway import _permits
from hollycart.gateway import _where
from hollycart.gateway.tests import test_cold
from hollycart_core import base
from hollycart_core import crashes
from hollycart_core import dry_run
from hollycart_core import kv
from hollycart_core import placement

TOKENS = 5000
WAIT_MS = 9000.0
_PLAIN = (str, bytes, int, float, bool, type(None))


def state_of(found, seen=None):
    """Returns all that can be reached from an object, comparable by value."""
    seen = set() if seen is None else seen
    if isinstance(found, _PLAIN):
        return found
    if isinstance(found, random.Random):
        return found.getstate()
    if isinstance(found, itertools.count | msgspec.Struct):
        return repr(found)
    if id(found) in seen:
        return "seen"
    seen.add(id(found))
    if isinstance(found, dict):
        return {repr(k): state_of(v, seen) for k, v in found.items()}
    if isinstance(found, list | tuple):
        return [state_of(v, seen) for v in found]
    if isinstance(found, set | frozenset):
        return sorted(map(repr, found))
    if type(found).__module__.startswith("hollycart"):
        return state_of(getattr(found, "__dict__", repr(found)), seen)
    return type(found).__name__


class Relay:
    """Keeps the placements of real requests and answers them at once."""

    def __init__(self):
        self.chosen = []

    def run(self, request, progress, chosen, conn, attempt_id, recorder):
        del conn, attempt_id, recorder
        progress.possible_executions += 1
        self.chosen.append(chosen)
        request.exchange.respond(200, (), b"")


class Site(test_cold.ColdFleet):
    """A fleet, one of whose instances is asked and then sent the request."""

    def __init__(self, codec, config, instances=3, endpoints=6):
        super().__init__(codec, config, instances, endpoints=endpoints)
        self.asked = self.instances[0]
        self.forwarder = self.asked.forwarder
        self.relay = self.forwarder._attempt_relay = Relay()
        self.forwarder.reserver = types.SimpleNamespace(
            reserve=lambda *args: None, release=lambda *args: None
        )
        self.call("/free/", self.asked)
        # A cache that placements fill.
        self.forwarder.chooser.model(config.services["svc"].engine)

    def evacuate(self, *zones):
        self.revision += 1
        snapshot = self.asked.state.snapshot._replace(
            revision=self.revision,
            digest=self.revision,
            evacuated={z: kv.Position(0, self.revision) for z in zones},
        )
        raw = _history.RawState(kv.RangeResult(self.revision, ()), 1)
        self.asked.state.apply(raw, snapshot, self.clock.now_ms())
        self.forwarder.evacuation.refresh()
        self.forwarder.cold.follow_state()

    def load(self, endpoint, count, ready_in_ms, team="team-a"):
        """Adds prompts in prefill at an endpoint."""
        now_ms = self.clock.now_ms()
        for number in range(count):
            assignment = placement.Assignment(
                f"{endpoint.id}.{number}.{team}", endpoint.id, True, False,
                300.0, now_ms + ready_in_ms, now_ms + ready_in_ms,
                now_ms + 300.0, 200.0, TOKENS, TOKENS, 1.0, team,
            )  # fmt: skip
            self.forwarder.peers.view.add("peer", [assignment])

    def ask(self, path="/stream/", tokens=TOKENS, wait_ms=WAIT_MS, **fields):
        """Returns the answer; it must not have changed anything."""
        query = dry_run.Query(
            "h", path, "POST", fields.get("team", "team-a"), tokens, 100,
            wait_ms, "r",
        )  # fmt: skip
        before = state_of([i.forwarder for i in self.instances])
        sent = self.network.datagrams
        answer = _where.PlacementDryRun(self.forwarder).run(query)
        assert state_of([i.forwarder for i in self.instances]) == before
        assert self.network.datagrams == sent
        return answer

    def send(self, path="/stream/", tokens=TOKENS, wait_ms=WAIT_MS):
        """Sends the real request; returns exchange, code and placement."""
        exchange = test_cold.test_limits.virtual.Exchange(
            path, "r", self.clock.now_ms(), tokens
        )
        wait = (b"Wait", str(wait_ms).encode())
        exchange.head = exchange.head._replace(
            headers=(*exchange.head.headers, wait)
        )
        counters = self.forwarder.metrics.counters
        before, placed = counters.copy(), len(self.relay.chosen)
        self.forwarder.handle(exchange)
        failed = [k for k in counters - before if k.startswith("failed.")]
        chosen = self.relay.chosen[placed:]
        return exchange, failed, chosen[0] if chosen else None

    def check(self, *request):
        """Returns an answer after comparing it with the real placement."""
        answer = self.ask(*request)
        exchange, failed, chosen = self.send(*request)
        if answer.refusal is not None:
            assert failed == [f"failed.{answer.refusal.code}"]
            assert exchange.status == answer.refusal.status
            after_ms = answer.refusal.retry_after_ms
            if answer.refusal.is_minimum:
                assert exchange.retry_after_ms >= after_ms - 0.1
            else:
                assert exchange.retry_after_ms == pytest.approx(
                    after_ms, abs=0.1
                )
            return answer
        assert answer.chosen.endpoint == chosen.endpoint.id
        assert answer.chosen.helpers == [h.id for h in chosen.helpers]
        assert answer.chosen.reservations == {
            r.endpoint.id: r.tokens for r in chosen.reservations
        }
        if chosen.assignments:
            assert answer.chosen.loss == round(chosen.predicted_loss, 3)
        return answer


@pytest.fixture(autouse=True)
def short_reply_timeout(monkeypatch):
    """A datagram that is not delivered at once has been lost."""
    monkeypatch.setattr(_permits, "_REPLY_TIMEOUT_MS", 0.5)


@pytest.fixture
def site(plain_codec, config):
    service = config.services["svc"]
    config.services["svc"] = service._replace(
        cold_start_ms=3000.0, cold_per_s=14.0
    )
    return Site(plain_codec, config)


def leave(site, e):
    site.forwarder.restrictions.record_leaving(e.id, e.born_ms)


def replace(site, e):
    site.forwarder.restrictions.record_replaced(e.id, e.born_ms, e.written)


def pause(site, e):
    now_ms = site.clock.now_ms()
    site.forwarder.restrictions.record_pause(e, 700.0, now_ms)


def limit(site, e):
    now_ms = site.clock.now_ms()
    site.forwarder.limits.record(
        placement.RateStatement(e.id, 0, 0.1, now_ms, now_ms)
    )
    assert not site.forwarder.permits.acquire("other", e)


def cool(site, e):
    site.restart_endpoints([e.id])
    listed = next(x for x in site.endpoints if x.id == e.id)
    for number in itertools.count():
        if not site.forwarder.permits.acquire(f"o{number}", listed):
            return


def evacuate(site, e):
    site.evacuate(e.zone)


def evacuate_late(site, e):
    site.forwarder.evacuation.set_bound(9000.0)
    site.evacuate(e.zone)


def lose(site, e):
    site.forwarder.health.mark_unreachable(e.id)


def eject(site, e):
    site.forwarder.health.record_timeout(e.id, site.clock.now_ms())


EXCLUSIONS = {
    "leaving": leave,
    "replaced": replace,
    "paused": pause,
    "limited": limit,
    "cold": cool,
    "evacuated": evacuate,
    "last_resort": evacuate_late,
    "unreachable": lose,
    "ejected": eject,
}


@pytest.mark.parametrize("tokens", [0, TOKENS, 100_000])
@pytest.mark.parametrize("name", EXCLUSIONS)
def test_excluded_endpoint_is_named_with_its_reason(site, name, tokens):
    """Guards against an answer that the placement of a request contradicts."""
    e = site.endpoints[0]
    EXCLUSIONS[name](site, e)
    answer = site.check("/stream/", tokens)
    found = {c.endpoint: c for c in answer.candidates}
    assert found[e.id].exclusions == [name]
    assert answer.chosen.endpoint != e.id
    assert e.id not in answer.chosen.helpers
    assert not answer.candidates[0].exclusions
    if name in ("paused", "limited", "cold"):
        assert found[e.id].wait_ms > 0.0
    accepting = site.forwarder.chooser.candidates.accepting(
        "svc", site.clock.now_ms()
    )
    soft = {"unreachable", "ejected"}
    assert {x.id for x in accepting} == {
        c.endpoint for c in found.values() if set(c.exclusions) <= soft
    }


def test_prediction_is_that_of_the_only_endpoint_used(site):
    site.load(site.endpoints[1], 3, 900.0)
    answer = site.check()
    found = {c.endpoint: c for c in answer.candidates}
    assert answer.candidates[0].endpoint == answer.chosen.endpoint
    assert answer.candidates[0].loss == answer.chosen.loss
    assert found["e1"].first_event_ms > 900.0
    assert found["e1"].running == 3
    losses = [c.loss for c in answer.candidates]
    assert losses == sorted(losses)


def no_config(site):
    site.asked.state.snapshot = None


def stale(site):
    site.clock.sleep_ms(9000.0)


def stop(site):
    site.forwarder.admission.stop()


def evacuate_all(site):
    site.evacuate("a", "b", "c")


def pause_all(site):
    for e in site.endpoints:
        pause(site, e)


def limit_all(site):
    for e in site.endpoints:
        limit(site, e)


def remove_all(site):
    site.asked.state.endpoints.clear()


def overload(site):
    for e in site.endpoints:
        site.load(e, 10, 30_000.0)


def exceed_share(site):
    site.forwarder.apply_policy(gateway.PolicySettings(fair_shares=True))
    for e in site.endpoints:
        site.load(e, 6, 3000.0)
        site.load(e, 1, 3000.0, "team-b")


def quarantine(site, trial_in_ms=5000.0):
    (request,) = site.requests
    now_ms = site.clock.now_ms()
    trait = crashes.request_trait(request)
    site.forwarder.guard.quarantine.merge(
        crashes.QuarantineEntry(
            "svc", trait, frozenset([trait]), 1, False, now_ms + trial_in_ms,
            0, 2000.0, now_ms,
        ),
        now_ms,
    )  # fmt: skip


REFUSALS = {
    "no_config": (no_config, "stale_config"),
    "stale": (stale, "stale_config"),
    "stop": (stop, "stopping"),
    "evacuate_all": (evacuate_all, "zones_evacuated"),
    "pause_all": (pause_all, "overloaded"),
    "limit_all": (limit_all, "overloaded"),
    "remove_all": (remove_all, "no_endpoint"),
    "overload": (overload, "overloaded"),
    "exceed_share": (exceed_share, "overloaded"),
}


@pytest.mark.parametrize("name", REFUSALS)
def test_refusal_is_that_of_a_real_request(site, name):
    """Guards against another code or Retry-After than the caller gets."""
    prepare, code = REFUSALS[name]
    prepare(site)
    answer = site.check()
    assert answer.refusal.code == code
    assert answer.chosen is None
    assert answer.refusal.is_minimum == (name in ("pause_all", "limit_all"))
    if name not in ("no_config", "remove_all"):
        assert (answer.route, answer.service) == ("/stream/", "svc")
        assert len(answer.candidates) == len(site.endpoints)


def test_second_late_prompt_is_told_a_later_time(site):
    """The returns that were planned for real callers count, those asked not."""
    exceed_share(site)
    times_ms = [site.check().refusal.retry_after_ms for _ in range(3)]
    assert times_ms == sorted(set(times_ms))


def test_prompt_without_memory_or_time_is_refused(site):
    assert site.check("/stream/", 500_000).chosen.reservations
    answer = site.check("/stream/", 5_000_000)
    assert answer.refusal.code == "memory_unavailable"
    assert {tuple(c.exclusions) for c in answer.candidates} == {("memory",)}
    refusal = site.ask("/stream/", TOKENS, 10.0).refusal
    exchange, failed, _ = site.send("/stream/", TOKENS, 10.0)
    assert failed == [f"failed.{refusal.code}"] == ["failed.deadline_exceeded"]
    assert exchange.status == refusal.status


def test_quarantine_is_told_as_far_as_the_request_is_known(site, monkeypatch):
    site.requests = []
    guard = site.forwarder.guard
    admit = guard.admit
    monkeypatch.setattr(
        guard, "admit",
        lambda r, p: (site.requests.append(r.fingerprint), admit(r, p)),
    )  # fmt: skip
    site.check()
    quarantine(site)
    refusal = site.check()
    assert refusal.refusal.code == "quarantined"
    assert refusal.refusal.is_minimum
    assert refusal.quarantined
    assert site.ask("/free/").chosen is not None
    site.clock.sleep_ms(5000.0)
    for instance in site.instances:
        instance.state.freshness.confirm(site.clock.now_ms())
    assert site.check().chosen.is_trial


def test_unknown_names_are_told_apart(site):
    with pytest.raises(base.NotFoundError):
        site.ask("/nowhere/")
    refusal = site.ask(team="team-x").refusal
    assert (refusal.status, refusal.code) == (401, "invalid_api_key")
    assert site.ask(team="").chosen is not None
    assert site.ask("/free/", team="team-x").chosen is not None


def test_other_cells_are_not_asked(site):
    """Guards against an offer that occupies slots for a prompt never sent."""
    cells = (frozenset("a"), frozenset("bc"))
    for instance in site.instances:
        instance.peers.set_cells(cells)
    answer = site.ask()
    assert not answer.offer.is_made
    own = [e for e in site.endpoints if e.zone == "a"]
    out = {c.endpoint for c in answer.candidates if c.exclusions}
    assert out == {e.id for e in site.endpoints} - {e.id for e in own}
    for e in own:
        site.load(e, 10, 2000.0)
    answer = site.ask()
    assert answer.offer.is_made
    assert answer.offer.own_loss >= answer.offer.from_loss
    assert len(answer.offer.cells) == 1
    assert site.send()[2].endpoint.zone != "a"


@pytest.mark.parametrize("seed", range(10))
def test_decision_to_leave_the_zone_agrees(site, seed):
    """Guards against a preview that uses up what may leave the zone."""
    rng = random.Random(seed)
    cells = (frozenset("a"), frozenset("b"), frozenset("c"))
    for instance in site.instances:
        instance.peers.set_cells(cells)
        instance.forwarder.apply_policy(
            gateway.PolicySettings(
                cold_overage=1.5, cold_slack=5.0, tolerated_zones=1
            )
        )
    site.advance(2100.0)
    count, ready_in_ms = rng.choice([4, 8, 12]), rng.uniform(10.0, 2000.0)
    for e in site.endpoints:
        if e.zone == "a":
            site.load(e, count, ready_in_ms)
    counters = site.forwarder.metrics.counters
    for _ in range(6):
        tokens = rng.choice([0, TOKENS, 30_000])
        answer = site.ask("/stream/", tokens)
        before = counters.copy()
        site.send("/stream/", tokens)
        offered = [k for k in counters - before if k.startswith("spill_off")]
        if tokens:
            assert answer.offer.weighs_gain
            assert answer.offer.is_made == bool(offered)
        if not offered:
            chosen = site.relay.chosen[-1]
            assert answer.chosen.endpoint == chosen.endpoint.id


def test_needed_permit_is_named_and_not_taken(site):
    for e in site.endpoints:
        now_ms = site.clock.now_ms()
        site.forwarder.limits.record(
            placement.RateStatement(e.id, 0, 5.0, now_ms, now_ms)
        )
    assert site.ask().chosen.needs_permit


def test_answer_is_bounded_with_many_endpoints(plain_codec, config):
    site = Site(plain_codec, config, 2, 2400)
    site.asked.peers.set_cells((frozenset("a"), frozenset("bc")))
    for e in site.endpoints[:1000]:
        pause(site, e)
    answer = site.ask()
    assert len(answer.candidates) == 50
    assert not any(c.exclusions for c in answer.candidates)
    omitted = answer.omitted
    assert omitted.endpoints == 2350
    assert omitted.by_exclusion["paused"] == 1000
    assert omitted.by_exclusion["other_cell"] == 1600
    assert len(msgspec.json.encode(answer)) < 20_000


@pytest.mark.parametrize("seed", range(20))
def test_answers_agree_with_placements_under_random_causes(site, seed):
    """Several causes at once, and load that differs between endpoints."""
    rng = random.Random(seed)
    for _ in range(3):
        name = rng.choice(list(EXCLUSIONS))
        EXCLUSIONS[name](site, rng.choice(site.endpoints))
    for e in site.endpoints:
        site.load(e, rng.randrange(4), rng.uniform(10.0, 1500.0))
    for _ in range(4):
        tokens = rng.choice([0, TOKENS, 30_000, 200_000])
        path = rng.choice(["/stream/", "/once/", "/free/"])
        before = site.ask(path, tokens)
        if before.chosen is None or not before.chosen.needs_permit:
            site.check(path, tokens)


def test_dry_runs_write_no_log(site, monkeypatch):
    lines = []
    monkeypatch.setattr(
        observe.DecisionLog, "write", lambda self, line: lines.append(line)
    )
    exceed_share(site)
    site.ask()
    assert not lines
