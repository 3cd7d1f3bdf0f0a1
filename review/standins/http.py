"""A small HTTP/1.1 server and client for JSON messages."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections.abc import Awaitable, Callable, Mapping
from contextlib import closing
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

__all__ = ["Handler", "HttpServer", "Request", "call", "find_free_port"]

PORTS = range(20_000, 32_000)
"""Below the ports that the kernel assigns to connections, so that a server gets its own again."""

_used_ports: set[int] = set()


def find_free_port() -> int:
    """Return a port on 127.0.0.1 that is free and was not returned before."""
    while True:
        port = random.choice(PORTS)
        if port in _used_ports:
            continue
        with closing(socket.socket()) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its decoded JSON body."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: dict


Handler = Callable[[Request], Awaitable[tuple[int, dict]]]


class HttpServer:
    """Serves one handler on a free loopback port, with persistent connections.

    Args:
        handler: Returns the status and the JSON body of a response.
        max_connections: Connections that are open at most; further ones are closed at once.
    """

    def __init__(self, handler: Handler, max_connections: int = 4_000) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self.port = find_free_port()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """`IP:PORT` of the server."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on the port, which stays the same across `stop` and `start`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def stop(self) -> None:
        """Close the port and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= self._max_connections:
            writer.close()
            return
        self._connections.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                status, body = await self._handler(request)
                content = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(content)}\r\n\r\n"
                )
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._connections.discard(writer)
            writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    line = (await reader.readline()).decode("latin-1").strip()
    if not line:
        return None
    headers: dict[str, str] = {}
    while True:
        text = (await reader.readline()).decode("latin-1").strip()
        if not text:
            return line, headers
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    content = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, json.loads(content or b"{}"))


async def call(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict]:
    """Send one request on a new connection.

    Returns:
        Status and body; status 0 if no complete response arrived in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                content = json.dumps(body).encode() if body is not None else b""
                lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(content)}"]
                lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
                writer.write("\r\n".join((*lines, "", "")).encode() + content)
                head = await _read_head(reader)
                if head is None:
                    return 0, {}
                line, received = head
                content = await reader.readexactly(int(received.get("content-length", "0")))
                return int(line.split(" ")[1]), json.loads(content or b"{}")
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
