PY := .venv/bin/python

.venv/.ready: requirements-dev.lock pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.lock
	.venv/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/.ready

.PHONY: env demo test format lint bench proof golden lock

env: .venv/.ready

demo: env
	$(PY) scripts/demo.py
	$(PY) scripts/demo_platform.py

format: env
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix .

lint: env
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/lint-imports --no-cache

test: lint
	$(PY) -m pytest -m "not proof"

bench: env
	$(PY) -m bench

proof: env
	$(PY) scripts/proof.py

golden: env
	$(PY) -m pytest tests/golden --snapshot-update

lock:
	.venv/bin/pip-compile --quiet --strip-extras --no-emit-index-url --no-emit-find-links --no-header --output-file requirements.lock pyproject.toml
	.venv/bin/pip-compile --quiet --strip-extras --no-emit-index-url --no-emit-find-links --no-header --allow-unsafe --extra dev --output-file requirements-dev.lock pyproject.toml requirements-build.in
