"""Runs callbacks of grpc threads on the event loop."""

import collections
from collections.abc import Callable
from concurrent import futures
import os
from typing import Any

import eventlet
from eventlet import hubs

_READ_BYTES = 4096


class LoopBridge:
    """Passes calls from other threads to the event loop's thread.

    grpc runs threads of its own. They only append to a deque and write a
    byte to a pipe; all code of the project runs on the loop.
    """

    def __init__(self) -> None:
        self._calls: collections.deque[Callable[[], None]] = collections.deque()
        self._read_fd = -1
        self._write_fd = -1
        self._thread: Any = None

    def start(self) -> None:
        """Opens the pipe and starts to wait on it."""
        self._read_fd, self._write_fd = os.pipe()
        os.set_blocking(self._read_fd, False)
        os.set_blocking(self._write_fd, False)
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stops waiting and closes the pipe."""
        if self._thread is None:
            return
        self._thread.kill()
        self._thread = None
        os.close(self._read_fd)
        write_fd, self._write_fd = self._write_fd, -1
        os.close(write_fd)

    def post(self, call: Callable[[], None]) -> None:
        """Runs `call` on the loop soon; may be called from any thread."""
        self._calls.append(call)
        try:
            os.write(self._write_fd, b"\0")
        except (BlockingIOError, OSError):
            pass  # full: the loop is awake already; closed: nobody waits

    def _run(self) -> None:
        while True:
            hubs.trampoline(self._read_fd, read=True)
            try:
                os.read(self._read_fd, _READ_BYTES)
            except BlockingIOError:
                continue
            while self._calls:
                self._calls.popleft()()


class LoopExecutor(futures.Executor):
    """Runs grpc handlers as green threads on the loop.

    Args:
        bridge: Passes the handlers to the loop.
    """

    def __init__(self, bridge: LoopBridge) -> None:
        self.bridge = bridge

    def submit(
        self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> futures.Future:
        """Schedules a handler; returns a future that is never awaited."""
        fut: futures.Future = futures.Future()

        def run() -> None:
            eventlet.spawn(_complete, fut, fn, args, kwargs)

        self.bridge.post(run)
        return fut


def _complete(
    fut: futures.Future,
    fn: Callable[..., Any],
    args: tuple[Any, ...],
    kwargs: dict[str, Any],
) -> None:
    try:
        fut.set_result(fn(*args, **kwargs))
    except BaseException as exc:
        fut.set_exception(exc)
