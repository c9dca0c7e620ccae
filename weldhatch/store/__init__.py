"""Durable storage: a checksummed append-only log, a folder lock, and states rebuilt from log records."""
