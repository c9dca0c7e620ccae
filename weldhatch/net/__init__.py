"""Sockets, independent of any protocol: ring buffer, connection, listener and descriptor budget."""
