"""Requests under way: attempts, outcomes, timers, standing tasks. It knows no wire."""
