# build: what `run` needs; dev: what tests and lint need. Both leave everything inside this folder.
PYTHON ?= python3
CONFIG ?= examples/config.json

.PHONY: build dev test lint format run toy try clean

build:
	cmp -s requirements.txt .venv/requirements.txt || ( $(PYTHON) -m venv .venv && .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/requirements.txt )

dev:
	cat requirements.txt requirements-dev.txt pyproject.toml | cmp -s - .venv-dev/installed.txt || ( $(PYTHON) -m venv .venv-dev && .venv-dev/bin/pip -q install -r requirements-dev.txt && cat requirements.txt requirements-dev.txt pyproject.toml > .venv-dev/installed.txt )

test: dev
	.venv-dev/bin/python -m pytest -q

lint: dev
	.venv-dev/bin/ruff check .
	.venv-dev/bin/ruff format --check .

format: dev
	.venv-dev/bin/ruff check --fix .
	.venv-dev/bin/ruff format .

run: build
	EDGE_CONFIG=$(CONFIG) exec .venv/bin/python -m cloverwell

toy: build
	.venv/bin/python examples/toy_server.py

try: build
	.venv/bin/python examples/try.py

clean:
	rm -rf .venv .venv-dev .pytest_cache .ruff_cache
