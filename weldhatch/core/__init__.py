"""The life of requests: attempts, outcomes, timers, standing tasks. It knows no wire."""
