"""Cells: groups of availability zones whose load is known in detail."""

from collections.abc import Mapping

# A prompt gains from a choice of endpoints and from being split over several.
# With fewer endpoints than this, a cell loses more by both than it saves in
# messages.
MIN_CELL_ENDPOINTS = 8
# A fleet with fewer instances is one cell, since its messages cost little. A
# zone with so many is a cell of its own however few endpoints it has:
# registrations of endpoints lapse in store outages, and the messages of a
# merged cell would then cost more than the offers of its prompts.
MANY_INSTANCES = 24

Cell = frozenset[str]


def group_zones(
    endpoints: Mapping[str, int], instances: Mapping[str, int]
) -> tuple[Cell, ...]:
    """Groups availability zones into cells.

    Instances announce their load only within their cell, so that the messages
    of an instance grow with its cell and not with the fleet. A zone is a cell
    of its own if it has enough endpoints and instances to know their load, or
    many instances. Other zones are merged, the smallest first. A small fleet is
    one cell, whatever its endpoints: its messages are few. The result depends
    only on the arguments, so that instances with the same state form the same
    cells.

    Args:
        endpoints: Number of model engines by zone.
        instances: Number of instances by zone.

    Returns:
        The cells, each a set of zones.

    Example:
        >>> cells = group_zones({"a": 9, "b": 20}, {"a": 15, "b": 15})
        >>> [sorted(cell) for cell in cells]
        [['a'], ['b']]
        >>> cells = group_zones({"a": 5, "b": 20}, {"a": 15, "b": 15})
        >>> [sorted(cell) for cell in cells]
        [['a', 'b']]
    """
    zones = sorted(endpoints.keys() | instances.keys())
    if zones and sum(instances.values()) < MANY_INSTANCES:
        return (frozenset(zones),)
    cells = [frozenset((zone,)) for zone in zones]

    def rank(cell: Cell) -> tuple[bool, int, str]:
        size = sum(endpoints.get(zone, 0) for zone in cell)
        staff = sum(instances.get(zone, 0) for zone in cell)
        complete = staff >= MANY_INSTANCES or (
            staff > 0 and size >= MIN_CELL_ENDPOINTS
        )
        return complete, size, min(cell)

    while len(cells) > 1:
        cells.sort(key=rank)
        complete, _, _ = rank(cells[0])
        if complete:
            break
        cells[:2] = [cells[0] | cells[1]]
    return tuple(cells)


def cell_name(cell: Cell) -> str:
    """Returns the name of a cell: its first zone.

    Example:
        >>> cell_name(frozenset(("b", "a")))
        'a'
    """
    return min(cell, default="")
