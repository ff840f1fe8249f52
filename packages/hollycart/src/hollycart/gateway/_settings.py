"""Settings of a gateway instance."""

from typing import NamedTuple


class GatewaySettings(NamedTuple):
    """Settings of one instance.

    Attributes:
        name: Name of the instance, unique over all instances.
        ip: IP address of the instance.
        zone: Availability zone of the instance.
        front_address: `IP:PORT` on which callers are served.
        ready_address: `IP:PORT` of the load balancer's readiness check.
        peer_port: UDP and TCP port for traffic between instances, the same on
            all of them.
        metrics_port: TCP port of the metrics page; 0 disables it.
        seed_ips: IP addresses of some instances for discovery; may be outdated.
        store_address: `IP:PORT` of the platform's key-value store.
        lease_min_ms: Shortest lease that the store grants, in ms.
        config_apply_ms: Time within which a new configuration has to be in
            force, in ms.
        revoke_ms: Time after which a removed key has to be refused, in ms.
        drain_ms: Time after which a leaving endpoint must not receive
            requests, in ms.
        grace_ms: Time between the termination signal and the forced end of
            the process, in ms.
        retry_ratio: Retries per request that the budget allows.
        retry_window_ms: Sliding window of the retry budget, in ms.
        retry_slack: Retries per window in addition to the ratio, of all
            instances together.
        stall_ms: Time for which an engine waits for an unreachable engine, in
            ms.
        hold_max_ms: Longest memory reservation that engines accept, in ms.
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


# Settings that take effect only at the start of the process.
RESTART_REQUIRED = frozenset(
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
