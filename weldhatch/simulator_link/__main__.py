"""Command-line entry point: `python -m weldhatch.simulator_link`."""

from weldhatch.simulator_link.adapter import main

main()
