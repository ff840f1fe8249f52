"""Size and settings of a system."""

from typing import NamedTuple


class FleetSpec(NamedTuple):
    """Size and settings of a system.

    Attributes:
        instances: Entry instances.
        engines: Model engines.
        services: Endpoints of the plain service.
        zones: Availability zones.
        engines_per_process: Engines that share a process; one to kill them
            one by one.
        capacity_tokens: KV-cache memory of an engine, in tokens.
        model: The model.
        settings: Further environment of the instances.
        list_lag_ms: Lag of the instance list, in ms.
        balancer: Whether to start the balancer.
        unchecking: Number of engines that ignore fencing numbers.
        start_interval_s: Pause between the starts of instances, in seconds.
        partitionable: Whether the instances form two halves whose calls to each
            other can be cut.
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
    unchecking: int = 2
    start_interval_s: float = 0.0
    partitionable: bool = False
