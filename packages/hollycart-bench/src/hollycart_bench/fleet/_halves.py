"""A network partition between two sides of the instances."""

from hollycart_bench.fleet import _relay
from hollycart_core import membership


def side_of(name: str) -> int:
    """Returns the side of the partition that an instance is on.

    Example:
        >>> side_of("i0"), side_of("i3")
        (0, 1)
    """
    return int(name[1:]) % 2


class NetworkPartition:
    """Separates the instances into two sides by relays between them.

    Each instance has a relay that the instances of the other side connect to.

    Args:
        host: IP address of the relays.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self._relays: dict[str, _relay.BlockableRelay] = {}

    def set_partitioned(self, partitioned: bool) -> None:
        """Blocks all connections between the sides, or allows them again."""
        for relay in self._relays.values():
            relay.set_blocked(partitioned)

    def entry_for_side(
        self, side: int, entry: membership.ListEntry
    ) -> membership.ListEntry:
        """Returns an entry as the instance list of one side shows it.

        An instance of the other side is shown with the address of its relay.
        """
        if entry.kind != membership.KIND_INSTANCE:
            return entry
        if side_of(entry.entry_id) == side:
            return entry
        relay = self._relays.get(entry.entry_id)
        if relay is None:
            relay = _relay.BlockableRelay(self.host, entry.peer_address)
            relay.start()
            self._relays[entry.entry_id] = relay
        return entry._replace(peer_address=relay.address)
