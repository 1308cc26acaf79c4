VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python

.PHONY: demo fleet test lint format capacity

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(RUN) -m standins.demo

fleet: $(VENV)/installed
	$(RUN) -m standins.demo --stay

test: $(VENV)/installed
	$(RUN) -m pytest

lint: $(VENV)/installed
	$(VENV)/bin/black --check --quiet src tests standins bench
	$(VENV)/bin/ruff check --quiet src tests standins bench
	$(VENV)/bin/mypy

format: $(VENV)/installed
	$(VENV)/bin/black --quiet src tests standins bench
	$(VENV)/bin/ruff check --fix --quiet src tests standins bench

# Measures every slope of docs/CAPACITY.md and writes its tables and plots.
capacity: $(VENV)/installed
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[bench]'
	$(RUN) -m bench.capacity
