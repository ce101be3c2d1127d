PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEEDS ?= 20
# Test processes side by side; tests with real nodes need two cores each.
JOBS ?= 3
export PYTHONPATH := $(CURDIR)

.PHONY: setup run test lint format measure soak fault-soak slopes clean

setup: $(VENV)/.installed

# One install serves all targets; a changed lock file installs again.
$(VENV)/.installed: requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		--editable .
	touch $@

run: setup
	$(BIN)/python -m bench.session

test: setup
	$(BIN)/python -m pytest -n $(JOBS) --dist worksteal

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .

format: setup
	$(BIN)/ruff format .

measure: setup
	$(BIN)/python -m bench.measure
	$(BIN)/python -m bench.latency

soak: setup
	$(BIN)/python -m bench.soak --seeds $(SEEDS)

fault-soak: setup
	$(BIN)/python -m bench.faultsoak --seeds $(SEEDS)

slopes: setup
	$(BIN)/python -m bench.slopes

clean:
	rm -rf build .pytest_cache .hypothesis .ruff_cache
