"""S-expression files: the grammar, the reader that reports all faults at once, and the canonical format."""
