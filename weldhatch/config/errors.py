"""The error of the package."""


class ConfigError(ValueError):
    """A configuration can't be used; the text names the faulty key."""
