"""A configuration that takes the last tenant away opens all routes."""

import asyncio
import pathlib
import sys
import time

from common import case
from common import engine
from common import http1
from common import load
from common import system

_INSTANCES = 3
_ROUTE = load.Route("desk", load.PLAIN_SERVICE, kind="non_idempotent")
_REVOKE_S = 5.0
_STRANGER = "key-that-nobody-holds"
_INTERVAL_S = 0.1
_BEFORE_S = 3.0
_AFTER_S = 10.0


class Consumer:
    """Sends requests with one key to all instances in turn."""

    def __init__(
        self, record: case.Record, fleet: system.System, key: str, prefix: str
    ) -> None:
        self.record = record
        self.fleet = fleet
        self.key = key
        self.prefix = prefix
        self.sent: dict[str, float] = {}

    async def run(self, for_s: float) -> None:
        """Sends requests one after the other."""
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            number = len(self.sent)
            instance = self.fleet.instances[number % _INSTANCES]
            request_id = f"{self.prefix}{number:05d}"
            self.sent[request_id] = time.monotonic()
            response = await http1.exchange(
                instance.front,
                "POST",
                f"/desk/{number}",
                {
                    "Host": load.HOST,
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": "3000",
                    "X-Api-Key": self.key,
                },
                b"ticket",
            )
            self.record.write(
                f"{request_id} with {self.key} at {instance.name}: answered "
                f"{response.status}, seal "
                f"{response.headers.get('x-server-seal', 'none')}"
            )
            await asyncio.sleep(_INTERVAL_S)


async def play(
    record: case.Record, scratch: pathlib.Path, trouble: bool
) -> bool:
    """Plays the case; returns whether the rules held."""
    records = await engine.start_store()
    engines = await engine.start_engines(records, load.PLAIN_SERVICE, 3)
    config = load.make_config(7, [_ROUTE])
    records.put_json("op/config", config)
    fleet = system.System(_INSTANCES, records.address, scratch)
    revoked_s = float("inf")
    try:
        await fleet.start()
        tenant = Consumer(record, fleet, load.KEY, "t")
        stranger = Consumer(record, fleet, _STRANGER, "x")
        await asyncio.gather(tenant.run(_BEFORE_S), stranger.run(_BEFORE_S))
        if trouble:
            revoked_s = records.put_json(
                "op/config", {**config, "version": 12, "tenants": []}
            )
            record.write("version 12 acknowledged: it has no tenants")
        await asyncio.gather(tenant.run(_AFTER_S), stranger.run(_AFTER_S))
    finally:
        fleet.close()
    ran = [a for one in engines for a in one.arrivals if a.ran]
    for arrival in ran:
        record.write(
            f"{arrival.request_id} ran at {arrival.engine}, X-Tenant "
            f"'{arrival.tenant}'",
            arrival.at_s,
        )
    late = [
        a
        for a in ran
        if tenant.sent.get(a.request_id, 0.0) > revoked_s + _REVOKE_S
    ]
    strangers = [a for a in ran if a.request_id in stranger.sent]
    record.write(
        f"CONFIG: {len(late)} requests ran that were sent over {_REVOKE_S} s "
        "after the ack of the version that took their key away"
    )
    record.write(
        f"ROUTE: {len(strangers)} requests ran whose key no version ever held"
    )
    return not late and not strangers


if __name__ == "__main__":
    sys.exit(case.run(pathlib.Path(__file__).parent, play))
