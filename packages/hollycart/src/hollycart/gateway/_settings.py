"""Settings of a gateway instance."""

from typing import NamedTuple


class GatewaySettings(NamedTuple):
    """What an instance has to know at its start.

    Attributes:
        name: Name of the instance, unique over all instances.
        ip: IP number of the instance.
        zone: Availability zone of the instance.
        front_address: `IP:PORT` for callers.
        ready_address: `IP:PORT` that the balancer asks for readiness.
        peer_port: UDP and TCP port for other instances, the same everywhere.
        metrics_port: TCP port of the metrics page; 0 for none.
        seed_ips: IP numbers of some instances, perhaps out of date.
        store_address: `IP:PORT` of the platform's key-value store.
        lease_min_ms: Shortest lease that the store grants, in ms.
        config_apply_ms: Time within which a configuration is in force.
        revoke_ms: Time after which a removed key must not work, in ms.
        drain_ms: Time after which a leaving endpoint gets nothing, in ms.
        grace_ms: Time between the signal to stop and the end, in ms.
        retry_ratio: Repeated attempts per request.
        retry_window_ms: Window of the retry budget, in ms.
        retry_slack: Repeated attempts per window beyond the ratio.
        stall_ms: Time for which an engine waits for a dead one, in ms.
        hold_max_ms: Longest reservation of memory, in ms.
    """

    name: str
    ip: str
    zone: str
    front_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    lease_min_ms: float
    config_apply_ms: float
    revoke_ms: float
    drain_ms: float
    grace_ms: float
    retry_ratio: float
    retry_window_ms: float
    retry_slack: float
    stall_ms: float
    hold_max_ms: float


# Settings that are read only at the start.
NEED_RESTART = frozenset(
    (
        "name",
        "ip",
        "zone",
        "front_address",
        "ready_address",
        "peer_port",
        "metrics_port",
        "store_address",
        "lease_min_ms",
        "stall_ms",
        "hold_max_ms",
    )
)
