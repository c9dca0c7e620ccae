# Build, test, lint and run. The commands are those of README.md and deploy/balancer.toml.
PYTHON = .venv/bin/python

.PHONY: build test lint run pullqueue example example-fleet example-sites example-rules example-zones clean

build: .venv/built

.venv/built: requirements.txt requirements-tools.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-tools.txt -r requirements-dev.txt
	touch $@

test: build
	$(PYTHON) -m pytest

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

run: build  # wants PROXY_CONFIG, as on the platform
	$(PYTHON) -m weldhatch

pullqueue: build
	$(PYTHON) -m weldhatch --pullqueue examples/pullqueue.toml

example: build  # a toy server, a gateway and one task, all on loopback
	$(PYTHON) examples/try_platform.py

example-fleet: build  # a change of a fleet of stand-in nodes, with a crash in the middle
	$(PYTHON) examples/try_fleet.py

example-sites: build  # two gateways as two sites, and a link that is cut under their tasks
	$(PYTHON) examples/try_sites.py

example-rules: build  # three dispatchers agree on a change, and go on when the one that leads is killed
	$(PYTHON) examples/try_rules.py

example-zones: build  # six dispatchers leave a hall that loses its power, and return to it by steps
	$(PYTHON) examples/try_zones.py

clean:
	rm -rf .venv .pytest_cache .ruff_cache
