"""What an instance believes about the platform, and since when."""

from typing import NamedTuple
from typing import Protocol

import xxhash

from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing


class Snapshot(NamedTuple):
    """The platform's state at one revision of its store.

    Attributes:
        revision: Store revision of the read.
        config_revision: Store revision of the configuration; 0 without one.
        config: The configuration, None if there is none yet.
        endpoints: All endpoints listed.
        peers: IP numbers of the instances by name.
        digest: Hash of what was read; equal digests mean equal state.
    """

    revision: int
    config_revision: int
    config: routing.RoutingConfig | None
    endpoints: tuple[placement.Endpoint, ...]
    peers: dict[str, str]
    digest: int


class StateDecoder(Protocol):
    """Decodes what lies in the platform's store."""

    def decode(self, read: kv.RangeResult) -> Snapshot:
        """Returns the state; an entry that is malformed is left out."""

    def encode_peer(self, name: str, ip: str) -> kv.Put:
        """Returns the record under which an instance is found."""


class RawState(NamedTuple):
    """A read as instances pass it on to each other.

    Attributes:
        read: All pairs.
        digest: Hash of the pairs.
    """

    read: kv.RangeResult
    digest: int


def digest_of(read: kv.RangeResult) -> int:
    """Returns a hash of keys and revisions.

    Example:
        >>> digest_of(kv.RangeResult(1, ())) == digest_of(kv.RangeResult(2, ()))
        True
    """
    hasher = xxhash.xxh64()
    for item in read.items:
        hasher.update(f"{item.key}={item.mod_revision};".encode())
    return hasher.intdigest()


class PlatformState:
    """The newest state; it never goes back to an older revision.

    Args:
        freshness_ms: Age of the proof beyond which keys are not accepted.
        return_ms: Time for which endpoints whose records vanished during a
            store outage are kept after its end, in ms.
    """

    def __init__(self, freshness_ms: float, return_ms: float) -> None:
        self.return_ms = return_ms
        self.freshness = routing.Freshness(freshness_ms)
        self.raw: RawState | None = None
        self.snapshot: Snapshot | None = None
        self.endpoints: dict[str, placement.Endpoint] = {}
        self._outage_ended_ms = float("-inf")
        self._kept_until_ms: dict[str, float] = {}

    @property
    def config(self) -> routing.RoutingConfig | None:
        """The configuration in force."""
        return self.snapshot.config if self.snapshot else None

    @property
    def complete(self) -> bool:
        """Whether requests can be routed."""
        return self.config is not None

    def note_outage_end(self, now_ms: float) -> None:
        """Notes that the store answers again after it did not."""
        self._outage_ended_ms = now_ms

    def expire(self, now_ms: float) -> None:
        """Removes kept endpoints whose records did not return in time."""
        for endpoint_id, until_ms in list(self._kept_until_ms.items()):
            if now_ms >= until_ms:
                del self._kept_until_ms[endpoint_id]
                self.endpoints.pop(endpoint_id, None)

    def apply(self, raw: RawState, snapshot: Snapshot, now_ms: float) -> bool:
        """Takes over a snapshot unless it is older than what is known.

        Returns:
            Whether anything changed.
        """
        known = self.snapshot
        if known is not None:
            if snapshot.revision < known.revision:
                return False
            if snapshot.digest == known.digest:
                self.snapshot = known._replace(revision=snapshot.revision)
                self._take_endpoints(snapshot, now_ms)
                return False
            if snapshot.config_revision < known.config_revision:
                snapshot = snapshot._replace(
                    config=known.config,
                    config_revision=known.config_revision,
                )
        self.raw = raw
        self.snapshot = snapshot
        self._take_endpoints(snapshot, now_ms)
        return True

    def _take_endpoints(self, snapshot: Snapshot, now_ms: float) -> None:
        listed = {e.id: e for e in snapshot.endpoints}
        until_ms = self._outage_ended_ms + self.return_ms
        kept = {}
        if now_ms < until_ms:
            kept = {i: e for i, e in self.endpoints.items() if i not in listed}
        self._kept_until_ms = dict.fromkeys(kept, until_ms)
        self.endpoints = {**listed, **kept}
