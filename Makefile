PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONPATH := src:.

.PHONY: soak reference bench-reads mutants capacity bench-sharing bench-gaps demo fleet test check unit scenarios model bench-overhead install

install: $(VENV)/installed

$(VENV)/installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps -e .
	touch $@

demo: install
	$(BIN)/python -m standins.demo

fleet: install
	$(BIN)/python -m standins.keep

test: install
	$(BIN)/python tests/run.py

unit: install
	$(BIN)/python -m nose2 -s tests -t .

scenarios: install
	$(BIN)/behave --no-capture --format progress2 features

model: install
	$(BIN)/python -m specifications

capacity: install
	$(BIN)/python -m measurements.capacity

bench-sharing: install
	$(BIN)/python -m measurements.sharing

bench-gaps: install
	$(BIN)/python -m measurements.gaps
	$(BIN)/python -m measurements.primary_changes

mutants: install
	$(BIN)/python tests/mutants.py

bench-reads: install
	$(BIN)/python -m measurements.reads

bench-overhead: install
	$(BIN)/python -m measurements.overhead

reference: install
	$(BIN)/python -m egretstep.settings.reference > docs/CONFIGURATION.md

soak: install
	$(BIN)/python -m soak --seeds 50
