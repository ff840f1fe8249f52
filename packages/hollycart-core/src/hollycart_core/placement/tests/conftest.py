import pytest

from hollycart_core import placement
from hollycart_core import routing


@pytest.fixture
def parameters():
    return routing.EngineParameters(
        8, 450000, 46, 0.925, 0.00966, 0.00254, 256.0, 0.0917, 2048
    )


@pytest.fixture
def model(parameters):
    return placement.EngineModel(parameters)


@pytest.fixture
def view():
    return placement.LoadView()


@pytest.fixture
def health():
    return placement.EndpointHealth()


@pytest.fixture
def placer(view, health):
    return placement.Placer(view, health)


@pytest.fixture
def endpoints():
    return [
        placement.Endpoint(f"e{i:02d}", f"10.0.0.{i}:1", "llm", "z", 8)
        for i in range(14)
    ]


@pytest.fixture
def many_endpoints():
    return [
        placement.Endpoint(f"e{i:02d}", f"10.0.1.{i}:1", "llm", "z", 6)
        for i in range(69)
    ]


@pytest.fixture
def short_prompt():
    def make(attempt, tokens=5000):
        return placement.Prompt(attempt, tokens, 1500, 300, 10000, 200)

    return make


@pytest.fixture
def long_prompt():
    def make(attempt, tokens=210000):
        return placement.Prompt(attempt, tokens, 800, 3000, 15000, 800)

    return make
