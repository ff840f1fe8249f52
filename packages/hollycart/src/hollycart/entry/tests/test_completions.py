import eventlet
import msgspec
import pytest

from hollycart_bench import engine
from hollycart_bench import local

PATH = "/v1/completions"


def _expected_text(prompt, count):
    digest = engine.prompt_digest(prompt.encode())
    return "".join(engine.token_at(digest, n) for n in range(count))


def _body(prompt="hello", count=8, **fields):
    return {
        "model": local.MODEL,
        "prompt": prompt,
        "max_tokens": count,
        **fields,
    }


def _events(response):
    lines = response.body.split(b"\n\n")
    return [
        msgspec.json.decode(line[6:])
        for line in lines
        if line.startswith(b"data: {")
    ]


def _streamed_text(response):
    return "".join(e["choices"][0]["text"] for e in _events(response))


def test_answer_without_stream_has_text_and_usage(system):
    value = system.post(PATH, _body("x" * 400)).json()
    assert value["choices"][0]["text"] == _expected_text("x" * 400, 8)
    assert value["choices"][0]["finish_reason"] == "length"
    assert value["usage"]["prompt_tokens"] == 100
    assert value["usage"]["completion_tokens"] == 8


def test_streamed_answer_ends_with_done(system):
    response = system.post(PATH, _body(stream=True))
    assert response.headers["Content-Type"] == "text/event-stream"
    assert _streamed_text(response) == _expected_text("hello", 8)
    assert response.body.endswith(b"data: [DONE]\n\n")


def test_stream_ends_with_usage_on_request(system):
    options = {"include_usage": True}
    response = system.post(PATH, _body(stream=True, stream_options=options))
    assert _events(response)[-1]["usage"]["completion_tokens"] == 8


def test_chat_completion(system):
    messages = [{"role": "user", "content": "hi"}]
    body = {"model": local.MODEL, "messages": messages, "max_tokens": 4}
    value = system.post("/v1/chat/completions", body).json()
    assert value["object"] == "chat.completion"
    assert value["choices"][0]["message"]["content"] == _expected_text("hi", 4)


@pytest.mark.parametrize(
    "faults",
    [
        {"drop": 1.0},
        {"stray": 1.0, "late": 0.2},
        {"duplicate": 1.0, "reorder": 1.0},
    ],
)
def test_answer_is_complete_under_engine_faults(system, faults):
    for app in system.engines:
        app.faults.set(faults)
    response = system.post(PATH, _body(stream=True))
    assert _streamed_text(response) == _expected_text("hello", 8)
    injected = sum(sum(a.faults.counts.values()) for a in system.engines)
    assert injected > 0


def test_failed_attempt_frees_engine_memory(system):
    for app in system.engines:
        app.faults.set({"drop": 1.0})
    system.post(PATH, _body(stream=True))
    system.wait_for(
        lambda: not any(a.batcher.sequences for a in system.engines)
    )


def test_retries_are_bounded_and_the_error_is_typed(system):
    for app in system.engines:
        app.faults.set({"drop": 1.0})
    response = system.post(PATH, _body(count=200))
    assert response.status == 502
    assert response.json()["error"]["code"] == "endpoint_failed"


def test_deadline_ends_a_request_without_stream(system):
    for app in system.engines:
        app.faults.set({"slow_factor": 400.0})
    headers = {"Hollycart-Deadline-Ms": "600"}
    response = system.post(PATH, _body(), headers=headers)
    assert response.status == 504
    assert response.json()["error"]["code"] == "deadline_exceeded"
    system.wait_for(
        lambda: not any(a.batcher.sequences for a in system.engines)
    )


def test_deadline_ends_a_stream_with_an_error_event(system):
    for app in system.engines:
        app.faults.set({"slow_factor": 10.0})
    headers = {"Hollycart-Deadline-Ms": "1500"}
    response = system.post(PATH, _body(stream=True, count=500), headers=headers)
    last = _events(response)[-1]
    assert last["error"]["code"] == "deadline_exceeded"


def test_prompt_too_large_for_one_engine_is_split(small_engines):
    prompt = "y" * 28_000
    value = small_engines.post(PATH, _body(prompt)).json()
    assert value["choices"][0]["text"] == _expected_text(prompt, 8)
    small_engines.wait_for(
        lambda: not any(a.batcher.sequences for a in small_engines.engines)
    )


def test_failed_reservation_releases_all_reservations(small_engines):
    """One engine has no memory for its part of the prompt.

    Memory that other engines reserved before would otherwise leak.
    """
    full = small_engines.engines[1]
    blocking_sequence = engine.Sequence("other", "", [], 2_500, 0, 0, 0, 0)
    assert full.batcher.reserve(blocking_sequence)
    headers = {"Hollycart-Deadline-Ms": "2500"}
    response = small_engines.post(PATH, _body("y" * 28_000), headers=headers)
    assert response.status in (503, 504, 502)
    full.batcher.cancel("other")
    small_engines.wait_for(
        lambda: not any(a.batcher.sequences for a in small_engines.engines)
    )
    later = small_engines.post(PATH, _body("y" * 28_000))
    assert later.status == 200


def test_prompt_too_large_for_the_pool_is_refused(small_engines):
    response = small_engines.post(PATH, _body("y" * 60_000))
    assert response.status == 413


