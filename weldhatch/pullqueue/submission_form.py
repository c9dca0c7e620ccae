"""Parsing and validation of submissions to the HTTP interface. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from weldhatch.placement_request import FieldError, PlacementForm, PlacementRequest
from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.workers import Worker, read_worker
from weldhatch.scheduling.types import Effect, Settings

MAX_BLOB_LENGTH = 8 * 1024
MAX_REQUEST_ID_LENGTH = 100
MIN_TIME_LEFT_US = 1000


@dataclass(slots=True, frozen=True)
class SubmissionForm:
    """One valid submission."""

    request: PlacementRequest
    blob: str
    requirements: Worker
    request_id: str


class SubmissionReader:
    """Reads submissions and checks them against the settings."""

    def __init__(self, settings: Settings) -> None:
        """Check submissions against these settings."""
        self._settings = settings
        self._form = PlacementForm(settings)

    def read(self, tree: dict[str, Any]) -> SubmissionForm:
        """Read a submission. Raises HttpError naming the field."""
        try:
            request = self._form.read(tree)
        except FieldError as error:
            raise HttpError(400, str(error), error.field) from None
        blob = _limited_text(tree, "blob", MAX_BLOB_LENGTH)
        request_id = _limited_text(tree, "requestId", MAX_REQUEST_ID_LENGTH)
        if request.at:
            raise HttpError(400, "extras.at: a pull queue knows who holds a task", "extras.at")
        if not request.key and self._settings.classes[request.class_index].effect is not Effect.SAFE:
            raise HttpError(400, "key: tasks of this class need one", "key")
        if request.left_us < MIN_TIME_LEFT_US:
            raise HttpError(400, "left: at least 1 millisecond is needed", "left")
        requirements = read_worker(tree.get("requirements"), "requirements")
        return SubmissionForm(request, blob, requirements, request_id)

    def tenant_of(self, tree: dict[str, Any], caller: object) -> int:
        """Return the index of a submission's tenant; 0 if it names none or an unknown one."""
        names = [tenant.name for tenant in self._settings.tenants]
        name = getattr(caller, "tenant", "") or tree.get("tenant")
        return names.index(name) if name in names else 0


def _limited_text(tree: dict[str, Any], field: str, limit: int) -> str:
    text = tree.get(field, "")
    if not isinstance(text, str) or len(text) > limit:
        raise HttpError(400, f"{field}: a text of at most {limit} characters is needed", field)
    return text


def for_callers_tenant(tree: dict[str, Any], caller: object) -> dict[str, Any]:
    """Return a submission with the tenant of its caller's token filled in.

    Raises HttpError if the submission names another tenant.
    """
    tenant = getattr(caller, "tenant", "")
    if not tenant:
        return tree
    if tree.get("tenant", tenant) not in ("", tenant):
        raise HttpError(403, "tenant: the token is for another one", "tenant")
    return {**tree, "tenant": tenant}
