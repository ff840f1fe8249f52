"""State of the store, and other instances."""

from hollycart.observe.decisions import _base


class StateLearned(_base.Decision, tag="state_learned"):
    """A newer state of the platform is in force.

    Attributes:
        revision: Revision of the key-value store.
        config_version: Version of the configuration in force.
        endpoints: Number of endpoints.
        added: Endpoints that the former state did not list.
        leaving: Endpoints that started to leave; they get no more requests.
        removed: Endpoints that are no longer listed.
        age_ms: Age of the state.
    """

    revision: int
    config_version: int
    endpoints: int
    added: tuple[str, ...]
    leaving: tuple[str, ...]
    removed: tuple[str, ...]
    age_ms: float


class StoreLost(_base.Decision, tag="store_lost"):
    """A read of the key-value store failed after successful reads.

    Attributes:
        detail: Error text.
        age_ms: Age of the state; None without one.
    """

    detail: str
    age_ms: float | None


class StoreRegained(_base.Decision, tag="store_regained"):
    """A read of the key-value store succeeded after failed reads."""

    outage_ms: float


class StoreRestored(_base.Decision, tag="store_restored"):
    """The key-value store came back from an older copy.

    Attributes:
        former_era: Era of the store until then.
        era: Era of the store now.
        revision: Revision of the store now.
        retained: Keys whose former values stay in force until they are written
            again.
        age_ms: Age of the state.
    """

    former_era: int
    era: int
    revision: int
    retained: tuple[str, ...]
    age_ms: float


class FreshnessLost(_base.Decision, tag="freshness_lost"):
    """The state became stale, so that no API keys are accepted."""

    age_ms: float


class FreshnessRegained(_base.Decision, tag="freshness_regained"):
    """The state was confirmed again after it had been stale."""

    age_ms: float


class PeerFound(_base.Decision, tag="peer_found"):
    """The first datagram of another instance arrived."""

    peer: str
    ip: str


class PeerLost(_base.Decision, tag="peer_lost"):
    """No datagram of another instance has arrived for `silent_ms`."""

    peer: str
    silent_ms: float


class CellChanged(_base.Decision, tag="cell_changed"):
    """The fleet is divided into cells in another way.

    Attributes:
        zones: Availability zones of the own cell.
        other_cells: Names of the other cells.
    """

    zones: tuple[str, ...]
    other_cells: tuple[str, ...]
