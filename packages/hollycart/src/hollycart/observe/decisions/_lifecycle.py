"""Life of the instance and of its log."""

from hollycart.observe.decisions import _base


class Started(_base.Decision, tag="started"):
    """The instance accepts connections.

    Attributes:
        zone: Availability zone of the instance.
        front: `host:port` at which it serves callers.
    """

    zone: str
    front: str


class Draining(_base.Decision, tag="draining"):
    """The instance has started its graceful shutdown.

    Attributes:
        running: Number of requests in flight.
    """

    running: int


class Stopped(_base.Decision, tag="stopped"):
    """The instance stops.

    Attributes:
        running: Number of requests in flight, which are aborted.
    """

    running: int


class Reloaded(_base.Decision, tag="reloaded"):
    """The settings file changed.

    Attributes:
        changed: Names of the changed settings that are in force now.
        restart_needed: Names of the changed settings that take effect only
            after a restart.
    """

    changed: tuple[str, ...]
    restart_needed: tuple[str, ...]


class LoopDelayed(_base.Decision, tag="loop_delayed"):
    """The event loop took long to come round, or the process was paused.

    Attributes:
        delay_ms: Time by which a timer was late.
        busy_with: What was read last before that.
    """

    delay_ms: float
    busy_with: str


class Suppressed(_base.Decision, tag="suppressed"):
    """Lines were left out to limit the size of the log.

    Attributes:
        counts: Number of lines left out, by event.
    """

    counts: dict[str, int]


class Message(_base.Decision, tag="message"):
    """A message of the standard logging library.

    Attributes:
        level: Name of the level, such as `WARNING`.
        source: File name and line number of the call.
        text: Text of the message, with a traceback if there is one.
    """

    level: str
    source: str
    text: str
