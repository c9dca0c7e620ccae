"""The error that the package raises for unusable configuration."""


class ConfigError(ValueError):
    """A configuration can't be used; the text names the faulty key."""
