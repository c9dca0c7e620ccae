"""One run of a dispatcher, told from others under its name."""

from __future__ import annotations

from dataclasses import dataclass

from weldhatch.coordination.messages import LeaseRequest


@dataclass(slots=True, frozen=True)
class Incarnation:
    """`epoch` and `token` of a dispatcher's store tell one incarnation of it from another."""

    name: str
    epoch: int
    token: str

    @classmethod
    def of(cls, request: LeaseRequest) -> Incarnation:
        """Return the incarnation that sent a request."""
        return cls(request.name, request.epoch, request.token)

    @property
    def label(self) -> str:
        """One text for all of it."""
        return f"{self.name}.{self.epoch}.{self.token}"
