"""Raft without I/O: one order of commands among a few voters.

Source of the mechanism: Ongaro, "Consensus: Bridging Theory and Practice", 2014. `raft.Raft` puts together
one class a concern; what is to be written or sent is left as effects for the caller to carry out.
"""
