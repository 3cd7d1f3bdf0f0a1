"""Benchmarks of an entry daemon: request rate, added latency and store writes for claims."""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.streams.text import TextReceiveStream

from foxtailwell.adapters.http_client import open_http_client
from foxtailwell.adapters.settings import Endpoint, PlatformSettings, Settings
from foxtailwell.adapters.store import StoreClient, open_store
from foxtailwell.core import (
    Claim,
    ClaimRequest,
    ClientAccount,
    Configuration,
    InstanceRecord,
    WorkClass,
    claim_key,
    request_digest,
)
from foxtailwell.entry._claim_writer import open_claim_writer
from foxtailwell_bench.http_load import LoadResult, run_closed_loop

__all__ = ["measure_entry"]

MINION_COUNT = 24
CONNECTION_COUNT = 32
WARM_UP_REQUESTS = 1_000
RATE_REQUESTS = 6_000
LATENCY_REQUESTS = 1_000
ROUND_COUNT = 3
CLAIM_RATES_PER_S = (10, 100, 1_000)
CLAIM_RUN_S = 4.0

CONFIGURATION = Configuration(
    revision=1,
    classes={
        "check": WorkClass("check", "request", 500, 2000, idempotent=True),
    },
    accounts={"a": ClientAccount("a")},
)
_STANDIN = ("-c", "from foxtailwell_standins.cli import main; main()")


def measure_entry() -> Iterable[dict[str, Any]]:
    """Start an entry, a plain pass-through and the stand-ins, and return the measures.

    Entry and pass-through are measured alternately in the same run, so that the load of the machine
    affects both.
    """
    return anyio.run(_measure, backend_options={"use_uvloop": True})


async def _measure() -> list[dict[str, Any]]:
    async with AsyncExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store_lines = await stack.enter_async_context(_run_process(*_STANDIN, "store"))
        store_url = "http://" + store_lines[0].split()[-1]
        lines = await stack.enter_async_context(
            _run_process(*_STANDIN, "minions", "--count", str(MINION_COUNT), lines=MINION_COUNT)
        )
        addresses = [line.split()[-1] for line in lines]
        entry_port = await stack.enter_async_context(_run_entry(directory, store_url, addresses))
        baseline_port = await stack.enter_async_context(
            _run_process("-m", "foxtailwell_bench.pass_through", *addresses)
        )
        rows = await _measure_rate(
            entry_port, int(baseline_port[0]), int(addresses[0].split(":")[1])
        )
        return rows + await _measure_claims(store_url)


async def _measure_rate(
    entry_port: int, baseline_port: int, minion_port: int
) -> list[dict[str, Any]]:
    requests_per_s: dict[int, list[float]] = {entry_port: [], baseline_port: []}
    added_latency_ms: dict[int, list[float]] = {entry_port: [], baseline_port: []}
    for port in requests_per_s:
        await _run_load(port, WARM_UP_REQUESTS, CONNECTION_COUNT)
    for _ in range(ROUND_COUNT):
        direct = await _run_load(minion_port, LATENCY_REQUESTS, 1, path="/v1/run/check")
        for port in requests_per_s:
            requests_per_s[port].append(
                (await _run_load(port, RATE_REQUESTS, CONNECTION_COUNT)).requests_per_s
            )
            sequential = await _run_load(port, LATENCY_REQUESTS, 1)
            added_latency_ms[port].append(sequential.percentile_ms(0.5) - direct.percentile_ms(0.5))
    return [
        _row(
            "entry_requests_per_s", "1/s", requests_per_s[entry_port], requests_per_s[baseline_port]
        ),
        _row(
            "entry_added_latency_p50_ms",
            "ms",
            added_latency_ms[entry_port],
            added_latency_ms[baseline_port],
        ),
    ]


def _row(
    measure: str, unit: str, values: list[float], baseline_values: list[float]
) -> dict[str, Any]:
    value, baseline = statistics.median(values), statistics.median(baseline_values)
    return {
        "measure": measure,
        "value": round(value, 3),
        "unit": unit,
        "baseline": "plain uvicorn and httpcore pass-through",
        "baseline_value": round(baseline, 3),
        "ratio": round(value / baseline, 3),
        "seed": 0,
        "deployment": "zoutkoepel",
    }


