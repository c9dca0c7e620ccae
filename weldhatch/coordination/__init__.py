"""What a group of dispatchers agrees on: versions of settings, lists, leases, and what each may act on. Pure.

`node.CoordinationNode` is one process as a whole; nothing here waits or does I/O.
"""
