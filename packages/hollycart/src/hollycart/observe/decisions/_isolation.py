"""Contact with the other instances of the cell."""

from hollycart.observe.decisions import _base


class Isolated(_base.Decision, tag="isolated"):
    """Too few other instances are heard to know the load of the endpoints.

    Attributes:
        listed: Number of other instances that are registered in the cell.
        heard: Number of these that were heard recently.
    """

    listed: int
    heard: int


class Rejoined(_base.Decision, tag="rejoined"):
    """Enough other instances are heard again, or this one is draining.

    Attributes:
        listed: Number of other instances that are registered in the cell.
        heard: Number of these that were heard recently.
        isolated_ms: Time for which too few were heard.
    """

    listed: int
    heard: int
    isolated_ms: float


class InstancesMissing(_base.Decision, tag="instances_missing"):
    """Endpoints are queried for the load of instances that are not heard.

    Attributes:
        listed: Number of other instances that are registered in the cell.
        missing: Number of these that are missing; 0 if the queries have ended.
    """

    listed: int
    missing: int
