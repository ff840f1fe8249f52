"""Types of the instance list and of the live membership."""

from typing import NamedTuple

KIND_INSTANCE = "instance"
KIND_ENGINE = "engine"
KIND_SERVICE = "service"


class ListEntry(NamedTuple):
    """An entry of the platform's instance list.

    Attributes:
        entry_id: Identifier.
        kind: `instance` for entry instances of hollycart, `engine` for model
            endpoints, `service` for plain services.
        address: `host:port` of its HTTP port.
        zone: Availability zone.
        leaving: Whether it is going away.
        peer_address: `host:port` for calls between instances.
        cell: Cell of an instance or endpoint.
        name: Model of an engine, name of a plain service.
        capacity_tokens: KV-cache memory of an engine, in tokens.
        checks_fence: Whether it refuses orders with an old fencing number.
        repeatable: Whether all calls of a plain service may be repeated.
        lookup_path: Path of a plain service that tells whether a call with
            an idempotency key was executed; empty if it cannot be asked.
    """

    entry_id: str
    kind: str
    address: str
    zone: str = ""
    leaving: bool = False
    peer_address: str = ""
    cell: str = ""
    name: str = ""
    capacity_tokens: int = 0
    checks_fence: bool = True
    repeatable: bool = False
    lookup_path: str = ""


class InstanceList(NamedTuple):
    """The platform's list at one version."""

    version: int
    entries: tuple[ListEntry, ...]


class MemberDigest(NamedTuple):
    """What instances tell each other about one instance.

    Attributes:
        instance_id: The instance.
        incarnation: Start time of its process; a higher one replaces a lower.
        heartbeat: Counts up while the process runs.
        leaving: Whether it is shutting down.
        table_revision: Revision of the table in force there.
    """

    instance_id: str
    incarnation: int
    heartbeat: int
    leaving: bool
    table_revision: int
