PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test demo bench report model soak lint format clean

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -e '.[dev]'
	touch $(STAMP)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint model
	$(BIN)/python -m pytest

model: setup
	$(BIN)/python -m foxtailwell_model

soak: setup
	FOXTAILWELL_PROFILE=soak $(BIN)/python -m pytest tests
	$(BIN)/python -m foxtailwell_soak --seeds 10
	$(BIN)/python -m foxtailwell_soak --quiet --seeds 10

demo: setup
	PATH="$(CURDIR)/$(BIN):$$PATH" scripts/demo.sh

bench: setup
	$(BIN)/python -m foxtailwell_bench

report: report/bench.jsonl
	$(BIN)/python -m foxtailwell_bench.report report/bench.jsonl report/index.html

report/bench.jsonl: $(STAMP)
	mkdir -p report
	$(BIN)/python -m foxtailwell_bench > $@.part
	mv $@.part $@

clean:
	rm -rf $(VENV)
