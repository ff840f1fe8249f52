"""Runs a call with a time limit on the wait, not on the call itself."""

from collections.abc import Callable
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

import eventlet
from eventlet import event

from hollycart_core import base

T = TypeVar("T")


class Finished(NamedTuple, Generic[T]):
    """The value of a call that returned within the time limit.

    The wrapper distinguishes a returned None from a timeout.

    Attributes:
        value: What the call returned.
    """

    value: T


def run_with_timeout(
    function: Callable[[], T],
    timeout_ms: float,
    on_late: Callable[[T], None] | None = None,
) -> Finished[T] | None:
    """Runs a function in its own green thread and waits for its value.

    The function is not interrupted at the timeout; it continues in the
    background.

    Args:
        function: What to run.
        timeout_ms: Longest wait, in ms.
        on_late: Receives the value if it arrives after the timeout.

    Returns:
        The value, or None after a timeout.

    Raises:
        HollycartError: If `function` raises it before the timeout. An error
            after the timeout is dropped.
    """
    done = event.Event()
    late: list[bool] = []

    def run() -> None:
        try:
            value = function()
        except base.HollycartError as exc:
            if not late:
                done.send_exception(exc)
            return
        if not late:
            done.send(Finished(value))
        elif on_late is not None:
            on_late(value)

    eventlet.spawn_n(run)
    finished = done.wait(timeout=max(0.0, timeout_ms) / 1000.0)
    if finished is None:
        late.append(True)
    return finished
