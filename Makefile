.PHONY: run test format env

env: .venv/.ready

.venv/.ready: requirements.txt requirements-dev.txt pyproject.toml
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/python -m pip -q install --disable-pip-version-check -r requirements-dev.txt
	.venv/bin/python -m pip -q install --disable-pip-version-check --no-deps -e .
	touch .venv/.ready

# The bad day against stand-ins, judged; exit status 0 only if all rules held.
run: env
	.venv/bin/honeybarrow rehearse

# What the formatter and the linter can mend by themselves.
format: env
	.venv/bin/ruff check --fix honeybarrow tests benchmarks
	.venv/bin/ruff format honeybarrow tests benchmarks

test: env
	.venv/bin/ruff format --check honeybarrow tests benchmarks
	.venv/bin/ruff check honeybarrow tests benchmarks
	.venv/bin/mypy
	.venv/bin/python -m pytest -q
