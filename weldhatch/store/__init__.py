"""What has to outlast the process: a checksummed log, its folder's lock, states folded from its records."""
