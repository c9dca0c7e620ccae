"""HTTP calls to a pull queue: JSON bodies, errors as exceptions, and backoff that honours Retry-After."""

from __future__ import annotations

import json
import random
import ssl
from collections.abc import Callable
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

PREFIX = "/v1test2/"
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0


class ApiError(Exception):
    """A call that was not answered with 200.

    code: the HTTP status; 0 if no response was received. Such a call may still have taken effect.
    status, message: as in google.rpc.Status. field: the invalid field, if the gateway names one.
    retry_s: how long the gateway asks to wait before the next attempt, in seconds.
    """

    def __init__(self, code: int, status: str, message: str, field: str = "", retry_s: float = 0.0) -> None:
        """Store the error as the gateway reported it."""
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
    """Exponential backoff with jitter, never shorter than the wait that the gateway advises (Retry-After)."""

    def __init__(
        self,
        uniform: Callable[[], float] = random.random,
        initial_s: float = INITIAL_BACKOFF_S,
        max_s: float = MAX_BACKOFF_S,
    ) -> None:
        """Start with no attempt counted.

        uniform: returns a random number in [0, 1). initial_s, max_s: first and longest backoff, in seconds.
        """
        self._uniform = uniform
        self._initial_s = initial_s
        self._max_s = max_s
        self.attempts = 0

    def next(self, advised_s: float = 0.0) -> float:
        """Return how long to wait before the next attempt, in seconds, and count that attempt.

        advised_s: the wait that the gateway asked for, in seconds.
        """
        backoff_s: float = min(self._max_s, self._initial_s * 2**self.attempts)
        self.attempts += 1
        # The advised wait is kept in full and the jittered backoff is added to it, so that clients which were
        # rejected at the same time do not retry at the same time.
        return advised_s + backoff_s * (0.5 + 0.5 * self._uniform())


class Api:
    """One gateway, called over an HTTP client of its own.

    An async context manager; without `async with`, call `close` at the end.
    """

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
        """Configure the HTTP client without opening a connection.

        address: http(s)://host:port. token: the bearer token, if any.
        authority: a PEM file with the certificate authority to trust.
        certificate, key: PEM files of the client certificate and its private key.
        at_once: the most calls in flight at a time; further calls are queued.
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
        """Return this object."""
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
        """Make one call and return the decoded JSON, or None if `on_data` received the body. Raises ApiError.

        wait_s: how long the gateway may take to answer, in seconds.
        on_data: receives the body chunk by chunk as it arrives.
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
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            raise ApiError(0, "", str(error)) from None
        if response.code == 599:
            raise ApiError(0, "", str(response.error))
        if on_data is not None and response.code == 200:
            return None
        return _decode(response.code, response.body)

    def _headers(self, wait_s: float, extra: dict[str, str]) -> dict[str, str]:
        headers = {}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        if wait_s:
            headers["X-Server-Timeout"] = f"{wait_s:g}"
        return headers | extra


def _decode(code: int, body: bytes) -> Any:
    try:
        document = json.loads(body or b"{}")
    except ValueError:
        raise ApiError(code, "", "the response body is not valid JSON") from None
    if code != 200:
        raise _error(code, document)
    return document


def _error(code: int, document: Any) -> ApiError:
    error = document.get("error", {}) if isinstance(document, dict) else {}
    field = ""
    retry_s = 0.0
    for detail in error.get("details", ()):
        if violations := detail.get("fieldViolations"):
            field = violations[0].get("field", "")
        if delay := detail.get("retryDelay"):
            retry_s = float(delay.rstrip("s"))
    return ApiError(code, error.get("status", ""), error.get("message", ""), field, retry_s)
