"""Coordination of a group of dispatchers: settings versions, drain reports, leases, zone states. No I/O.

`node.CoordinationNode` combines the parts of one process. Nothing in this package waits.
"""
