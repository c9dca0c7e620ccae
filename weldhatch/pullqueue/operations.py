"""Submissions as long-running operations: get, list with filter and pages, wait, cancel, delete, watch,
batches."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import re
from collections.abc import AsyncIterator

from weldhatch.pullqueue.errors import HttpError
from weldhatch.pullqueue.http import Events, Request
from weldhatch.pullqueue.submission import Submission
from weldhatch.pullqueue.tasks import Tasks

PAGE_USUAL, PAGE_MOST = 100, 1000
BATCH_MOST = 100
WAIT_MOST_S = 60.0
CODES = {
    "REFUSED": (14, "refused: trying again is harmless"),
    "FAILED": (2, "failed"),
    "LOST": (10, "lost"),
    "MOVED": (10, "moved"),
    "CANCELLED": (1, "cancelled"),
}
_CLAUSE = re.compile(r'\s*(state|class|tenant|key|done)\s*(=|!=)\s*("(?:[^"\\]|\\.)*"|[^\s"]+)\s*')
_DURATION = re.compile(r"(\d{1,6}(?:\.\d{1,9})?)s")


class Operations:
    """The calls below `operations`."""

    def __init__(self, tasks: Tasks) -> None:
        self._tasks = tasks

    async def submit(self, request: Request) -> dict:
        return self.shown(await self._tasks.begin(request.json(), request.who))

    async def batch_submit(self, request: Request) -> dict:
        """Each entry is taken or not by itself, and answered in its place."""
        entries = self._list(request.json(), "requests", dict)
        out = []
        for entry in entries:
            try:
                out.append({"operation": self.shown(await self._tasks.begin(entry, request.who))})
            except HttpError as fault:
                out.append(fault.body())
        return {"responses": out}

    def batch_cancel(self, request: Request) -> dict:
        out = []
        for name in self._list(request.json(), "names", str):
            try:
                out.append({"operation": self.cancel(name, request)})
            except HttpError as fault:
                out.append(fault.body())
        return {"responses": out}

    @staticmethod
    def _list(tree: dict, name: str, kind: type) -> list:
        entries = tree.get(name)
        if not isinstance(entries, list) or not all(isinstance(one, kind) for one in entries):
            raise HttpError(400, f"{name}: a list is needed", name)
        if not 0 < len(entries) <= BATCH_MOST:
            raise HttpError(400, f"{name}: 1 to {BATCH_MOST} are taken at a time", name)
        return entries

    def get(self, name: str, request: Request) -> dict:
        return masked(self.shown(self._find(name, request)), request.query.get("fields", ""))

    def list(self, request: Request) -> dict:
        """Operations by name, in pages; `filter` is clauses of state, class, tenant, key and done with
        AND."""
        wanted = read_filter(request.query.get("filter", ""))
        size = self._size(request.query.get("pageSize", ""))
        after = read_page(request.query.get("pageToken", ""))
        names, out = sorted(self._tasks.known, key=by_age), []
        start = (
            next((at for at, name in enumerate(names) if by_age(name) > by_age(after)), len(names))
            if after
            else 0
        )
        for name in names[start:]:
            with contextlib.suppress(HttpError):  # another tenant's
                shown = self.shown(self._tasks.find(name, request.who))
                if all(holds(shown, *clause) for clause in wanted):
                    out.append(shown)
            if len(out) > size:
                break
        page = {"operations": out[:size]}
        if len(out) > size:
            page["nextPageToken"] = write_page(internal(out[size - 1]["name"]))
        return masked(page, request.query.get("fields", ""))

    @staticmethod
    def _size(text: str) -> int:
        if not text:
            return PAGE_USUAL
        if not (text.isascii() and text.isdigit() and int(text[:9]) > 0):
            raise HttpError(400, f"pageSize: the unusable value {text[:40]!r}", "pageSize")
        return min(int(text[:9]), PAGE_MOST)

    async def wait(self, name: str, request: Request) -> dict:
        """The operation once it is over, or as it is when the time is up."""
        submission = self._find(name, request)
        text = request.json().get("timeout", "10s")
        match = _DURATION.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise HttpError(400, f"timeout: a duration such as 10s is needed, not {text!r}", "timeout")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(submission.over.wait(), min(float(match[1]), WAIT_MOST_S))
        return self.shown(submission)

    def cancel(self, name: str, request: Request) -> dict:
        submission = self._find(name, request)
        self._tasks.cancel(submission)
        return self.shown(submission)

    def delete(self, name: str, request: Request) -> dict:
        """It is told of no more. What is under way or stands is not ended by that: cancel it first."""
        submission = self._find(name, request)
        if not submission.over.is_set():
            raise HttpError(409, "name: it is not over; cancel it first", "name")
        self._tasks.drop(submission.name)
        return {}

    def watch(self, name: str, request: Request) -> Events:
        submission = self._find(name, request)

        async def source() -> AsyncIterator[tuple[str, dict]]:
            async for state in self._tasks.changes(submission):
                yield ("state", self.shown(submission)) if state else ("", {})

        return Events(source())

    def _find(self, name: str, request: Request) -> Submission:
        return self._tasks.find(internal(name), request.who)

    @staticmethod
    def shown(submission: Submission) -> dict:
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
        out: dict = {
            "name": f"operations/{submission.name.removeprefix('tasks/')}",
            "metadata": metadata,
            "done": done,
        }
        if done and submission.state == "DONE":
            out["response"] = {
                "@type": "type.googleapis.com/weldhatch.TaskResult",
                "result": submission.result,
            }
        elif done:
            code, message = CODES[submission.state]
            reason = submission.message or (submission.final_answer or {}).get("reason", "")
            out["error"] = {"code": code, "message": f"{message}: {reason}" if reason else message}
        return out


def internal(name: str) -> str:
    return f"tasks/{name.removeprefix('operations/')}"


def by_age(name: str) -> tuple[int, str, int]:
    """Names in the order in which they were given: epoch, then number."""
    epoch, _, number = name.partition("/")[2].rpartition("-")
    count, _, token = epoch.partition(".")
    return (int(count) if count.isdigit() else 0, token or epoch, int(number) if number.isdigit() else 0)


def read_filter(text: str) -> list[tuple[str, str, str]]:
    """Clauses `field = value` or `field != value`, joined by AND. HttpError names the filter."""
    out, rest = [], text
    while rest.strip():
        match = _CLAUSE.match(rest)
        if match is None:
            raise HttpError(
                400, f"filter: {rest.strip()[:40]!r} is no clause such as state = PLACED", "filter"
            )
        value = match[3]
        out.append((match[1], match[2], json.loads(value) if value.startswith('"') else value))
        rest = rest[match.end() :]
        if rest:
            if not rest.startswith("AND ") or not rest[4:].strip():
                raise HttpError(400, f"filter: AND and a clause are needed at {rest[:40]!r}", "filter")
            rest = rest[4:]
    return out


def holds(shown: dict, name: str, sign: str, value: str) -> bool:
    there = str(shown["done"]).lower() if name == "done" else shown["metadata"][name]
    return (there == value) == (sign == "=")


def write_page(name: str) -> str:
    return base64.urlsafe_b64encode(name.encode()).decode().rstrip("=")


def read_page(token: str) -> str:
    if not token:
        return ""
    try:
        return base64.b64decode(token + "=" * (-len(token) % 4), b"-_", validate=True).decode()
    except (ValueError, UnicodeDecodeError):
        raise HttpError(400, "pageToken: not one that was given", "pageToken") from None


def masked(tree: dict, mask: str) -> dict:
    """Only the fields that a mask names: `name,metadata.state`, through lists too."""
    if not mask:
        return tree
    out: dict = {}
    for path in mask.split(","):
        steps = path.strip().split(".")
        if not all(step.isidentifier() for step in steps):
            raise HttpError(400, f"fields: {path[:40]!r} is no path", "fields")
        _keep(tree, out, steps)
    return out


def _keep(tree: dict, out: dict, steps: list[str]) -> None:
    name, rest = steps[0], steps[1:]
    if name not in tree:
        return
    value = tree[name]
    if not rest:
        out[name] = value
    elif isinstance(value, dict):
        _keep(value, out.setdefault(name, {}), rest)
    elif isinstance(value, list):
        kept = out.setdefault(name, [{} for _ in value])
        for one, into in zip(value, kept, strict=True):
            if isinstance(one, dict):
                _keep(one, into, rest)
