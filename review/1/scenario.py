"""An entry that cannot be read stops all instances from learning anything."""

import pathlib
import sys

from common import case
from common import engine
from common import load
from common import system

_INSTANCES = 3
_CONFIG_APPLY_S = 2.0
_DRAIN_S = 2.0
_CONTACT_S = 3.0
_RATE_PER_S = 20.0
# 2 KB of the 1 MB that a value may have. It is no JSON: it breaks off.
_UNREADABLE = b'{"notes":' + b"[" * 2000
_DESK = load.Route("desk", load.PLAIN_SERVICE)
_OPEN_OLD = load.Route("open-old", load.PLAIN_SERVICE, public=True)
_OPEN_NEW = load.Route("open-new", load.PLAIN_SERVICE, public=True)


async def play(
    record: case.Record, scratch: pathlib.Path, trouble: bool
) -> bool:
    """Plays the case; returns whether the rules held."""
    records = await engine.start_store()
    engines = await engine.start_engines(records, load.PLAIN_SERVICE, 3)
    before = load.make_config(7, [_DESK, _OPEN_OLD])
    records.put_json("op/config", before)
    fleet = system.System(_INSTANCES, records.address, scratch)
    try:
        await fleet.start()
        requests = load.Load(record, fleet.instances, _RATE_PER_S)
        await requests.run(["desk", "open-old"], 3.0)
        if trouble:
            records.put("servers/i-unreadable", _UNREADABLE)
            record.write("another writer wrote servers/i-unreadable")
        await requests.run(["desk", "open-old"], _CONTACT_S)
        after = load.make_config(12, [_DESK, _OPEN_NEW])
        changed_s = records.put_json("op/config", after)
        record.write("version 12 acknowledged: open-old dropped, open-new new")
        engines[0].state = "draining"
        drained_s = records.put_json("servers/i-0", engines[0].entry())
        record.write("i-0 reports draining, acknowledged")
        await requests.run(["desk", "open-old", "open-new"], 8.0)
        ready = [i.name for i in fleet.instances if await i.is_ready()]
        record.write(f"ready at the end: {', '.join(ready) or 'none'}")
    finally:
        fleet.close()
    return judge(record, requests, engines, changed_s, drained_s)


def judge(
    record: case.Record,
    requests: load.Load,
    engines: list[engine.Engine],
    changed_s: float,
    drained_s: float,
) -> bool:
    """Returns whether CONFIG and DRAIN held."""
    by_old = 0
    not_served = 0
    for one in engines:
        for arrival in one.arrivals:
            record.write(
                f"{arrival.request_id} reached {arrival.engine}, ran: "
                f"{arrival.ran}",
                arrival.at_s,
            )
    ran = {a.request_id for one in engines for a in one.arrivals if a.ran}
    for request_id, sent in requests.sent.items():
        if sent.at_s <= changed_s + _CONFIG_APPLY_S:
            continue
        status = requests.statuses.get(request_id)
        dropped_ran = sent.prefix == "open-old" and request_id in ran
        new_refused = sent.prefix == "open-new" and status == 404
        by_old += dropped_ran or new_refused
        not_served += sent.prefix == "desk" and status != 200
    late = [
        a
        for a in engines[0].arrivals
        if a.ran and requests.sent[a.request_id].at_s > drained_s + _DRAIN_S
    ]
    record.write(
        f"CONFIG: {by_old} requests sent over {_CONFIG_APPLY_S} s after the "
        "ack were handled as only version 7 allows"
    )
    record.write(
        f"DRAIN: {len(late)} requests sent over {_DRAIN_S} s after the ack of "
        "its draining reached i-0"
    )
    record.write(f"beside the rules: {not_served} keyed requests not served")
    return not by_old and not late


if __name__ == "__main__":
    sys.exit(case.run(pathlib.Path(__file__).parent, play))
