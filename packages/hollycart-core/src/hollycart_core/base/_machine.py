"""What the machine grants this process, where settings state nothing."""

import os
import resource


def machine_memory_bytes() -> int:
    """Returns the memory of the machine, in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def max_descriptors() -> int:
    """Returns how many files and sockets this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else 1 << 20
