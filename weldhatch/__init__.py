"""weldhatch: decides where service instances run on shared machines."""

from weldhatch import interface
from weldhatch.interface import *  # noqa: F403
from weldhatch.policy import Policy

__all__ = ["Policy", *(name for name in vars(interface) if name[0].isupper())]
