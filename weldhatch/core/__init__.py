"""Lifecycle of requests: attempts, outcomes, timers and running tasks. Independent of any protocol."""
