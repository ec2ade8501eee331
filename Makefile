# Every target except clean works in a new checkout: it first creates the virtual
# environment and installs the locked packages.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= league
SEEDS ?= 1-50
PACKAGES := core wire node cli standins

.PHONY: answer-cost setup demo test bench capacity model lint events faults soak mutations experiment profile clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements/lock.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements/lock.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/clementineyoke-$(p))
	touch $@

demo: setup
	$(BIN)/python -m clementineyoke_standins.console.demo --deployment=$(DEPLOYMENT)

test: setup
	$(BIN)/python tools/check.py

bench: setup
	$(BIN)/python -m clementineyoke_standins.console.bench

capacity: setup
	$(BIN)/python -m clementineyoke_standins.console.capacity

model: setup
	$(BIN)/python -m clementineyoke_standins.console.model

lint: setup
	$(BIN)/ruff format --check . && $(BIN)/ruff check . && $(BIN)/mypy packages/*/src tools && $(BIN)/python tools/boundary.py

events: setup
	$(BIN)/python -m clementineyoke_standins.console.events

clean:
	rm -rf build $(VENV)

faults: setup
	$(BIN)/python -m clementineyoke_standins.console.faults

soak: setup
	$(BIN)/python -m clementineyoke_standins.console.soak --seeds=$(SEEDS) --kept

profile: setup
	$(BIN)/python -m clementineyoke_standins.console.profile

mutations: setup
	$(BIN)/python tools/mutations.py

# Usage: make experiment ARGS="--bench=BENCH --arms=old=DIR,new=DIR --sites=SITE --days=DAY --why=..."
experiment: setup
	$(BIN)/python -m clementineyoke_standins.console.experiment $(ARGS)

# Processor time of a node for a sound answer, to compare two builds.
answer-cost: setup
	$(BIN)/python -m clementineyoke_standins.console.answer_cost
