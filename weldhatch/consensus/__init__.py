"""One order of commands among a few voters: Raft, without I/O."""
