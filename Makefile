PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

.PHONY: test demo bench lint format

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

demo: $(STAMP)
	$(BIN)/python -m standins.demo

bench: $(STAMP)
	$(BIN)/python -m bench all

lint: $(STAMP)
	$(BIN)/black --check --quiet guavagap standins tests bench
	$(BIN)/isort --check-only --quiet guavagap standins tests bench
	$(BIN)/flake8 guavagap standins tests bench

format: $(STAMP)
	$(BIN)/isort --quiet guavagap standins tests bench
	$(BIN)/black --quiet guavagap standins tests bench
