PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
BENCH := $(BIN)/python -m hollycart_bench.commands
SEED ?= 1
DURATION_S ?= 120

.PHONY: setup run up test prove platform soak experiment measure recover

setup: $(VENV)/installed

$(VENV)/installed: requirements.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation \
	  -e packages/hollycart-core -e packages/hollycart -e packages/hollycartctl -e packages/hollycart-bench -e platform
	touch $(VENV)/installed

run: setup
	$(BENCH) sample --seed $(SEED)

up: setup
	$(BENCH) up

# The short soak checks nothing that depends on the speed of the machine.
test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages/*/src platform/hollycart_platform platform/hollycart_standins
	$(BIN)/python -m pytest $(PYTEST_ARGS)
	$(BENCH) soak --seed 1 --short

prove: setup
	$(BENCH) prove --seed $(SEED) --seeds $(or $(SEEDS),1) --duration-s $(DURATION_S)

platform: setup
	$(BENCH) calm --seed $(SEED)

soak: setup
	$(BENCH) soak --seed $(SEED)

experiment: setup
	$(BENCH) compare $(if $(QUICK),--seeds 3)

measure: setup
	$(BENCH) measure $(if $(QUICK),--quick) $(MEASURE_ARGS)

recover: setup
	$(BENCH) recover --seed $(SEED)
