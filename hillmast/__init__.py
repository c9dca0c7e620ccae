"""hillmast: decides where service instances run on shared machines."""

from hillmast import interface
from hillmast.interface import *  # noqa: F403
from hillmast.policy import Policy

__all__ = ["Policy", *(name for name in vars(interface) if name[0].isupper())]
