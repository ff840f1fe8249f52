import json
import os

import pytest

from hollycart import observe
from hollycart_core import base

decisions = observe.decisions


@pytest.fixture
def clock():
    return base.ManualClock(1000.0)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def log(clock, pipe):
    return observe.DecisionLog("edge-1", clock, pipe[1])


def read_lines(pipe):
    return [json.loads(x) for x in os.read(pipe[0], 1 << 20).splitlines()]


def failed(number):
    return decisions.Failed(f"r{number}", 503, "x", "", 0, None, 1, 0.0, 1.0)


def test_line_is_json_with_time_and_instance(log, pipe):
    log.write(decisions.EndpointUnreachable("e1"))
    log.flush()
    assert read_lines(pipe) == [
        {
            "time_ms": 1000.0,
            "instance": "edge-1",
            "event": "endpoint_unreachable",
            "endpoint": "e1",
        }
    ]


def test_lines_above_the_limit_are_counted_as_suppressed(log, pipe, clock):
    for _ in range(300):
        log.write(decisions.EndpointUnreachable("e1"))
    clock.sleep_ms(1000)
    log.write(decisions.EndpointReachable("e1"))
    log.flush()
    events = [x["event"] for x in read_lines(pipe)]
    assert events.count("endpoint_unreachable") == 200
    assert "suppressed" in events


def test_failed_decisions_are_not_rate_limited(log):
    for number in range(500):
        log.write(failed(number))
    assert log._buffer.count(b"\n") == 500


def test_stalled_reader_does_not_block_and_dropped_lines_are_counted(log):
    for number in range(20000):
        log.write(failed(number))
        if number % 500 == 0:
            log.flush()
    log.flush()
    assert log.dropped > 0
    assert len(log._buffer) <= 256 * 1024


def test_writes_to_a_closed_pipe_do_not_raise(clock):
    reader, writer = os.pipe()
    os.close(reader)
    log = observe.DecisionLog("edge-1", clock, writer)
    log.write(decisions.EndpointUnreachable("e1"))
    log.flush()
    log.write(decisions.EndpointUnreachable("e2"))
    log.flush()
    os.close(writer)
    assert log.counts["endpoint_unreachable"] == 2


def test_event_names_are_unique():
    tags = [d.__struct_config__.tag for d in decisions.DECISIONS]
    assert len(set(tags)) == len(tags)


def test_metrics_page_contains_counters_times_and_gauges():
    metrics = observe.Metrics()
    metrics.count("answered.200", 3)
    metrics.record("first_event", "team-a", "route-1", 90.0)
    page = observe.MetricsPage(metrics, lambda: {"running": 2.0}).render()
    text = page.decode()
    assert 'hollycart_events_total{name="answered.200"} 3.0' in text
    assert 'team="team-a"' in text
    assert "hollycart_running 2.0" in text
