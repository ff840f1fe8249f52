"""Two halves of the instances whose calls to each other can be cut."""

from hollycart_bench.fleet import _relay
from hollycart_core import membership


def half_of(name: str) -> int:
    """Returns the half that an instance belongs to.

    Example:
        >>> half_of("i0"), half_of("i3")
        (0, 1)
    """
    return int(name[1:]) % 2


class Halves:
    """Puts a relay before each instance, for calls of the other half.

    Args:
        host: IP address of the relays.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self._relays: dict[str, _relay.CuttableRelay] = {}

    def set_partitioned(self, partitioned: bool) -> None:
        """Cuts the halves from each other, or joins them."""
        for relay in self._relays.values():
            relay.set_cut(partitioned)

    def seen_from(
        self, half: int, entry: membership.ListEntry
    ) -> membership.ListEntry:
        """Returns an entry as the list of one half shows it."""
        if entry.kind != membership.KIND_INSTANCE:
            return entry
        if half_of(entry.entry_id) == half:
            return entry
        relay = self._relays.get(entry.entry_id)
        if relay is None:
            relay = _relay.CuttableRelay(self.host, entry.peer_address)
            relay.start()
            self._relays[entry.entry_id] = relay
        return entry._replace(peer_address=relay.address)
