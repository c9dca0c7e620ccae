"""Submissions as long-running operations: get, list, wait, cancel, delete, watch and batch calls."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import re
from collections.abc import AsyncIterator

from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Answer, EventStream, Request
from weldhatch.pullqueue.submission import Submission
from weldhatch.pullqueue.tasks import Tasks

DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE = 100, 1000
MAX_BATCH_SIZE = 100
MAX_WAIT_S = 60.0
ERROR_CODES = {
    "REFUSED": (14, "refused: trying again is harmless"),
    "FAILED": (2, "failed"),
    "LOST": (10, "lost"),
    "MOVED": (10, "moved"),
    "CANCELLED": (1, "cancelled"),
}
_CLAUSE = re.compile(r'\s*(state|class|tenant|key|done)\s*(=|!=)\s*("(?:[^"\\]|\\.)*"|[^\s"]+)\s*')
_DURATION = re.compile(r"(\d{1,6}(?:\.\d{1,9})?)s")


class Operations:
    """The calls below the path `operations`. All raise HttpError."""

    def __init__(self, tasks: Tasks) -> None:
        """Serve these submissions."""
        self._tasks = tasks

    async def submit(self, request: Request) -> Answer:
        """Submit a task; answer with its operation without waiting for the placement."""
        return self.operation_json(await self._tasks.start_operation(request.json(), request.caller)), {}

    async def batch_submit(self, request: Request) -> Answer:
        """Submit several tasks, each with an operation or an error of its own in the answer."""
        entries = self._entries(request.json(), "requests", dict)
        result: list[dict] = []
        submissions: list[Submission] = []
        try:
            for entry in entries:
                try:
                    submissions.append(await self._tasks.start_operation(entry, request.caller))
                    result.append({"operation": self.operation_json(submissions[-1])})
                except HttpError as fault:
                    result.append(fault.body())
        except asyncio.CancelledError:  # the submitter has disconnected, and was told none of the names
            for submission in submissions:
                self._tasks.give_up_unless_fetchable(submission)
            raise
        return {"responses": result}, {}

    async def batch_cancel(self, request: Request) -> dict:
        """Cancel several operations, each with an operation or an error of its own in the answer."""
        result: list[dict] = []
        submissions: list[Submission] = []
        for name in self._entries(request.json(), "names", str):
            try:
                submissions.append(self._cancel(name, request))
                result.append({"operation": self.operation_json(submissions[-1])})
            except HttpError as fault:
                result.append(fault.body())
        await asyncio.gather(*(submission.wait_until_end_stored() for submission in submissions))
        return {"responses": result}

    @staticmethod
    def _entries(tree: dict, name: str, kind: type) -> list:
        entries = tree.get(name)
        if not isinstance(entries, list) or not all(isinstance(item, kind) for item in entries):
            raise HttpError(400, f"{name}: a list is needed", name)
        if not 0 < len(entries) <= MAX_BATCH_SIZE:
            raise HttpError(400, f"{name}: 1 to {MAX_BATCH_SIZE} are taken at a time", name)
        return entries

    def get(self, name: str, request: Request) -> dict:
        """Return an operation, restricted to the query's `fields`."""
        return apply_field_mask(
            self.operation_json(self._find(name, request)), request.query.get("fields", "")
        )

    def list(self, request: Request) -> dict:
        """Return a page of operations in order of creation.

        The query's `filter` has clauses on state, class, tenant, key and done, joined by AND.
        """
        clauses = read_filter(request.query.get("filter", ""))
        size = self._page_size(request.query.get("pageSize", ""))
        after = decode_page_token(request.query.get("pageToken", ""))
        names, result = sorted(self._tasks.known, key=creation_order), []
        start = (
            next(
                (at for at, name in enumerate(names) if creation_order(name) > creation_order(after)),
                len(names),
            )
            if after
            else 0
        )
        for name in names[start:]:
            with contextlib.suppress(HttpError):  # skips other tenants' tasks
                operation_json = self.operation_json(self._tasks.find(name, request.caller))
                if all(clause_matches(operation_json, *clause) for clause in clauses):
                    result.append(operation_json)
            if len(result) > size:
                break
        page = {"operations": result[:size]}
        if len(result) > size:
            page["nextPageToken"] = encode_page_token(task_name(result[size - 1]["name"]))
        return apply_field_mask(page, request.query.get("fields", ""))

    @staticmethod
    def _page_size(text: str) -> int:
        if not text:
            return DEFAULT_PAGE_SIZE
        if not (text.isascii() and text.isdigit() and int(text[:9]) > 0):
            raise HttpError(400, f"pageSize: the unusable value {text[:40]!r}", "pageSize")
        return min(int(text[:9]), MAX_PAGE_SIZE)

    async def wait(self, name: str, request: Request) -> dict:
        """Return an operation once it is over, or its current state after the timeout."""
        submission = self._find(name, request)
        text = request.json().get("timeout", "10s")
        match = _DURATION.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise HttpError(400, f"timeout: a duration such as 10s is needed, not {text!r}", "timeout")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(submission.over.wait(), min(float(match[1]), MAX_WAIT_S))
        return self.operation_json(submission)

    async def cancel(self, name: str, request: Request) -> dict:
        """Cancel an operation; return it."""
        submission = self._cancel(name, request)
        await submission.wait_until_end_stored()
        return self.operation_json(submission)

    def _cancel(self, name: str, request: Request) -> Submission:
        submission = self._find(name, request)
        self._tasks.cancel(submission)
        return submission

    def delete(self, name: str, request: Request) -> dict:
        """Remove an operation that is over. A pending or running one is rejected: cancel it first."""
        submission = self._find(name, request)
        if not submission.over.is_set():
            raise HttpError(409, "name: it is not over; cancel it first", "name")
        self._tasks.drop(submission.name)
        return {}

    def watch(self, name: str, request: Request) -> EventStream:
        """Return a stream of an operation's state changes, from its current state to its end."""
        submission = self._find(name, request)

        async def source() -> AsyncIterator[tuple[str, dict]]:
            async for state in self._tasks.changes(submission):
                yield ("state", self.operation_json(submission)) if state else ("", {})

        return EventStream(source())

    def _find(self, name: str, request: Request) -> Submission:
        return self._tasks.find(task_name(name), request.caller)

    @staticmethod
    def operation_json(submission: Submission) -> dict:
        """Return a submission as an operation in JSON form."""
        done = submission.over.is_set()
        metadata = {
            "@type": "type.googleapis.com/weldhatch.TaskMetadata",
            "state": submission.state,
            "class": submission.fields.get("class", ""),
            "tenant": submission.fields.get("tenant", ""),
            "key": submission.fields.get("key", ""),
            "botId": submission.bot,
        }
        if submission.final_answer is not None:
            metadata["answer"] = submission.final_answer
        result: dict = {
            "name": f"operations/{submission.name.removeprefix('tasks/')}",
            "metadata": metadata,
            "done": done,
        }
        if done and submission.state == "DONE":
            result["response"] = {
                "@type": "type.googleapis.com/weldhatch.TaskResult",
                "result": submission.result,
            }
        elif done:
            code, message = ERROR_CODES[submission.state]
            reason = submission.message or (submission.final_answer or {}).get("reason", "")
            result["error"] = {"code": code, "message": f"{message}: {reason}" if reason else message}
        return result


