"""The placement decisions: policy, its records and its types. No I/O; clock and randomness are arguments."""
