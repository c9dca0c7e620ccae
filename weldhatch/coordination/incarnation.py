"""Identity of one run of a dispatcher."""

from __future__ import annotations

from dataclasses import dataclass

from weldhatch.coordination.messages import LeaseRequest


@dataclass(slots=True, frozen=True)
class Incarnation:
    """One run of a dispatcher. `epoch` and `token` come from its store and differ between incarnations."""

    name: str
    epoch: int
    token: str

    @classmethod
    def of(cls, request: LeaseRequest) -> Incarnation:
        """Return the incarnation that sent a request."""
        return cls(request.name, request.epoch, request.token)

    @property
    def label(self) -> str:
        """The incarnation as one string."""
        return f"{self.name}.{self.epoch}.{self.token}"
