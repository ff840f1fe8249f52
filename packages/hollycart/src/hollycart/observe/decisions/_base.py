"""Base class of all lines of the decision log."""

import msgspec


class Decision(msgspec.Struct, tag_field="event"):
    """Base class of all lines of the decision log."""
