"""The decisions: which machine a task is offered to, and when to try again or give up.

`policy.Policy` is the entry. Deciding code does no I/O and takes the time and the seed as arguments. The
vocabulary is in `types`, `events` and `actions`; docs/design.md describes the mechanism.
"""
