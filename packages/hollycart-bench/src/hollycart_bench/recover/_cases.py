"""The large failures."""

from collections.abc import Callable
import signal

import eventlet

from hollycart_bench import fleet

_STORM_S = 30.0  # all instances are replaced within it
_ZONE_DOWN_S = 10.0
_CUT_S = 15.0

Case = Callable[[fleet.Fleet, float], None]


def restart_storm(system: fleet.Fleet, outage_s: float) -> None:
    """Replaces every instance gracefully within half a minute."""
    del outage_s
    threads = []
    names = system.instance_names()
    for name in names:
        threads.append(eventlet.spawn(_replace, system, name))
        eventlet.sleep(_STORM_S / len(names))
    for thread in threads:
        thread.wait()


def zone_lost(system: fleet.Fleet, outage_s: float) -> None:
    """Kills everything in one availability zone, later starts it again."""
    del outage_s
    names = [n for n, e in system.entries.items() if e.zone == "zone-1"]
    for name in names:
        system.process(name).kill()
    eventlet.sleep(_ZONE_DOWN_S)
    for name in names:
        system.process(name).start()


def halves_cut(system: fleet.Fleet, outage_s: float) -> None:
    """Cuts one half of the instances from the other, then joins them."""
    del outage_s
    system.set_partitioned(True)
    eventlet.sleep(_CUT_S)
    system.set_partitioned(False)


def kv_outage(system: fleet.Fleet, outage_s: float) -> None:
    """Takes the key-value service away for a long time."""
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
    "halves cut": halves_cut,
    "key-value outage": kv_outage,
}
