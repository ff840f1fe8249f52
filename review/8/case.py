"""Case 8: an engine that is gone gets requests for over `drain-ms`."""

import pathlib
import signal
import sys
import threading
import time

from standins_2 import consumer
from standins_2 import system

_DRAIN_S = 2.0
_OUTAGE_S = 4.5
_CALM_S = 8.0  # longer than `contact-ms`
_DOWN_S = 2.0
_MAX_KILLED = 3
_ROUNDS = 7
_LAST_ROUND_S = 84.0  # no round starts later
_MIN_WITHOUT = 2  # gateways that have not read the store since the outage
_SENDERS = 4  # for each gateway
_INTERVAL_S = 0.08


class _Load:
    """Sends idempotent requests to each of some gateways, a few at a time."""

    def __init__(self, gateways: list[system.Gateway]) -> None:
        self.senders: dict[str, system.Gateway] = {}
        self.sent_s: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self._stopped = False
        self._threads = [
            threading.Thread(target=self._run, args=(g, n), daemon=True)
            for g in gateways
            for n in range(_SENDERS)
        ]

    def start(self) -> None:
        """Starts to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops to send and waits for the answers."""
        self._stopped = True
        for thread in self._threads:
            thread.join()

    def _run(self, gateway: system.Gateway, sender: int) -> None:
        number = 0
        while not self._stopped:
            number += 1
            request_id = f"{gateway.name[-1]}{sender}{number:014d}"
            self.senders[request_id] = gateway
            self.sent_s[request_id] = time.time()
            try:
                call = consumer.Consumer(
                    gateway.front, request_id, "/link/2f", 3000, method="GET"
                )
                end_s = time.time() + 3.0
                while not call.answer().complete and time.time() < end_s:
                    if not call.read(end_s - time.time()):
                        break
                self.statuses[request_id] = call.answer().status
                call.close()
            except OSError:
                self.statuses[request_id] = 0
            time.sleep(_INTERVAL_S)


def play(sut: system.System, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    sut.put_config(
        [
            system.route(
                "link",
                "idempotent",
                system.PLAIN_SERVICE,
                3000,
                **{"target-latency-ms": 300, "max-attempts": 2},
            )
        ]
    )
    for number in range(3):
        sut.add_engine(f"i-{number}", system.PLAIN_SERVICE, number)
    for number in range(6):
        sut.add_engine(f"m-{number}", system.MODEL_SERVICE, number % 3)
    sut.start_gateways()
    time.sleep(3.0)
    rounds = _ROUNDS if trouble else 2
    end_s = time.time() + _LAST_ROUND_S
    for _ in range(rounds):
        if _play_round(sut, trouble):
            return True
        if time.time() > end_s:
            break
    return False


def _play_round(sut: system.System, trouble: bool) -> bool:
    """Plays an outage and a kill later; returns whether the rule was broken."""
    if trouble:
        sut.store.set_down(True)
        sut.note("the store is down")
        time.sleep(_OUTAGE_S)
        sut.store.set_down(False)
        sut.note("the store is back")
    back_s = time.time()
    time.sleep(_CALM_S / 2.0)
    readers = _find(sut, sut.store.readers(time.time() - 2.0))
    without = [
        g
        for g in sut.gateways
        if g not in _find(sut, sut.store.readers(back_s))
    ]
    sut.note(f"the store is read by {_names(readers)}")
    sut.note(f"not read since it is back by {_names(without)}")
    if trouble and (len(readers) > _MAX_KILLED or len(without) < _MIN_WITHOUT):
        return False
    time.sleep(_CALM_S / 2.0)
    load = _Load([g for g in sut.gateways if g not in readers])
    load.start()
    time.sleep(0.5)
    if trouble:
        for gateway in readers:
            gateway.signal(signal.SIGKILL)
        sut.note("the processes that read the store are killed")
    removed_s = sut.store.remove("servers/i-0")
    sut.note("i-0 leaves: the store has removed its entry")
    time.sleep(_DOWN_S)
    if trouble:
        for gateway in readers:
            gateway.start()
        sut.note("the killed processes are started again")
    time.sleep(2.0)
    load.stop()
    late = _find_late(sut, load, removed_s)
    sut.start_entry("i-0")
    time.sleep(2.0)
    return late > 0


def _find(sut: system.System, names: set[str]) -> list[system.Gateway]:
    return [g for g in sut.gateways if g.name in names]


def _names(gateways: list[system.Gateway]) -> str:
    return ", ".join(g.name for g in gateways) or "none"


def _find_late(sut: system.System, load: _Load, removed_s: float) -> int:
    """Returns the number of requests that reached i-0 too late."""
    late = 0
    for line in sut.journal():
        at, engine_id, what, request_id = line.split()
        after_s = float(at) + sut.started_s - removed_s
        if engine_id != "i-0" or what != "run" or after_s <= _DRAIN_S:
            continue
        late += 1
        sut.note(
            f"{request_id}, sent {load.sent_s[request_id] - removed_s:.3f} s "
            f"after the ack by {load.senders[request_id].name}, reached i-0 "
            f"{after_s:.3f} s after it"
        )
    answered = sum(s == 200 for s in load.statuses.values())
    sut.note(f"{answered} of {len(load.statuses)} requests answered 200")
    sut.note(f"{late} requests reached i-0 later than drain-ms")
    return late


if __name__ == "__main__":
    sys.exit(system.run(pathlib.Path(sys.argv[1]), 6, play))
