# VENV may point at an environment that already exists.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)/src
export PYTHONDONTWRITEBYTECODE = 1

.PHONY: demo test format lint types unit lock

$(VENV)/.ready: requirements/dev.txt pyproject.toml
	test -x $(PYTHON) || python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements/dev.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: $(VENV)/.ready
	$(PYTHON) -m waxwingferry.bench.main demo

test: format lint types unit

format: $(VENV)/.ready
	$(PYTHON) -m ruff format --no-cache --check .

lint: $(VENV)/.ready
	$(PYTHON) -m ruff check --no-cache .

types: $(VENV)/.ready
	$(PYTHON) -m mypy --no-incremental --cache-dir=/dev/null
	$(PYTHON) -m mypy --no-incremental --cache-dir=/dev/null benchmarks

unit: $(VENV)/.ready
	$(PYTHON) -m pytest

COMPILE = $(VENV)/bin/pip-compile -q --generate-hashes --allow-unsafe --strip-extras --no-emit-index-url --no-emit-find-links --no-emit-trusted-host

# Rewrites the pinned, hashed requirements from the *.in files.
lock:
	for f in main dev; do $(COMPILE) -o requirements/$$f.txt requirements/$$f.in; done
	$(COMPILE) -c requirements/main.txt -o deploy/requirements.txt requirements/node.in
