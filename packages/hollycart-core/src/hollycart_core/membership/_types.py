"""Types of the instance list and of the live membership."""

from typing import NamedTuple

KIND_INSTANCE = "instance"
KIND_ENGINE = "engine"
KIND_SERVICE = "service"


class ListEntry(NamedTuple):
    """Entry of the platform's instance list.

    Attributes:
        entry_id: Identifier.
        kind: `instance` for entry instances of hollycart, `engine` for model
            endpoints, `service` for plain services.
        address: `host:port` of its HTTP server.
        zone: Availability zone.
        leaving: Whether it is shutting down and takes no new work.
        peer_address: `host:port` of an instance for calls from its peers.
        cell: Cell of an instance or endpoint.
        name: Model of an engine, name of a plain service.
        capacity_tokens: KV-cache capacity of an engine, in tokens.
        checks_fence: Whether it rejects orders with an outdated fencing token.
        repeatable: Whether all calls of a plain service may be retried.
        lookup_path: Path of a plain service that reports whether a call with
            an idempotency key was executed; empty if there is none.
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
    """Instance list of the platform at one version."""

    version: int
    entries: tuple[ListEntry, ...]


class MemberDigest(NamedTuple):
    """State of one instance as instances gossip it to each other.

    Attributes:
        instance_id: Identifier of the instance.
        incarnation: Start time of its process; a higher one supersedes a lower.
        heartbeat: Counter that increases while the process runs.
        leaving: Whether it is shutting down.
        table_revision: Revision of the table of weights and limits in force
            there.
    """

    instance_id: str
    incarnation: int
    heartbeat: int
    leaving: bool
    table_revision: int
