import socket

from hollycart import observe


def test_histograms_above_the_limit_share_one():
    metrics = observe.Metrics()
    for number in range(600):
        metrics.record("first_token", f"team-{number}", "draft", 10.0)
    rows = metrics.summaries()
    assert len(rows) <= 513
    other = [r for r in rows if r["team"] == "other"]
    assert sum(r["count"] for r in rows) == 600
    assert other[0]["count"] == 600 - 512


def test_counters_are_sent_as_deltas():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(5)
    metrics = observe.Metrics("127.0.0.1", sock.getsockname()[1])
    metrics.start()
    metrics.count("a", 2)
    metrics.flush()
    metrics.count("a", 3)
    metrics.flush()
    packets = [sock.recv(1500), sock.recv(1500)]
    metrics.close()
    sock.close()
    assert packets == [b"hollycart.a:2|c", b"hollycart.a:3|c"]
