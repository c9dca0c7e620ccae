"""weldhatch: decides where service instances run on shared machines."""

from weldhatch.scheduling import actions, events, types
from weldhatch.scheduling.actions import *  # noqa: F403
from weldhatch.scheduling.events import *  # noqa: F403
from weldhatch.scheduling.policy import Policy
from weldhatch.scheduling.types import *  # noqa: F403

__all__ = [
    "Policy",
    *sorted({name for module in (types, events, actions) for name in vars(module) if name[0].isupper()}),
]
