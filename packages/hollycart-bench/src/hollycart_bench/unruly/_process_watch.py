"""Largest memory and number of descriptors of a process."""

import os
import pathlib

import eventlet

from hollycart_bench import fleet

_INTERVAL_S = 0.05
_ESTABLISHED = "01"
_CLOSE_WAIT = "08"


class ProcessWatch:
    """Samples a process on Linux.

    Args:
        pid: Process id.
        ports: TCP ports on which the process listens.

    Attributes:
        max_descriptors: Largest number of open descriptors.
        max_memory_bytes: Largest sum of resident memory and of the bytes that
            were received on the ports and not yet read, in bytes.
    """

    def __init__(self, pid: int, ports: tuple[int, ...]) -> None:
        self.pid = pid
        self.ports = frozenset(f"{port:04X}" for port in ports)
        self.max_descriptors = 0
        self.max_memory_bytes = 0
        self._thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Starts to sample."""
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Takes a last sample, with the peak of the resident memory."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
        self._sample()
        peak_bytes = fleet.read_memory_bytes(self.pid, "VmHWM")
        self.max_memory_bytes = max(self.max_memory_bytes, peak_bytes)

    def _run(self) -> None:
        while True:
            self._sample()
            eventlet.sleep(_INTERVAL_S)

    def _sample(self) -> None:
        try:
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return  # the process has ended
        unread_bytes = self._unread_bytes()
        resident_bytes = fleet.read_memory_bytes(self.pid, "VmRSS")
        self.max_descriptors = max(self.max_descriptors, descriptors)
        self.max_memory_bytes = max(
            self.max_memory_bytes, resident_bytes + unread_bytes
        )

    def _unread_bytes(self) -> int:
        unread_bytes = 0
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
        for line in lines[1:]:
            _, local, _, state, queues = line.split()[:5]
            if (
                state in (_ESTABLISHED, _CLOSE_WAIT)
                and local.partition(":")[2] in self.ports
            ):
                unread_bytes += int(queues.partition(":")[2], 16)
        return unread_bytes
