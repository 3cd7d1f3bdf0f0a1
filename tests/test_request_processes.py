"""Requests through the commands, run as processes: store, instance list, minions, two entries."""

from __future__ import annotations

import json
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import anyio
import msgspec
import pytest
from anyio.streams.text import TextReceiveStream

from foxtailwell.adapters.documents import encode_document
from foxtailwell.adapters.http_client import TRANSPORT_ERRORS, open_http_client
from foxtailwell.adapters.store import new_write_id, open_store
from foxtailwell.core import InstanceRecord
from request_fleet import CONFIGURATION, open_caller, outcome, send

pytestmark = pytest.mark.anyio
STANDIN = "from foxtailwell_standins.cli import main; main()"
ENTRY = "from foxtailwell.cli.entry import main; main()"


@asynccontextmanager
async def run_python(code: str, *arguments: str) -> AsyncIterator[anyio.abc.Process]:
    """Run Python code in a child process, and kill it on exit if it still runs."""
    child = await anyio.open_process([sys.executable, "-c", code, *arguments], stderr=None)
    try:
        yield child
    finally:
        with anyio.CancelScope(shield=True):
            if child.returncode is None:
                child.kill()
            await child.aclose()


async def read_address(child: anyio.abc.Process) -> str:
    """Read the `host:port` that a stand-in prints at its start."""
    return (await TextReceiveStream(child.stdout).receive()).split()[-1]


async def wait_ready(port: int) -> None:
    """Wait until an entry serves a request, and check that it is ready then."""
    with anyio.fail_after(20):
        async with open_caller(port) as http:
            while True:
                try:
                    if outcome(await send(http)) == "answer":
                        assert (await http.request("GET", "/readyz")).status == 200
                        return
                except TRANSPORT_ERRORS:
                    pass
                await anyio.sleep(0.02)


async def test_duplicates_at_two_entry_processes_run_once(tmp_path: Path, free_tcp_port_factory):
    """Guards against a second run, or a duplicate that does not get the response."""
    ports = {n: [free_tcp_port_factory() for _ in range(3)] for n in ("e1", "e2")}
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(run_python(STANDIN, "store"))
        instance_list = await stack.enter_async_context(run_python(STANDIN, "instance-list"))
        store_url = f"http://{await read_address(store)}"
        list_url = f"http://{await read_address(instance_list)}"
        async with open_store(store_url) as client:
            text = encode_document(CONFIGURATION)
            await client.compare_and_swap("config", 0, text, new_write_id())
        records = [
            InstanceRecord(f"{name}/entry", "entry", "zone-a", f"127.0.0.1:{peer}")
            for name, (_, _, peer) in ports.items()
        ]
        http = await stack.enter_async_context(open_http_client(list_url))
        await http.request("PUT", "/v1/instances", body=msgspec.json.encode(records))
        minions = await stack.enter_async_context(
            run_python(STANDIN, "minions", "--instance-list", list_url)
        )
        minion = await stack.enter_async_context(
            open_http_client(f"http://{await read_address(minions)}")
        )
        await minion.request("POST", "/control", body=json.dumps({"run_ms": 200}).encode())
        for name, (callers, operators, peer) in ports.items():
            path = tmp_path / f"{name}.json"
            path.write_text(
                json.dumps(_settings(name, callers, operators, peer, store_url, list_url))
            )
            await stack.enter_async_context(run_python(ENTRY, "--settings", str(path)))
        for callers, _, _ in ports.values():
            await wait_ready(callers)
        first_http = await stack.enter_async_context(open_caller(ports["e1"][0]))
        second_http = await stack.enter_async_context(open_caller(ports["e2"][0]))
        replies = []

        async def send_duplicate(caller) -> None:
            replies.append(await send(caller, "survey", b"roof", key="k1"))

        async with anyio.create_task_group() as group:
            group.start_soon(send_duplicate, first_http)
            group.start_soon(send_duplicate, second_http)
        report = json.loads((await minion.request("GET", "/control")).body)
        status = json.loads((await first_http.request("GET", "/readyz")).body)
    assert status["status"] == "ready"
    assert [(r.body, outcome(r)) for r in replies] == [(b"roof", "answer")] * 2
    assert sum(key == "k1" for _, key, _ in report["executed"]) == 1


def _settings(name, callers, operators, peer, store_url, list_url) -> dict:
    endpoints = {"callers": callers, "operators": operators, "peers": peer}
    return {
        "instance": name,
        "region": "region",
        "availability_zone": "zone-a",
        "platform": {"store_url": store_url, "instance_list_url": list_url},
        **{key: {"host": "127.0.0.1", "port": port} for key, port in endpoints.items()},
    }
