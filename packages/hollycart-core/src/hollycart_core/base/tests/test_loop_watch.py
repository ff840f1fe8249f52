import eventlet

from hollycart_core import base


class SlowClock(base.ManualClock):
    """Comes round late once."""

    late_ms = 300.0

    def sleep_ms(self, duration_ms):
        super().sleep_ms(duration_ms + self.late_ms)
        self.late_ms = 0.0
        eventlet.sleep(0)


def test_delay_of_a_round_is_reported_once():
    delays_ms = []
    watch = base.LoopWatch(SlowClock(), delays_ms.append)
    watch.start()
    for _ in range(4):
        eventlet.sleep(0)
    watch.close()
    assert delays_ms[0] == 300.0
    assert set(delays_ms[1:]) == {0.0}
    assert len(delays_ms) > 1
