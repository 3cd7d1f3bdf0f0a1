"""Fixtures shared by all tests, and hypothesis profiles."""

from __future__ import annotations

import os
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup
from hypothesis import settings
from loguru import logger

from foxtailwell.adapters.http_server import serve_http
from foxtailwell.adapters.listeners import serve_connections
from foxtailwell.adapters.store import StoreClient, open_store
from foxtailwell_standins.store import StoreState, make_store_app

# CI results must be reproducible, so examples are deterministic and have no deadline.
settings.register_profile("ci", derandomize=True, deadline=None, database=None, max_examples=60)
settings.register_profile("soak", deadline=None, max_examples=2000, print_blob=True)
settings.load_profile(os.environ.get("FOXTAILWELL_PROFILE", "ci"))

# The output of a failed test shows the fields of events, not only their texts.
logger.remove()
logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message} {extra}")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "


def known_red_tests() -> frozenset[str]:
    """Return the identifiers of the tests that are listed as known to fail."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    entries = (line for line in lines if line.startswith(KNOWN_RED_PREFIX))
    return frozenset(line.removeprefix(KNOWN_RED_PREFIX).strip() for line in entries)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that passes fails the run until its entry is removed."""
    listed = known_red_tests()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are listed as known to fail."""
    for test in sorted(known_red_tests()):
        terminalreporter.write_line(f"known red: {test}")


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio, which the daemons use."""
    return "asyncio"


@pytest.fixture
def caplog_events() -> Iterator[list[dict[str, Any]]]:
    """Return the fields of all events that are logged during the test."""
    events: list[dict[str, Any]] = []
    sink = logger.add(lambda message: events.append(message.record["extra"]))
    yield events
    logger.remove(sink)


@pytest.fixture
def serving() -> Callable[[object], AbstractAsyncContextManager[str]]:
    """Return a context manager that serves an application and yields its URL."""

    @asynccontextmanager
    async def serve(app: object) -> AsyncIterator[str]:
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            port = await group.start(serve_http, app, "127.0.0.1", 0, stop)
            try:
                yield f"http://127.0.0.1:{port}"
            finally:
                group.cancel_scope.cancel()

    return serve


@pytest.fixture
async def store_state() -> StoreState:
    """Return the state of the stand-in store, including the failures to inject."""
    return StoreState()


@pytest.fixture
async def store(store_state: StoreState, serving: Callable) -> AsyncIterator[StoreClient]:
    """Yield a client that is connected to a running stand-in store."""
    async with serving(make_store_app(store_state)) as url, open_store(url) as client:
        yield client


@pytest.fixture
async def group() -> AsyncIterator[TaskGroup]:
    """Yield a task group that is cancelled at the end of the test."""
    async with anyio.create_task_group() as group:
        yield group
        group.cancel_scope.cancel()


@pytest.fixture
def anyio_server() -> Callable:
    """Return a function that starts a TCP server with a stream handler and returns its address."""

    async def start(group: TaskGroup, handle: Callable) -> str:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        group.start_soon(serve_connections, listener, handle)
        return f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"

    return start
