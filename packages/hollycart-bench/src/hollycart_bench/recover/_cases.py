"""The large failures from which recovery is measured."""

from collections.abc import Callable
import signal

import eventlet

from hollycart_bench import fleet

_REPLACEMENT_PERIOD_S = 30.0  # all instances are stopped within it
_ZONE_DOWN_S = 10.0
_PARTITION_S = 15.0

Case = Callable[[fleet.Fleet, float], None]


def restart_storm(system: fleet.Fleet, outage_s: float) -> None:
    """Replaces every instance gracefully; all are stopped within 30 s."""
    del outage_s
    threads = []
    names = system.instance_names()
    for name in names:
        threads.append(eventlet.spawn(_replace, system, name))
        eventlet.sleep(_REPLACEMENT_PERIOD_S / len(names))
    for thread in threads:
        thread.wait()


def zone_lost(system: fleet.Fleet, outage_s: float) -> None:
    """Kills all processes of an availability zone, starts them 10 s later."""
    del outage_s
    names = [n for n, e in system.entries.items() if e.zone == "zone-1"]
    for name in names:
        system.process(name).kill()
    eventlet.sleep(_ZONE_DOWN_S)
    for name in names:
        system.process(name).start()


def network_partition(system: fleet.Fleet, outage_s: float) -> None:
    """Separates the instances into two sides for 15 s."""
    del outage_s
    system.set_partitioned(True)
    eventlet.sleep(_PARTITION_S)
    system.set_partitioned(False)


def kv_outage(system: fleet.Fleet, outage_s: float) -> None:
    """Takes the key-value store down for `outage_s` seconds."""
    address = system.kv_address
    system.post_control(address, "faults", {"down": True})
    eventlet.sleep(outage_s)
    system.post_control(address, "faults", {})


def _replace(system: fleet.Fleet, name: str) -> None:
    system.set_leaving(name, leaving=True)
    process = system.process(name)
    process.signal(signal.SIGTERM)
    process.wait(60.0)
    system.set_leaving(name, leaving=False)
    process.start()
    system.wait_ready(name)


CASES: dict[str, Case] = {
    "restart storm": restart_storm,
    "zone lost": zone_lost,
    "halves cut": network_partition,
    "key-value outage": kv_outage,
}
