"""The command line: commands, their output and structured logs.

A serving dispatcher does not import this package; only the commands do.
"""
