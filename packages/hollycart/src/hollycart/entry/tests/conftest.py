import pytest

from hollycart_bench import local


@pytest.fixture(name="system")
def _system():
    running = local.LocalSystem()
    running.start()
    yield running
    running.close()


@pytest.fixture(name="small_engines")
def _small_engines():
    running = local.LocalSystem(engines=3, capacity_tokens=3_000)
    running.start()
    yield running
    running.close()
