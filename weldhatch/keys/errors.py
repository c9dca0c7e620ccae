"""Faults of keys, apart from the libraries that work with them."""


class KeysError(ValueError):
    """A folder of keys that can't be used; the text names the file."""
