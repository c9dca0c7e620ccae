"""Zone failover: all dispatchers leave a failed zone together and return to it step by step.

The modules decide and do no I/O.
"""
