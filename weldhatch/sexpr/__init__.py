"""Files of S-expressions: one grammar for all of them, their faults, and their canonical form."""
