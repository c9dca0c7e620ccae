"""The Raft consensus algorithm without I/O: a replicated log of commands among a small group of voters.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014. `raft.Raft` combines one class per concern
and returns disk writes and messages as effects that the caller carries out.
"""