def test_leaving_engine_receives_no_new_requests(system):
    system.set_entry("e0", leaving=True)
    eventlet.sleep(0.3)
    before = len(system.engines[0].received)
    for number in range(6):
        assert system.post(PATH, _body(f"p{number}"), number % 2).status == 200
    assert len(system.engines[0].received) == before


def test_resumed_instance_reads_the_list_before_it_sends(system):
    """The process was suspended, so its instance list may be outdated.

    Without a read, requests would go to an engine that is leaving.
    """
    first = system.instances[0]
    for task in first._periodic_tasks:
        if task.function == first.directory.refresh:
            task.close()
    system.set_entry("e0", leaving=True)
    first.directory._last_read_ms -= 12_000.0
    before = len(system.engines[0].received)
    for number in range(6):
        assert system.post(PATH, _body(f"q{number}")).status == 200
    assert len(system.engines[0].received) == before


def test_request_moves_away_from_a_silent_engine(system):
    """An engine that lost the attempt and sends nothing fails the attempt."""
    stalled_batcher = system.engines[0].batcher
    system.set_entry("e1", leaving=True)
    eventlet.sleep(0.3)
    system.engines[0].faults.set({"slow_factor": 1e6})
    thread = eventlet.spawn(system.post, PATH, _body())
    system.wait_for(lambda: stalled_batcher.sequences)
    system.set_entry("e1", leaving=False)
    stalled_batcher.sequences.clear()
    assert thread.wait().json()["choices"][0]["text"] == _expected_text(
        "hello", 8
    )


def test_attempt_of_a_failed_instance_is_cancelled(system):
    body = {"prompt": "z", "max_tokens": 9, "request_id": "gone/aa/1"}
    address = system.entries["e0"].address
    system.client.send(
        "POST",
        f"http://{address}/v1/completions",
        msgspec.json.encode({**body, "max_tokens": 4}),
    )
    lost = engine.Sequence("gone/aa/2", "", [], 50, 0, 0, 0, 0)
    assert system.engines[0].batcher.reserve(lost)
    system.wait_for(lambda: not system.engines[0].batcher.sequences)


def test_live_attempt_without_a_permit_is_kept(system):
    """The owner has lost the permit, but its instance confirms the use."""
    system.engines[0].faults.set({"slow_factor": 60.0})
    system.engines[1].faults.set({"slow_factor": 60.0})
    thread = eventlet.spawn(system.post, PATH, _body(count=4))
    system.wait_for(lambda: any(a.batcher.sequences for a in system.engines))
    for instance in system.instances:
        for pool in instance.owner.pools.values():
            for permit_id in list(pool.live_permits):
                pool.release(permit_id, system.clock.now_ms())
    assert thread.wait().json()["choices"][0]["text"] == _expected_text(
        "hello", 4
    )


def test_another_instance_takes_over_the_pool_of_a_failed_owner(system):
    owners = system.instances[0].view.owners(
        f"pool/{local.MODEL}", system.clock.now_ms()
    )
    index = int(owners[0][1:])
    system.instances[index].close()
    other = 1 - index
    assert system.post(PATH, _body(), other).status == 200


def test_response_does_not_wait_for_the_cancel(system):
    """A stalled engine never answers the cancel request."""
    never_sent = eventlet.event.Event()
    for instance in system.instances:
        instance.engine_client.cancel = lambda *args: never_sent.wait()
    for app in system.engines:
        app.faults.set({"slow_factor": 400.0})
    headers = {"Hollycart-Deadline-Ms": "600"}
    response = system.post(PATH, _body(), headers=headers, timeout_ms=10_000)
    assert response.status == 504


def test_concurrent_requests_wait_for_the_list_after_a_suspension(system):
    """Only one of them reads the list; the others must not use the old one."""
    directory = system.instances[0].directory
    for task in system.instances[0]._periodic_tasks:
        if task.function == directory.refresh:
            task.close()
    read_list = directory.source.read

    def slow_read():
        eventlet.sleep(0.1)
        return read_list()

    directory.source.read = slow_read
    system.set_entry("e0", leaving=True)
    directory._last_read_ms -= 12_000.0
    threads = [eventlet.spawn(directory.accepts_work, "e0") for _ in range(3)]
    assert [t.wait() for t in threads] == [False, False, False]


def test_finished_stream_leaves_no_orphan(system):
    """The relay reads the stream to its end and need not cancel.

    The engine then frees the memory itself and keeps the connection open.
    """
    for number in range(6):
        system.post(PATH, _body(f"r{number}", stream=True))
    system.wait_for(
        lambda: not any(a.batcher.sequences for a in system.engines)
    )
    counters = [i.metrics.counters for i in system.instances]
    assert sum(c["orphan.cancelled"] for c in counters) == 0


def test_split_prompt_is_retried_until_memory_is_free(small_engines):
    """An engine is full for 0.7 s, which the pool owner does not know."""
    full = small_engines.engines[1]
    blocking_sequence = engine.Sequence("other", "", [], 2_500, 0, 0, 0, 0)
    assert full.batcher.reserve(blocking_sequence)
    for instance in small_engines.instances:
        instance.owner.collect_orphans = lambda: None
    eventlet.spawn_after(0.7, full.batcher.cancel, "other")
    assert small_engines.post(PATH, _body("y" * 28_000)).status == 200
