# Each target that needs the virtual environment depends on $(STAMP).
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := $(wildcard packages/*)
NAME ?= path

.PHONY: setup demo test bench lint format

setup: $(STAMP)

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	for package in $(PACKAGES); do \
	  $(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
	    --no-build-isolation --editable $$package || exit 1; \
	done
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m clayfield.testbed.demo ordervaart
	$(BIN)/python -m clayfield.testbed.demo ventanal

test: $(STAMP)
	$(BIN)/python -m pytest

bench: $(STAMP)
	$(BIN)/python -m bench $(NAME)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
