"""The agreement of a running dispatcher: links, store, and the gate before its decisions."""
