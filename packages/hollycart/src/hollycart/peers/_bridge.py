"""Runs callbacks of gRPC threads on the event loop."""

import collections
from collections.abc import Callable
from concurrent import futures
import os
from typing import Any

import eventlet
from eventlet import hubs

from hollycart_core import base

_READ_BYTES = 4096


class LoopBridge:
    """Runs callbacks from other threads on the event loop.

    gRPC has its own threads. These only append a callback to a deque and
    write a byte to a pipe, which wakes the loop. All code of the project runs
    on the loop.
    """

    def __init__(self) -> None:
        self._callbacks: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._read_fd = -1
        self._write_fd = -1
        self._thread: Any = None

    def start(self) -> None:
        """Opens the pipe and starts to run callbacks."""
        self._read_fd, self._write_fd = os.pipe()
        os.set_blocking(self._read_fd, False)
        os.set_blocking(self._write_fd, False)
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stops running callbacks and closes the pipe."""
        if self._thread is None:
            return
        self._thread.kill()
        self._thread = None
        os.close(self._read_fd)
        write_fd, self._write_fd = self._write_fd, -1
        os.close(write_fd)

    def post(self, callback: Callable[[], None]) -> None:
        """Schedules a callback on the loop. This method is thread-safe."""
        self._callbacks.append(callback)
        try:
            os.write(self._write_fd, b"\0")
        except (BlockingIOError, OSError):
            # A full pipe wakes the loop anyway. After `close`, the callback
            # is not run.
            pass

    def _run(self) -> None:
        guard = base.LoopGuard("running callbacks")
        while True:
            hubs.trampoline(self._read_fd, read=True)
            try:
                os.read(self._read_fd, _READ_BYTES)
            except BlockingIOError:
                continue
            while self._callbacks:
                with guard.turn():
                    self._callbacks.popleft()()


class LoopExecutor(futures.Executor):
    """Runs gRPC handlers as green threads on the event loop.

    Args:
        bridge: Schedules the handlers on the loop.
    """

    def __init__(self, bridge: LoopBridge) -> None:
        self.bridge = bridge

    def submit(
        self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> futures.Future:
        """Schedules a handler and returns its future.

        gRPC does not wait for the future.
        """
        fut: futures.Future = futures.Future()

        def run() -> None:
            eventlet.spawn(_run_handler, fut, fn, args, kwargs)

        self.bridge.post(run)
        return fut


def _run_handler(
    fut: futures.Future,
    fn: Callable[..., Any],
    args: tuple[Any, ...],
    kwargs: dict[str, Any],
) -> None:
    try:
        fut.set_result(fn(*args, **kwargs))
    except BaseException as exc:
        fut.set_exception(exc)
