# Two commands for a fresh machine; each makes its own environment.
PYTHON ?= python3
# Most tests wait on sockets and the clock, not on the processor; fleets of 24 processes run among them.
WORKERS ?= 6

.PHONY: demo test

demo: .venv/lab.txt
	.venv/bin/python -m headspar.cli demo

test: .venv/dev.txt
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/python -m compileall -q headspar
	.venv/bin/pytest -q -n $(WORKERS) --dist worksteal

.venv/bin/pip:
	$(PYTHON) -m venv --clear .venv

# An environment is good as long as the lists that it was made from are the same.
.venv/lab.txt: requirements.txt requirements-lab.txt | .venv/bin/pip
	.venv/bin/pip -q install -r requirements-lab.txt
	cat $^ > $@

.venv/dev.txt: requirements.txt requirements-lab.txt requirements-dev.txt | .venv/bin/pip
	.venv/bin/pip -q install -r requirements-dev.txt
	cat $^ > $@
