"""Execution of a fleet plan: the journal of applies, and the runner that connects the engine to the fleet."""
