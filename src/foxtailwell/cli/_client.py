"""HTTP calls from the commands to a daemon, and the output of results."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import anyio
import cappa
import msgspec
from rich.console import Console
from rich.table import Table
from rich.text import Text

from foxtailwell.adapters.http_client import TRANSPORT_ERRORS, HttpReply, open_http_client
from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.cli import _exit_codes

__all__ = ["call", "decode_reply", "exit_unless_ok", "print_json", "print_table"]


def call(
    url: str,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpReply:
    """Send one request to a daemon.

    Args:
        url: Base URL of the daemon.
        method: HTTP method.
        path: Path with its query.
        body: Request body.
        headers: Additional headers.
        timeout_s: Timeout of each step: connect, write and read.

    Returns:
        The response, whatever its status.

    Raises:
        cappa.Exit: No response arrived; the exit code is `UNAVAILABLE`, and `__cause__` is the
            transport error.
    """

    async def send() -> HttpReply:
        async with open_http_client(url, max_connections=1) as client:
            return await client.request(
                method, path, body=body, headers=headers, timeout_s=timeout_s
            )

    try:
        return anyio.run(send)
    except TRANSPORT_ERRORS as error:
        raise cappa.Exit(
            f"{url}: {type(error).__name__}; remedy: check the address and that the daemon runs",
            code=_exit_codes.UNAVAILABLE,
        ) from error


def decode_reply(reply: HttpReply) -> Any:
    """Return the decoded body; a body that is not JSON is returned as an object with its text."""
    try:
        return msgspec.json.decode(reply.body)
    except MALFORMED:
        return {"status": reply.status, "body": reply.body.decode("utf-8", "replace")}


def exit_unless_ok(reply: HttpReply) -> Any:
    """Return the decoded body of a successful response; otherwise raise `cappa.Exit`."""
    value = decode_reply(reply)
    if reply.status >= 300:
        code = _exit_codes.exit_code_of_status(reply.status)
        raise cappa.Exit(_describe_error(value), code=code)
    return value


def print_json(value: object) -> None:
    """Print a value as JSON on one line."""
    sys.stdout.write(json.dumps(value) + "\n")


def print_table(title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table; cells are not interpreted as markup."""
    table = Table(*columns, title=title, title_justify="left")
    for row in rows:
        table.add_row(*(Text(str(cell)) for cell in row))
    Console().print(table)


def _describe_error(value: Any) -> str:
    if not isinstance(value, dict) or "message" not in value:
        return json.dumps(value)
    lines = [f"{value.get('code', 'error')}: {value['message']}"]
    lines += [f"  {i['path']}: {i['found']} ({i['remedy']})" for i in value.get("issues", [])]
    return "\n".join([*lines, f"remedy: {value.get('remedy', '')}"])
