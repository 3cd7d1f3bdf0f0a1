"""Small fleets of minions and entries, and a caller, for the tests of the request path."""

from __future__ import annotations

import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import msgspec
from anyio.abc import Process
from anyio.streams.text import TextReceiveStream

from foxtailwell.adapters.http_client import HttpClient, HttpReply, open_http_client
from foxtailwell.adapters.peers import ClaimQuery, ClaimReply
from foxtailwell.adapters.settings import Endpoint, PlatformSettings, Settings
from foxtailwell.core import ClientAccount, Configuration, Evidence, InstanceRecord, WorkClass
from foxtailwell.entry import EntryPorts, run_entry
from foxtailwell.fleet import FleetView
from foxtailwell_standins.minions import MinionFailures, MinionState, serve_minion

CONFIGURATION = Configuration(
    revision=1,
    classes={
        "check": WorkClass("check", "request", 500, 2000, idempotent=True),
        "survey": WorkClass("survey", "request", 500, 2000, idempotent=False),
        "model": WorkClass("model", "request", 60_000, 120_000, idempotent=True),
    },
    accounts={"a": ClientAccount("a", guaranteed_slots=2), "b": ClientAccount("b")},
)
LOOPBACK = Endpoint("127.0.0.1", 0)


def make_settings(instance: str, store_url: str, grace_ms: int = 5000) -> Settings:
    """Return settings of an entry on free ports."""
    platform = PlatformSettings(store_url, "http://127.0.0.1:1", store_timeout_ms=500)
    return Settings(
        instance,
        "region",
        "zone-a",
        platform,
        peers=LOOPBACK,
        operators=LOOPBACK,
        callers=LOOPBACK,
        shutdown_grace_ms=grace_ms,
    )


@dataclass(slots=True)
class Fleet:
    """Minions and entries that run in this process.

    It replaces the fleet tasks: it fills the entries' views and carries claim queries between them.
    """

    group: anyio.abc.TaskGroup
    store_url: str
    minions: dict[str, MinionState] = field(default_factory=dict)
    records: dict[str, InstanceRecord] = field(default_factory=dict)
    handlers: dict[str, object] = field(default_factory=dict)
    views: dict[str, FleetView] = field(default_factory=dict)

    async def add_minion(self, name: str, zone: str = "zone-a", **values: object) -> MinionState:
        """Start a minion; `values` are fields of `MinionFailures`."""
        state = MinionState(failures=MinionFailures(**values))
        port = await self.group.start(serve_minion, state)
        self.minions[name] = state
        self.records[name] = InstanceRecord(
            name, "minion", zone, f"127.0.0.1:{port}", slots=state.slots, connections=64
        )
        self.publish()
        return state

    async def add_entry(self, name: str, *, evidence_age_s: float = 0.0) -> EntryPorts:
        """Start an entry whose evidence for the configuration has a constant age."""
        view = self.views[name] = FleetView(configuration=CONFIGURATION, own_id=f"{name}/entry")
        view.query_claim = self._query_claim
        own = f"{name}/entry"
        self.records[own] = InstanceRecord(own, "entry", "zone-a", "127.0.0.1:1")
        self.publish()

        async def fleet(settings, role, store, view, *, claim_handler, task_status):
            self.handlers[own] = claim_handler
            view.evidence = Evidence(1, time.monotonic() - evidence_age_s)
            task_status.started()
            while True:
                view.evidence = Evidence(1, time.monotonic() - evidence_age_s)
                await anyio.sleep(0.5)

        async def run(*, task_status) -> None:
            await run_entry(
                make_settings(name, self.store_url),
                run_fleet=fleet,
                view=view,
                task_status=task_status,
            )

        return await self.group.start(run)

    def publish(self) -> None:
        """Copy the current instance list to the views of all entries."""
        for view in self.views.values():
            view.instances = dict(self.records)
            view.notify()

    def runs(self, key: str) -> int:
        """Return how often a request with this idempotency key ran on all minions together."""
        return sum(k == key for m in self.minions.values() for _, k, _ in m.executed)

    async def _query_claim(self, owner: str, query: ClaimQuery) -> ClaimReply | None:
        handler = self.handlers.get(owner)
        return await handler(query) if handler else None


async def wait_until(condition: Callable[[], object], timeout_s: float = 10.0) -> None:
    """Poll a condition until it is true; raises TimeoutError after `timeout_s`."""
    with anyio.fail_after(timeout_s):
        while not condition():  # noqa: ASYNC110 - the conditions have no event
            await anyio.sleep(0.005)


@asynccontextmanager
async def open_caller(port: int) -> AsyncIterator[HttpClient]:
    """Open an HTTP client for the callers' port of one entry."""
    async with open_http_client(f"http://127.0.0.1:{port}", max_connections=200) as http:
        yield http


async def send(
    http: HttpClient,
    work_class: str = "check",
    body: bytes = b"x",
    *,
    account: str = "a",
    key: str = "",
    deadline_ms: int = 0,
    timeout_s: float = 20.0,
) -> HttpReply:
    """Send one request as a caller."""
    headers = {"foxtailwell-account": account}
    if key:
        headers["idempotency-key"] = key
    if deadline_ms:
        headers["foxtailwell-deadline-ms"] = str(deadline_ms)
    path = f"/v1/requests/{work_class}"
    return await http.request("POST", path, body=body, headers=headers, timeout_s=timeout_s)


def outcome(reply: HttpReply) -> str:
    """Return the outcome that a response states: `answer`, `not_run` or `outcome_unknown`."""
    return reply.headers["foxtailwell-outcome"]


@asynccontextmanager
async def entry_process(
    directory: Path, settings: Settings, records: list[InstanceRecord]
) -> AsyncIterator[tuple[Process, EntryPorts]]:
    """Run an entry in its own process, and kill it on exit if it still runs."""
    settings_path = directory / f"{settings.instance}.json"
    view_path = directory / f"{settings.instance}-view.json"
    settings_path.write_bytes(msgspec.json.encode(settings))
    view = {"configuration": CONFIGURATION, "instances": records}
    view_path.write_bytes(msgspec.json.encode(view))
    command = [
        sys.executable,
        "-m",
        "foxtailwell_bench.entry_process",
        str(settings_path),
        str(view_path),
    ]
    process = await anyio.open_process(command, stderr=None)
    try:
        line = await TextReceiveStream(process.stdout).receive()
        callers, operators = line.split()
        yield process, EntryPorts(int(callers), int(operators))
    finally:
        with anyio.CancelScope(shield=True):
            if process.returncode is None:
                process.kill()
            await process.aclose()
