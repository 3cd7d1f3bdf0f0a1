"""Typed errors as HTTP responses that name the remedy."""

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
"""Status of each kind of error; all others mean that a part is unavailable (503)."""


def with_error_responses(handler: Handler) -> Handler:
    """Return a handler that answers typed errors with their code and remedy."""

    async def answer(request: Request) -> Response:
        try:
            return await handler(request)
        except FoxtailwellError as error:
            return error_response(error)

    return answer


def error_response(error: FoxtailwellError) -> Response:
    """Return the response for a typed error."""
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
