VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python

# Compiled modules load on one kind of machine and interpreter only, and scripts name their folder.
MADE_FOR := $(shell $(PYTHON) -c 'import os, platform, sysconfig; \
  print(platform.machine(), sysconfig.get_config_var("SOABI"), os.path.realpath("$(VENV)"))')

.PHONY: demo fleet test lint format capacity environment

ifneq ($(shell cat $(VENV)/installed 2>/dev/null),$(MADE_FOR))
$(VENV)/installed: environment
endif

# Written last: what was interrupted is not taken for whole.
$(VENV)/installed: pyproject.toml
	[ "$$(cat $@ 2>/dev/null)" = '$(MADE_FOR)' ] || rm -rf $(VENV)
	rm -f $@
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	echo '$(MADE_FOR)' > $@

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
