"""Calls to a pull queue: JSON in and out, faults as exceptions, waits that heed what the gateway says."""

from __future__ import annotations

import json
import random
import ssl
from collections.abc import Callable
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

PREFIX = "/v1test2/"
BACKOFF_S = 0.2
BACKOFF_MOST_S = 10.0


class ApiError(Exception):
    """A call that was not answered with 200.

    code: the HTTP status; 0 where nobody answered: the call may have had its effect all the same.
    status, message: as in google.rpc.Status. field: the request's field at fault, if the gateway names one.
    retry_s: how long the gateway asks to wait before the next attempt, in seconds.
    """

    def __init__(self, code: int, status: str, message: str, field: str = "", retry_s: float = 0.0) -> None:
        """Keep what the gateway answered."""
        super().__init__(f"{code or 'no answer'} {status}: {message}".strip())
        self.code = code
        self.status = status
        self.message = message
        self.field = field
        self.retry_s = retry_s

    @property
    def transient(self) -> bool:
        """Whether the same call may succeed later."""
        return self.code in (0, 408, 429, 500, 503)


class Backoff:
    """Exponential backoff with jitter, never shorter than what the gateway asks for (Retry-After)."""

    def __init__(
        self,
        uniform: Callable[[], float] = random.random,
        first_s: float = BACKOFF_S,
        most_s: float = BACKOFF_MOST_S,
    ) -> None:
        """uniform: a random number in [0, 1). first_s, most_s: first and longest span, in seconds."""
        self._uniform = uniform
        self._first = first_s
        self._most = most_s
        self.tries = 0

    def next(self, advised_s: float = 0.0) -> float:
        """Return how long to wait now, in seconds, and count the attempt.

        advised_s: what the gateway asked for, in seconds.
        """
        span: float = min(self._most, self._first * 2**self.tries)
        self.tries += 1
        # What was advised is kept in full; the spread comes on top, so that those rejected together part.
        return advised_s + span * (0.5 + 0.5 * self._uniform())


class Api:
    """One gateway. Owns its HTTP client; use it as an async context manager, or `close` it."""

    def __init__(
        self,
        address: str,
        *,
        token: str = "",
        authority: str = "",
        certificate: str = "",
        key: str = "",
        at_once: int = 100,
    ) -> None:
        """Open no connection yet.

        address: http(s)://host:port. token: the bearer token, if any.
        authority: a PEM file to trust. certificate, key: PEM files to show.
        at_once: calls in flight at a time; more of them queue.
        """
        self.address = address.rstrip("/")
        self._token = token
        self._ssl: ssl.SSLContext | None = None
        if self.address.startswith("https"):
            self._ssl = ssl.create_default_context(cafile=authority or None)
            if certificate:
                self._ssl.load_cert_chain(certificate, key or None)
        AsyncHTTPClient.configure(SimpleAsyncHTTPClient)
        self._client = AsyncHTTPClient(force_instance=True, max_clients=at_once, max_buffer_size=4 << 20)

    async def __aenter__(self) -> Api:
        """Return the gateway itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the HTTP client."""
        self.close()

    def close(self) -> None:
        """Close the HTTP client; calls in flight fail."""
        self._client.close()

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        wait_s: float = 0.0,
        headers: dict[str, str] | None = None,
        on_data: Callable[[bytes], None] | None = None,
    ) -> Any:
        """Make one call and return its JSON (None if `on_data` took it). Raises ApiError.

        wait_s: how long the gateway may take to answer, in seconds.
        on_data: takes the body part by part, as it comes.
        """
        request = HTTPRequest(
            f"{self.address}{PREFIX}{path}",
            method=method,
            body=json.dumps(body) if body is not None else None,
            headers=self._headers(wait_s, headers or {}),
            connect_timeout=5.0,
            request_timeout=wait_s + 10.0,
            ssl_options=self._ssl,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            streaming_callback=on_data,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as fault:
            raise ApiError(0, "", str(fault)) from None
        if answer.code == 599:
            raise ApiError(0, "", str(answer.error))
        if on_data is not None and answer.code == 200:
            return None
        return _decode(answer.code, answer.body)

    def _headers(self, wait_s: float, extra: dict[str, str]) -> dict[str, str]:
        headers = {}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        if wait_s:
            headers["X-Server-Timeout"] = f"{wait_s:g}"
        return headers | extra


def _decode(code: int, body: bytes) -> Any:
    try:
        tree = json.loads(body or b"{}")
    except ValueError:
        raise ApiError(code, "", "an answer that is no JSON") from None
    if code != 200:
        raise _error(code, tree)
    return tree


def _error(code: int, tree: Any) -> ApiError:
    error = tree.get("error", {}) if isinstance(tree, dict) else {}
    field = ""
    retry_s = 0.0
    for detail in error.get("details", ()):
        if violations := detail.get("fieldViolations"):
            field = violations[0].get("field", "")
        if delay := detail.get("retryDelay"):
            retry_s = float(delay.rstrip("s"))
    return ApiError(code, error.get("status", ""), error.get("message", ""), field, retry_s)
