# Targets for newcomers: `make demo` and `make test`. VENV may name another environment.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test lint format types bench soak clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[test,bench]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m lacewingcleat.demo_main

test: $(STAMP)
	$(BIN)/python -m pytest -n 8 tests

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

types: $(STAMP)
	$(BIN)/mypy

bench: $(STAMP)
	$(BIN)/python -m bench.run

soak: $(STAMP)
	$(BIN)/python -m pytest -n 8 -m soak --timeout 1800 --override-ini addopts=-q tests

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .pytest_cache .ruff_cache .hypothesis
