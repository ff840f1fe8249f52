"""The platform's state as held by an instance."""

from collections.abc import Mapping
from typing import NamedTuple
from typing import Protocol

from hollycart.gateway import _address_book
from hollycart.gateway import _history
from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing


class Snapshot(NamedTuple):
    """The platform's state at one revision of its store.

    Attributes:
        revision: Store revision at which the state was read.
        config_revision: Store revision of the configuration; 0 for none.
        config: The configuration, or None if there is none yet.
        endpoints: All registered endpoints.
        peers: Addresses of the registered instances by name.
        digest: Hash of the key-value pairs, without the registrations of
            instances; equal digests mean equal state.
        era: Era of the store at which the state was read.
        config_era: Era of the store in which the configuration was read.
        evacuated: Era and revision at which the evacuation of an availability
            zone was requested, by zone.
        records: Values that instances keep in the store, by name.
    """

    revision: int
    config_revision: int
    config: routing.RoutingConfig | None
    endpoints: tuple[placement.Endpoint, ...]
    peers: dict[str, _address_book.InstanceAddress]
    digest: int
    era: int = 0
    config_era: int = 0
    evacuated: Mapping[str, kv.Position] = {}
    records: Mapping[str, bytes] = {}

    @property
    def position(self) -> kv.Position:
        """Position of the state in the order of the store's states."""
        return kv.Position(self.era, self.revision)


class StateDecoder(_history.ValueOrder, Protocol):
    """Decodes the contents of the platform's store."""

    def decode(self, contents: kv.RangeResult) -> Snapshot:
        """Returns the state; malformed entries are skipped.

        Args:
            contents: All key-value pairs of the store.
        """

    def encode_peer(
        self, name: str, address: _address_book.InstanceAddress
    ) -> kv.Put:
        """Returns the record by which other instances discover this one."""

    def encode_record(self, name: str, value: bytes) -> kv.Put:
        """Returns the write of a value that instances keep in the store."""


class PlatformState:
    """The newest state; it never returns to an older one.

    In a later era of the store, the version of the configuration decides: a
    restored store may hold an older one until the operator writes it again.

    Leases can expire during an outage of the store although their endpoints
    are healthy. Endpoints that are missing after an outage are therefore
    retained until they have had time to register again.

    Args:
        max_age_ms: Age above which the state is stale and API keys are no
            longer accepted, in ms.
        reregistration_ms: Time after a store outage for which missing
            endpoints are retained, in ms.

    Attributes:
        evacuations: Availability zones whose endpoints get no more requests.
    """

    def __init__(self, max_age_ms: float, reregistration_ms: float) -> None:
        self.reregistration_ms = reregistration_ms
        self.freshness = routing.Freshness(max_age_ms)
        self.raw: _history.RawState | None = None
        self.snapshot: Snapshot | None = None
        self.endpoints: dict[str, placement.Endpoint] = {}
        self.evacuations = placement.ZoneEvacuations()
        self._outage_ended_ms = float("-inf")
        self._retained_until_ms: dict[str, float] = {}

    @property
    def config(self) -> routing.RoutingConfig | None:
        """The configuration in force."""
        return self.snapshot.config if self.snapshot else None

    @property
    def has_config(self) -> bool:
        """Whether there is a configuration, so that requests can be routed."""
        return self.config is not None

    def record_outage_end(self, now_ms: float) -> None:
        """Records the end of a store outage that may have expired leases."""
        self._outage_ended_ms = now_ms

    def remove_expired(self, now_ms: float) -> None:
        """Removes retained endpoints that did not register again in time."""
        for endpoint_id, until_ms in list(self._retained_until_ms.items()):
            if now_ms >= until_ms:
                del self._retained_until_ms[endpoint_id]
                self.endpoints.pop(endpoint_id, None)

    def apply(
        self, raw: _history.RawState, snapshot: Snapshot, now_ms: float
    ) -> bool:
        """Applies a snapshot unless it is older than the current one.

        Returns:
            Whether the state changed.
        """
        current = self.snapshot
        if current is not None:
            if snapshot.position < current.position:
                return False
            if snapshot.digest == current.digest:
                self.raw = raw
                self.snapshot = current._replace(
                    revision=snapshot.revision,
                    era=snapshot.era,
                    peers=snapshot.peers,
                )
                self._update_endpoints(snapshot, now_ms)
                return False
            if not _is_config_in_order(current, snapshot):
                snapshot = snapshot._replace(
                    config=current.config,
                    config_revision=current.config_revision,
                    config_era=current.config_era,
                )
        self.raw = raw
        self.snapshot = snapshot
        self.evacuations.update(
            snapshot.evacuated,
            snapshot.position,
            # The new state is confirmed only after this.
            now_ms - self.freshness.age_ms(now_ms),
            now_ms,
        )
        self._update_endpoints(snapshot, now_ms)
        return True

    def _update_endpoints(self, snapshot: Snapshot, now_ms: float) -> None:
        listed = {e.id: e for e in snapshot.endpoints}
        until_ms = self._outage_ended_ms + self.reregistration_ms
        retained = {}
        if now_ms < until_ms:
            retained = {
                i: e for i, e in self.endpoints.items() if i not in listed
            }
        self._retained_until_ms = dict.fromkeys(retained, until_ms)
        self.endpoints = {**listed, **retained}


def _is_config_in_order(current: Snapshot, new: Snapshot) -> bool:
    """Returns whether the configuration of `new` may replace that in force."""
    if current.config is None or new.config is None:
        return current.config is None
    if new.config_era == current.config_era:
        return new.config_revision >= current.config_revision
    return new.config.version >= current.config.version
