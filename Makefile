VENV := .venv
BIN := $(VENV)/bin
PACKAGE := pimentoquay
TYPED := policy messages scheduler configuration membership http1 platform gateway
STAMP := $(VENV)/.installed

.PHONY: install test format demo serve steady faults clean

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[test]'
	touch $(STAMP)

format: install
	$(BIN)/black --quiet $(PACKAGE)
	$(BIN)/ruff check --fix $(PACKAGE)

test: install
	$(BIN)/black --check --quiet $(PACKAGE)
	$(BIN)/ruff check $(PACKAGE)
	$(BIN)/mypy $(addprefix $(PACKAGE)/,$(TYPED))
	$(BIN)/lint-imports --no-cache > .imports.log || { cat .imports.log; exit 1; }
	$(BIN)/python -m pytest -m "not alone"
	$(BIN)/python -m pytest -m alone -n 0
	$(BIN)/pimentoquay-bench faults --seed 1 --schedules 200 --steps 6

demo: install
	@sh tools/demo.sh $(BIN)

# The demo's VMs without load or failures, until Ctrl-C; for docs/tutorial.md
serve: install
	@sh tools/demo.sh $(BIN) serve

# Control processes on loopback before idle engines: make steady VMS=29 ENGINES=156 SECONDS=30
# PROFILED=control-loopback-vm-7 prints the dearest functions of one of them, BURST=500 in the
# environment publishes that many changes over the second half.
VMS ?= 8
ENGINES ?= 22
SECONDS ?= 30
PROFILED ?=

steady: install
	@sh tools/steady.sh $(BIN) $(VMS) $(ENGINES) $(SECONDS) $(PROFILED)

# Schedules of failures in several processes: make faults SEED=1 SCHEDULES=2000 STEPS=6 JOBS=6
SEED ?= 1
SCHEDULES ?= 200
STEPS ?= 6
JOBS ?= 2

faults: install
	@sh tools/faults.sh $(BIN) $(SEED) $(SCHEDULES) $(STEPS) $(JOBS)

clean:
	rm -rf .demo .steady .faults .pytest_cache .mypy_cache .ruff_cache .hypothesis
