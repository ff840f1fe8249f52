"""Crowds in front of one process."""

import pytest

from hollycart_bench import unruly

MAX_BODY_BYTES = 4 << 20


@pytest.fixture
def start_crowd():
    """Starts a crowd and waits until it gets no further."""
    crowds = []

    def start(address, kind, make_head):
        crowd = unruly.Crowd(
            address, unruly.KINDS[kind], make_head, MAX_BODY_BYTES
        )
        crowds.append(crowd)
        crowd.start()
        crowd.wait_settled()
        return crowd

    yield start
    for crowd in crowds:
        crowd.close()


@pytest.fixture
def check():
    """Checks that a process lives within what it is told to have."""

    def check_process(process, watch, memory_bytes, max_descriptors):
        watch.close()
        assert process.is_running
        assert watch.max_memory_bytes <= memory_bytes
        assert watch.max_descriptors <= max_descriptors

    return check_process
