"""Measurements: `python -m benchmarks.NAME [--quick]`. No part of CI."""
