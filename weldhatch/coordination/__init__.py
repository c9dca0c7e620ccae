"""The rules that a group of dispatchers agrees on: versions, lists, leases, and what each may act on."""
