"""What has to outlast the process: a checksummed log, and the lock of its folder."""
