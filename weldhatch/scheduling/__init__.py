"""Scheduling policy: which machine a task is offered to, and when a request is retried or answered.

`policy.Policy` is the entry point. The package does no I/O and takes the time and the random seed as
arguments. Its vocabulary is in `types`, `events` and `actions`; docs/design.md describes the mechanism.
"""
