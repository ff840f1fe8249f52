"""Waits for a call no longer than a time; the call itself goes on."""

from collections.abc import Callable
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

import eventlet
from eventlet import event

from hollycart_core import base

T = TypeVar("T")


class Finished(NamedTuple, Generic[T]):
    """The call ended in time with this value."""

    value: T


def run_bounded(
    function: Callable[[], T],
    timeout_ms: float,
    on_late: Callable[[T], None] | None = None,
) -> Finished[T] | None:
    """Runs a function in a green thread of its own.

    Args:
        function: What to run.
        timeout_ms: Longest wait, in ms.
        on_late: Receives the value if it comes after the wait.

    Returns:
        The value, or None if it did not come in time.

    Raises:
        HollycartError: What `function` raised in time; a later failure is
            dropped.
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
    found = done.wait(timeout=max(0.0, timeout_ms) / 1000.0)
    if found is None:
        late.append(True)
    return found
