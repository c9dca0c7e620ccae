"""Errors of the key folder, importable without the cryptography libraries."""


class KeysError(ValueError):
    """A folder of keys cannot be used; the text names the file."""
