"""weldhatch: decides where service instances run on shared machines."""

from weldhatch.scheduling import types
from weldhatch.scheduling.policy import Policy
from weldhatch.scheduling.types import *  # noqa: F403

__all__ = ["Policy", *(name for name in vars(types) if name[0].isupper())]
