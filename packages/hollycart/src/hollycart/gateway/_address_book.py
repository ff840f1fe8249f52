"""IP addresses of the instances and their availability zones."""

from typing import NamedTuple

from hollycart_core import placement

# Time for which an address is kept after it was last listed or heard of, in ms.
# It exceeds outages after which instances find each other again, and the lease
# of a registration.
_RETENTION_MS = 40000.0
# The same for addresses without a known zone: seeds, which may be outdated.
_UNKNOWN_RETENTION_MS = 10000.0


class InstanceAddress(NamedTuple):
    """Address under which an instance is registered.

    Attributes:
        ip: Its IP address.
        zone: Its availability zone; empty if it is unknown.
    """

    ip: str
    zone: str


class _Entry(NamedTuple):
    zone: str
    seen_ms: float
    heard_ms: float


class AddressBook:
    """Addresses of the other instances, divided by cells.

    Until the cells are known, the own cell consists of the own zone and of the
    addresses without a known zone.

    Args:
        ip: IP address of this instance.
        zone: Availability zone of this instance.

    Attributes:
        cell: The own cell; empty if the cells are not known yet.
        other_cells: The other cells by name.

    Example:
        >>> book = AddressBook("1", "a")
        >>> book.add("2", "a", 0.0)
        >>> book.add("3", "b", 0.0)
        >>> book.set_cells((frozenset("a"), frozenset("b")))
        >>> book.in_cell(), book.of_cell("b")
        (['2'], ['3'])
    """

    def __init__(self, ip: str, zone: str) -> None:
        self.ip = ip
        self.zone = zone
        self.cell: placement.Cell = frozenset()
        self.other_cells: dict[str, placement.Cell] = {}
        self._entries: dict[str, _Entry] = {}

    @property
    def cell_name(self) -> str:
        """Name of the own cell."""
        return placement.cell_name(self.cell)

    def set_cells(self, cells: tuple[placement.Cell, ...]) -> None:
        """Sets the cells of the fleet."""
        self.cell = next((c for c in cells if self.zone in c), frozenset())
        self.other_cells = {
            placement.cell_name(c): c for c in cells if c != self.cell
        }

    def add(
        self, ip: str, zone: str, now_ms: float, heard: bool = False
    ) -> None:
        """Adds an address, or records that it is still in use.

        Args:
            ip: The address.
            zone: Its availability zone; empty if it is unknown.
            now_ms: Current instant.
            heard: Whether a message came from the address; otherwise it was
                only listed.
        """
        if ip == self.ip:
            return
        known = self._entries.get(ip, _Entry(zone, now_ms, float("-inf")))
        self._entries[ip] = _Entry(
            zone or known.zone, now_ms, now_ms if heard else known.heard_ms
        )

    def record_silence(self, ip: str) -> None:
        """Records that an instance did not reply in time."""
        known = self._entries.get(ip)
        if known is not None:
            self._entries[ip] = known._replace(heard_ms=float("-inf"))

    def remove_expired(self, now_ms: float) -> None:
        """Removes addresses that were neither listed nor heard of lately."""
        for ip, entry in list(self._entries.items()):
            retention_ms = (
                _RETENTION_MS if entry.zone else _UNKNOWN_RETENTION_MS
            )
            if now_ms - entry.seen_ms > retention_ms:
                del self._entries[ip]

    def is_in_cell(self, zone: str) -> bool:
        """Returns whether an availability zone belongs to the own cell."""
        if not self.cell:
            return zone in ("", self.zone)
        return zone in self.cell

    def zone_of(self, ip: str) -> str:
        """Returns the zone of an address; empty if it is unknown."""
        entry = self._entries.get(ip)
        return entry.zone if entry else ""

    def size(self) -> int:
        """Returns the number of known addresses in all cells."""
        return len(self._entries)

    def in_cell(self) -> list[str]:
        """Returns the addresses of the own cell."""
        return sorted(
            ip for ip, e in self._entries.items() if self.is_in_cell(e.zone)
        )

    def unknown(self) -> list[str]:
        """Returns the addresses outside the own cell without a known zone."""
        return sorted(
            ip
            for ip, e in self._entries.items()
            if not e.zone and not self.is_in_cell(e.zone)
        )

    def of_cell(self, name: str) -> list[str]:
        """Returns the addresses of another cell, the latest heard of last."""
        cell = self.other_cells.get(name, frozenset())
        found = [
            (e.heard_ms, e.seen_ms, ip)
            for ip, e in self._entries.items()
            if e.zone in cell
        ]
        return [ip for _, _, ip in sorted(found)]
