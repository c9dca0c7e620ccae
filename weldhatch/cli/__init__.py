"""The command line: sub-commands, what they print, and structured logs. Imported by commands, not by
`run`."""
