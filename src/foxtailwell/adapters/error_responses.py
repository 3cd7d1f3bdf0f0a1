"""Converts typed errors to HTTP responses that include a code and a remedy."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from starlette.requests import Request
from starlette.responses import Response

from foxtailwell.adapters.http_server import json_response
from foxtailwell.core.errors import (
    ConflictError,
    FoxtailwellError,
    KeyReusedError,
    OutcomeUnknownError,
    UnknownJobError,
    ValidationError,
)

__all__ = ["with_error_responses", "error_response"]

Handler = Callable[[Request], Awaitable[Response]]

_STATUS: dict[type[FoxtailwellError], int] = {
    ValidationError: 422,
    ConflictError: 409,
    KeyReusedError: 409,
    UnknownJobError: 404,
    OutcomeUnknownError: 504,
}
"""HTTP status by error type; any other type means that a component is unavailable (503)."""


def with_error_responses(handler: Handler) -> Handler:
    """Wrap a handler so that typed errors become HTTP responses instead of propagating."""

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except FoxtailwellError as error:
            return error_response(error)

    return handle


def error_response(error: FoxtailwellError) -> Response:
    """Build the JSON response for a typed error, with the status for its type."""
    body: dict[str, Any] = {
        "code": error.code,
        "message": error.message,
        "remedy": error.remedy,
    }
    if isinstance(error, ValidationError):
        body["issues"] = error.issues
    if isinstance(error, ConflictError):
        body["current_revision"] = error.current_revision
    return json_response(body, _STATUS.get(type(error), 503))
