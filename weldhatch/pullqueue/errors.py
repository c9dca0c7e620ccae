"""Error answers of the HTTP interface: an HTTP code, a google.rpc status and the invalid field."""

from __future__ import annotations

REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
STATUS = {
    400: "INVALID_ARGUMENT",
    401: "UNAUTHENTICATED",
    403: "PERMISSION_DENIED",
    404: "NOT_FOUND",
    405: "UNIMPLEMENTED",
    408: "DEADLINE_EXCEEDED",
    409: "ABORTED",
    413: "INVALID_ARGUMENT",
    417: "INVALID_ARGUMENT",
    429: "RESOURCE_EXHAUSTED",
    431: "INVALID_ARGUMENT",
    500: "INTERNAL",
    501: "UNIMPLEMENTED",
    503: "UNAVAILABLE",
    505: "UNIMPLEMENTED",
}


class HttpError(Exception):
    """An error answer. `field` names the invalid field of the request, if there is one.

    `retry_s`: the time after which the client may retry, 0 for none. `closes_connection`: whether the
    connection is closed after this answer.
    """

    def __init__(
        self, code: int, message: str, field: str = "", retry_s: float = 0.0, closes_connection: bool = False
    ) -> None:
        """Create an error answer with this HTTP code."""
        super().__init__(message)
        self.code, self.field, self.retry_s, self.closes_connection = code, field, retry_s, closes_connection

    def body(self) -> dict:
        """Return the JSON body of the answer."""
        error: dict = {"code": self.code, "status": STATUS[self.code], "message": str(self)}
        details = []
        if self.field:
            details.append(
                {
                    "@type": "type.googleapis.com/google.rpc.BadRequest",
                    "fieldViolations": [{"field": self.field, "description": str(self)}],
                }
            )
        if self.retry_s:
            details.append(
                {"@type": "type.googleapis.com/google.rpc.RetryInfo", "retryDelay": f"{self.retry_s:.3f}s"}
            )
        if details:
            error["details"] = details
        return {"error": error}
