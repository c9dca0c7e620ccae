"""Leaving a zone that fails as a fleet, and returning at a pace that its servers bear. Decisions, no I/O."""
