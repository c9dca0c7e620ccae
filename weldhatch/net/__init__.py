"""Sockets: the ring buffer, the connection, the listener and the budget of descriptors. No protocol."""
