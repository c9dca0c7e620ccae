"""Whole groups of gateways in one process, on a virtual clock, under faults from a seed.

The program's own coroutines run as they are: fronts, links, agreement, stores. What the operating system
gives them is replaced while a play goes on: clocks, randomness, sockets, the thread that waits for a disk.
One seed is one run, the same each time.
"""