async def _run_load(
    port: int, request_count: int, connections: int, path: str = "/v1/requests/check"
) -> LoadResult:
    request = (
        f"POST {path} HTTP/1.1\r\nhost: x\r\nfoxtailwell-account: a\r\nx-request-id: d\r\n"
        "content-type: application/json\r\ncontent-length: 20\r\n\r\n"
    ).encode() + b"x" * 20
    numbers = iter(range(request_count))
    result = await run_closed_loop(
        port, lambda: request if next(numbers, None) is not None else None, connections
    )
    if result.statuses != {200: request_count}:
        raise RuntimeError(f"responses other than 200: {result.statuses}")
    return result


async def _measure_claims(store_url: str) -> list[dict[str, Any]]:
    """Measure the store writes per claim of one claim writer, at several claim rates."""
    rows = []
    async with open_http_client(store_url) as control, open_store(store_url) as store:
        for rate_per_s in CLAIM_RATES_PER_S:
            writes_before = await _read_write_count(control)
            latencies_s, elapsed_s = await _run_claim_load(store, rate_per_s)
            writes_per_s = (await _read_write_count(control) - writes_before) / elapsed_s
            claims_per_s = len(latencies_s) / elapsed_s
            rows.append(
                {
                    "measure": "claim_store_writes_per_s",
                    "value": round(writes_per_s, 1),
                    "unit": "1/s",
                    "baseline": "one write for each claim",
                    "baseline_value": round(claims_per_s, 1),
                    "ratio": round(writes_per_s / claims_per_s, 3),
                    "claims_per_s": rate_per_s,
                    "claim_p50_ms": round(statistics.median(latencies_s) * 1000, 1),
                    "seed": 0,
                    "deployment": "sombreretes",
                }
            )
    return rows


async def _run_claim_load(store: StoreClient, rate_per_s: int) -> tuple[list[float], float]:
    """Claim new keys at a rate; return the latency of each claim and the elapsed time."""
    latencies_s: list[float] = []

    async def claim_once(number: int) -> None:
        sent_s = anyio.current_time()
        key = claim_key("bench", f"{rate_per_s}-{number}")
        claim = Claim(f"e1-{rate_per_s}-{number}", "e1", request_digest("survey", b"x"), 0)
        claim = claim._replace(at_unix_ms=time.time_ns() // 1_000_000)
        outcome = await writer.claim(ClaimRequest(key, claim))
        if outcome.kind != "claimed":
            raise RuntimeError(f"claim {number} was not accepted: {outcome.kind}")
        latencies_s.append(anyio.current_time() - sent_s)

    started_s = anyio.current_time()
    async with open_claim_writer(store, lambda: 1) as writer, anyio.create_task_group() as group:
        for number in range(int(rate_per_s * CLAIM_RUN_S)):
            await anyio.sleep(max(0.0, started_s + number / rate_per_s - anyio.current_time()))
            group.start_soon(claim_once, number)
    return latencies_s, anyio.current_time() - started_s


async def _read_write_count(store: Any) -> int:
    reply = await store.request("GET", "/control")
    return int(msgspec.json.decode(reply.body)["counts"]["writes"])


@asynccontextmanager
async def _run_entry(directory: Path, store_url: str, addresses: list[str]) -> AsyncIterator[int]:
    """Run an entry daemon and yield its port for callers."""
    any_free_port = Endpoint("127.0.0.1", 0)
    platform = PlatformSettings(store_url, "http://127.0.0.1:1")
    settings = Settings(
        "e1",
        "r",
        "zone-a",
        platform,
        peers=any_free_port,
        operators=any_free_port,
        callers=any_free_port,
    )
    instances = [
        InstanceRecord(f"m{n}", "minion", "zone-a", address, slots=8, connections=64)
        for n, address in enumerate(addresses)
    ]
    settings_path, view_path = directory / "settings.json", directory / "view.json"
    settings_path.write_bytes(msgspec.json.encode(settings))
    view = {"configuration": CONFIGURATION, "instances": instances}
    view_path.write_bytes(msgspec.json.encode(view))
    command = ("-m", "foxtailwell_bench.entry_process", str(settings_path), str(view_path))
    async with _run_process(*command) as lines:
        yield int(lines[0].split()[0])


@asynccontextmanager
async def _run_process(*arguments: str, lines: int = 1) -> AsyncIterator[list[str]]:
    """Run a Python process, yield its output when it has printed `lines` lines, and kill it."""
    process = await anyio.open_process([sys.executable, *arguments], stderr=None)
    assert process.stdout is not None
    try:
        output = ""
        stream = TextReceiveStream(process.stdout)
        while output.count("\n") < lines:
            output += await stream.receive()
        yield output.splitlines()
    finally:
        with anyio.CancelScope(shield=True):
            if process.returncode is None:
                process.kill()
            await process.aclose()
