"""Settings of a gateway instance."""

from typing import NamedTuple


class PolicySettings(NamedTuple):
    """What a deployment asks of policies under load; by default nothing.

    Attributes:
        evacuate_ms: Time after which no request may reach the endpoints of an
            evacuated availability zone, in ms; 0 if none is set.
        cold_overage: Factor of a service's rate for cold endpoints up to which
            their requests in any one second may go.
        cold_slack: Requests in any one second in addition to that, for each
            cold endpoint and all instances together.
        memory_bytes: Memory of the process, in bytes, by which what is held for
            callers and endpoints is bounded; 0 for that of the machine.
        max_descriptors: Files and sockets that the process may open; 0 for the
            limit of the operating system.
        tolerated_zones: Number of availability zones whose loss must be borne.
        fair_shares: Whether teams share capacity that is scarce.
        queries_load: Whether endpoints may be asked for their load while
            instances do not hear each other; read at the start.
        cross_zone_cost_per_gb: Loss that a GB between availability zones is
            worth, in lost requests of weight 1.
    """

    evacuate_ms: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    memory_bytes: int = 0
    max_descriptors: int = 0
    tolerated_zones: int = 0
    fair_shares: bool = False
    queries_load: bool = False
    cross_zone_cost_per_gb: float = 0.0


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
        policy: What the deployment asks of policies under load.
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
    policy: PolicySettings = PolicySettings()


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
