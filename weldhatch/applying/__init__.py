"""Carrying a plan out: the journal of it, and the runner between the engine and the wire."""
