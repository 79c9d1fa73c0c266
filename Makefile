# What the deployment and CI do, by name.
PYTHON = .venv/bin/python

.PHONY: build dev lint test check run demo known-red
build: .venv/bin/ashpath

.venv/bin/ashpath: requirements.txt requirements-command.txt pyproject.toml
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-command.txt
	.venv/bin/pip -q install --no-deps -e .
	touch $@

dev: .venv/bin/pytest

.venv/bin/pytest: .venv/bin/ashpath requirements-dev.txt
	.venv/bin/pip -q install -r requirements-dev.txt
	touch $@

lint: dev
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

test: dev
	$(PYTHON) -m pytest -q

check: lint test

known-red: dev
	PYTHONPATH=tests:. $(PYTHON) -m support.known_failures_run

demo: build
	.venv/bin/ashpath demo

run:
	exec $(PYTHON) -m ashpath
