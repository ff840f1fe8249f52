"""Size and settings of a system under test."""

from typing import NamedTuple


class FleetSpec(NamedTuple):
    """Size and settings of a system under test.

    Attributes:
        instances: Entry instances.
        engines: Model engines.
        services: Endpoints of the plain service, of the name `cases`.
        zones: Availability zones.
        engines_per_process: Engines that share a process; 1 if each must be
            killable by itself.
        capacity_tokens: KV-cache memory of an engine, in tokens.
        model: Name of the model that every engine serves.
        settings: Additional environment variables of the instances.
        list_lag_ms: Delay with which the instance list shows changes, in ms.
        balancer: Whether to start the load balancer.
        engines_without_fence_check: Number of engines that do not check
            fencing tokens, rounded up to whole processes.
        start_interval_s: Time between the starts of instances, in seconds.
        partitionable: Whether a network partition between two sides of the
            instances can be injected.
    """

    instances: int = 6
    engines: int = 14
    services: int = 3
    zones: int = 3
    engines_per_process: int = 7
    capacity_tokens: int = 400_000
    model: str = "draft"
    settings: dict[str, str] = {}
    list_lag_ms: float = 500.0
    balancer: bool = True
    engines_without_fence_check: int = 2
    start_interval_s: float = 0.0
    partitionable: bool = False
