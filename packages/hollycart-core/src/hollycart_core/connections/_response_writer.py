"""Sends a response to a caller, and buffers what the caller does not accept."""

import collections
from collections.abc import Callable
import socket as std_socket
from typing import Any

import eventlet
from eventlet import event
from eventlet import hubs

from hollycart_core import base
from hollycart_core.connections import _memory_budget
from hollycart_core.connections import _memory_gate
from hollycart_core.connections import _sockets

# TCP_USER_TIMEOUT after a buffered response was handed to the kernel, which
# holds some 100 kB of it. A caller that reads 2 kB/s takes these in 50 s.
_DELIVERY_TIMEOUT_MS = 120000
_UNIT_BYTES = 4096  # bytes that are sent in one unit of work


class ResponseWriter:
    """Writes to a caller's socket without waiting for the caller.

    As long as the socket accepts what is written, it is sent at once. The rest
    is buffered, and a green thread sends it as the caller reads.

    Args:
        sock: Socket of the connection to the caller.
        gate: Counts what is buffered.
        account: Account of the request and its response.
        stall_timeout_ms: Time without any progress after which the caller is
            regarded as gone, in ms.
        on_failure: Called from the sending thread with what failed.

    Attributes:
        was_buffered: Whether the socket did not accept something at once.
    """

    def __init__(
        self,
        sock: Any,
        gate: _memory_gate.MemoryGate,
        account: _memory_budget.MemoryAccount,
        stall_timeout_ms: float,
        on_failure: Callable[[str], None],
    ) -> None:
        self.sock = sock
        self.gate = gate
        self.account = account
        self.stall_timeout_ms = stall_timeout_ms
        self.on_failure = on_failure
        self._pieces: collections.deque[tuple[memoryview, int]] = (
            collections.deque()
        )
        self._discarded = False
        self._failure = ""
        self.was_buffered = False
        self._thread: Any = None
        self._flushed: event.Event | None = None
        self._work = base.WorkMeter("response to a caller")

    @property
    def is_empty(self) -> bool:
        """Whether the socket has accepted everything."""
        return not self._pieces

    def write(self, data: bytes) -> None:
        """Sends data, and buffers what the socket does not accept.

        Raises:
            OSError: If the connection failed.
        """
        self._check_failure()
        view = memoryview(data)
        if self.is_empty:
            view = view[self._send(view) :]
            if not view:
                return
        # A part of `data` keeps all of it in memory.
        self._pieces.append((view, len(data)))
        self.gate.add(self.account, len(data))
        if self._thread is None:
            self.was_buffered = True
            self.gate.set_buffered(self.account, True)
            self._thread = eventlet.spawn(self._run)

    def flush(self) -> None:
        """Waits until the socket has accepted everything.

        Raises:
            OSError: If the connection failed.
        """
        self._check_failure()
        if self.is_empty:
            return
        if self._flushed is None:
            self._flushed = event.Event()
        self._flushed.wait()
        self._check_failure()

    def close(self) -> None:
        """Discards what is buffered and stops the sending thread."""
        self.discard()
        thread, self._thread = self._thread, None
        if thread is not None and thread is not eventlet.getcurrent():
            thread.kill()

    def discard(self) -> None:
        """Discards what is buffered; nothing more is sent."""
        self._discarded = True
        freed = sum(size for _, size in self._pieces)
        self._pieces.clear()
        self.gate.set_buffered(self.account, False)
        self.gate.add(self.account, -freed)

    def _run(self) -> None:
        try:
            # The writer itself finds out whether the caller reads.
            _sockets.set_user_timeout(self.sock, 0)
            while self._pieces:
                self._send_first()
            _sockets.set_user_timeout(self.sock, _DELIVERY_TIMEOUT_MS)
        except OSError as exc:
            self._failure = str(exc) or type(exc).__name__
        if self._discarded:
            return  # who waits for the flush is told by whoever discarded it
        if self._failure:
            self.on_failure(self._failure)
        else:
            self._thread = None
            self.gate.set_buffered(self.account, False)
        flushed, self._flushed = self._flushed, None
        if flushed is not None:
            flushed.send()

    def _check_failure(self) -> None:
        if self._failure:
            raise OSError(self._failure)

    def _send_first(self) -> None:
        view, size = self._pieces[0]
        sent = self._send(view)
        if sent == len(view):
            self._pieces.popleft()
            self.gate.add(self.account, -size)
        else:
            self._pieces[0] = (view[sent:], size)
            self._wait_writable()
        self._work.add(1 + sent // _UNIT_BYTES)

    def _send(self, view: memoryview) -> int:
        try:
            return int(self.sock.fd.send(view))
        except BlockingIOError:
            return 0

    def _wait_writable(self) -> None:
        """Waits until the socket accepts more.

        The kernel reports this only once a good part of its buffer is free. A
        caller that reads slowly has made progress if less is unread there.
        """
        unread = self._count_unread()
        while True:
            try:
                hubs.trampoline(
                    self.sock.fd,
                    write=True,
                    timeout=self.stall_timeout_ms / 1000.0,
                    timeout_exc=std_socket.timeout,
                )
                self._work.reset()
                return
            except TimeoutError:
                left = self._count_unread()
                if left >= unread:
                    raise
                unread = left

    def _count_unread(self) -> int:
        return _sockets.count_unread(self.sock)