def task_name(name: str) -> str:
    """Return the task name of an operation."""
    return f"tasks/{name.removeprefix('operations/')}"


def creation_order(name: str) -> tuple[int, str, int]:
    """Return a sort key that orders names by creation: by epoch, then by number."""
    epoch, _, number = name.partition("/")[2].rpartition("-")
    count, _, token = epoch.partition(".")
    return (int(count) if count.isdigit() else 0, token or epoch, int(number) if number.isdigit() else 0)


def read_filter(text: str) -> list[tuple[str, str, str]]:
    """Read clauses `field = value` or `field != value` joined by AND, as (field, operator, value).

    Raises HttpError.
    """
    result, rest = [], text
    while rest.strip():
        match = _CLAUSE.match(rest)
        if match is None:
            raise HttpError(
                400, f"filter: {rest.strip()[:40]!r} is no clause such as state = PLACED", "filter"
            )
        value = match[3]
        result.append((match[1], match[2], json.loads(value) if value.startswith('"') else value))
        rest = rest[match.end() :]
        if rest:
            if not rest.startswith("AND ") or not rest[4:].strip():
                raise HttpError(400, f"filter: AND and a clause are needed at {rest[:40]!r}", "filter")
            rest = rest[4:]
    return result


def clause_matches(operation_json: dict, name: str, operator: str, value: str) -> bool:
    """Return whether an operation meets one clause of a filter."""
    actual = str(operation_json["done"]).lower() if name == "done" else operation_json["metadata"][name]
    return (actual == value) == (operator == "=")


def encode_page_token(name: str) -> str:
    """Return the token of the page after this name."""
    return base64.urlsafe_b64encode(name.encode()).decode().rstrip("=")


def decode_page_token(token: str) -> str:
    """Return the name in a page token; '' for an empty token. Raises HttpError."""
    if not token:
        return ""
    try:
        return base64.b64decode(token + "=" * (-len(token) % 4), b"-_", validate=True).decode()
    except (ValueError, UnicodeDecodeError):
        raise HttpError(400, "pageToken: not one that was given", "pageToken") from None


def apply_field_mask(tree: dict, mask: str) -> dict:
    """Return only the fields that a mask such as `name,metadata.state` names, also within lists.

    Raises HttpError.
    """
    if not mask:
        return tree
    result: dict = {}
    for path in mask.split(","):
        steps = path.strip().split(".")
        if not all(step.isidentifier() for step in steps):
            raise HttpError(400, f"fields: {path[:40]!r} is no path", "fields")
        _copy_path(tree, result, steps)
    return result


def _copy_path(tree: dict, result: dict, steps: list[str]) -> None:
    name, rest = steps[0], steps[1:]
    if name not in tree:
        return
    value = tree[name]
    if not rest:
        result[name] = value
    elif isinstance(value, dict):
        _copy_path(value, result.setdefault(name, {}), rest)
    elif isinstance(value, list):
        kept = result.setdefault(name, [{} for _ in value])
        for item, target in zip(value, kept, strict=True):
            if isinstance(item, dict):
                _copy_path(item, target, rest)
