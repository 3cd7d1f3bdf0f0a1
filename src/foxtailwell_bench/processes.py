"""Measures of running daemons: control cost, failover and configuration in force.

Every figure comes from real processes on loopback with the stand-ins of the platform. The control
cost is measured without callers, at several fleet sizes, for the slopes of the capacity page.
"""

from __future__ import annotations

import signal
import tempfile
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

from foxtailwell_bench.deployment import LocalDeployment

SETTLE_S = 8.0
"""Time for leases, heartbeats and gang starts to settle before a window."""

WINDOW_S = 15.0
TASKS_PER_WORKER = 8
ZONE_WORKERS = (24, 96, 171)
"""Workers of one zone; 171 is a seventh of 1,200."""

INSTANCE_COUNTS = (1, 3, 7)
TAKEOVERS = 6
CHANGES = 40

Row = dict[str, Any]


@dataclass(frozen=True, slots=True)
class _Usage:
    """What one daemon used in a window."""

    cpu_percent: float
    rss_mb: float
    sent_bytes_per_s: float
    store_calls_per_s: float


def run() -> Iterator[Row]:
    """Yield all measures of running processes."""
    for workers in ZONE_WORKERS:
        yield from _measure_zone(workers)
    for count in INSTANCE_COUNTS:
        yield from _measure_instances(count)
    yield from _measure_takeover()
    yield from _measure_configuration()


@contextmanager
def _deployment() -> Iterator[LocalDeployment]:
    with tempfile.TemporaryDirectory() as directory:
        deployment = LocalDeployment(Path(directory))
        try:
            yield deployment
        finally:
            deployment.close()


def _measure_zone(workers: int) -> Iterable[Row]:
    with _deployment() as deployment:
        deployment.start_platform(workers_per_zone=workers)
        deployment.start_instance(1)
        deployment.configure()
        _fill(deployment, workers)
        usages = _observe(deployment, ("entry-1", "scheduler-1"))
        plan_ms = _status(deployment, 1, "scheduler").get("plan_ms", 0.0)
    scale = {"workers": workers, "tasks": workers * TASKS_PER_WORKER, "instances": 1}
    rows = [row for name, usage in usages.items() for row in _usage_rows(name, usage, scale)]
    return [*rows, _row("plan_ms", plan_ms, "ms", scale)]


def _measure_instances(count: int) -> Iterable[Row]:
    with _deployment() as deployment:
        deployment.start_platform(workers_per_zone=24)
        for number in range(1, count + 1):
            deployment.start_instance(number)
        deployment.configure()
        names = (f"entry-{count}", f"scheduler-{count}")
        usages = _observe(deployment, names)
    scale = {"workers": 24, "tasks": 0, "instances": count}
    return [row for name, usage in usages.items() for row in _usage_rows(name, usage, scale)]


def _fill(deployment: LocalDeployment, workers: int) -> None:
    """Run gangs of 16 tasks with one accelerator each on every accelerator of the zone."""
    gangs = workers * TASKS_PER_WORKER // 16
    jobs = [
        {
            "account": "acme",
            "work_class": "model",
            "members": 16,
            "accelerators_per_member": 1,
            "payload": '{"run_s": 3600}',
        }
        for _ in range(gangs)
    ]
    address = f"127.0.0.1:{deployment.instances[1].callers_port}"
    reply = deployment.call("POST", address, "/v1/jobs", {"jobs": jobs})
    if reply.status != 201:
        raise RuntimeError(f"submission of {gangs} gangs failed: {reply.body!r}")

    def running() -> int:
        listed = deployment.call("GET", address, "/v1/jobs?state=running")
        return int(listed.json["total"])

    deployment.wait_until(lambda: running() == gangs, f"{gangs} gangs run", timeout_s=180.0)


def _observe(deployment: LocalDeployment, names: Iterable[str]) -> dict[str, _Usage]:
    time.sleep(SETTLE_S)
    processes = {n: psutil.Process(deployment.processes[n].pid) for n in names}
    before = {n: (_cpu_s(p), _counters(deployment, n)) for n, p in processes.items()}
    began_s = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - began_s
    usages = {}
    for name, process in processes.items():
        cpu_s, counters = before[name]
        after = _counters(deployment, name)
        usages[name] = _Usage(
            100 * (_cpu_s(process) - cpu_s) / elapsed_s,
            process.memory_info().rss / 1e6,
            (after["sent_bytes"] - counters["sent_bytes"]) / elapsed_s,
            (after["store_calls"] - counters["store_calls"]) / elapsed_s,
        )
    return usages


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _operators(deployment: LocalDeployment, name: str) -> str:
    role, _, number = name.partition("-")
    return f"127.0.0.1:{getattr(deployment.instances[int(number)], f'{role}_operators_port')}"


def _counters(deployment: LocalDeployment, name: str) -> dict[str, float]:
    text = deployment.call("GET", _operators(deployment, name), "/metrics").body.decode()
    totals = {"sent_bytes": 0.0, "store_calls": 0.0}
    for line in text.splitlines():
        if line.startswith("foxtailwell_sent_bytes_total"):
            totals["sent_bytes"] += float(line.rsplit(" ", 1)[1])
        elif line.startswith("foxtailwell_store_calls_total"):
            totals["store_calls"] += float(line.rsplit(" ", 1)[1])
    return totals


def _status(deployment: LocalDeployment, number: int, role: str) -> dict[str, Any]:
    reply = deployment.call("GET", _operators(deployment, f"{role}-{number}"), "/v1/status")
    return dict(reply.json)


def _measure_takeover() -> Iterable[Row]:
    """Kill the holder of a zone again and again; the time until the next one works."""
    times_s = []
    with _deployment() as deployment:
        deployment.start_platform(workers_per_zone=4)
        for number in (1, 2, 3):
            deployment.start_instance(number)
        deployment.configure()
        deployment.wait_until(lambda: deployment.holder() != 0, "a scheduler holds the zone")
        for _ in range(TAKEOVERS):
            holder = deployment.holder()
            term = deployment.allocation()["term"]
            deployment.send_signal(f"scheduler-{holder}", signal.SIGKILL)

            def is_taken(term: int = term) -> bool:
                return int(deployment.allocation()["term"]) > term

            times_s.append(deployment.wait_until(is_taken, "the zone has a new holder"))
            deployment.processes[f"scheduler-{holder}"].wait()
            deployment.start_instance(holder, roles="scheduler")
            deployment.wait_until(
                lambda: set(deployment.revisions().values()) == {5}, "the killed scheduler is back"
            )
    scale = {"instances": 3, "samples": TAKEOVERS}
    return [_row("takeover_p99_s", max(times_s), "s", scale)]


def _measure_configuration() -> Iterable[Row]:
    """Change the configuration; the time until every daemon reports the new revision."""
    times_s = []
    with _deployment() as deployment:
        deployment.start_platform(workers_per_zone=4)
        for number in range(1, 8):
            deployment.start_instance(number)
        deployment.configure()
        for index in range(CHANGES):
            value = {
                "kind": "request",
                "target_ms": 1000 + index,
                "patience_ms": 0,
                "idempotent": True,
            }
            reply = deployment.change_configuration(1 + index % 7, "class.set", "changing", value)
            wanted = reply.json["revision"]

            def is_in_force(wanted: int = wanted) -> bool:
                return min(deployment.revisions().values()) >= wanted

            times_s.append(deployment.wait_until(is_in_force, f"revision {wanted} is in force"))
    scale = {"instances": 7, "samples": CHANGES}
    return [_row("config_in_force_p99_s", max(times_s), "s", scale)]


def _usage_rows(name: str, usage: _Usage, scale: dict[str, Any]) -> Iterable[Row]:
    role = name.partition("-")[0]
    values = (
        ("daemon_idle_cpu_percent", usage.cpu_percent, "% of a core"),
        ("daemon_rss_mb", usage.rss_mb, "MB"),
        ("daemon_control_bytes_per_s", usage.sent_bytes_per_s, "B/s"),
        ("store_calls_per_s", usage.store_calls_per_s, "1/s"),
    )
    for measure, value, unit in values:
        yield _row(measure, value, unit, {"role": role, **scale})


def _row(measure: str, value: float, unit: str, scale: dict[str, Any]) -> Row:
    """Return a row; absolute measures have no baseline and no seed."""
    return {
        "measure": measure,
        "value": round(value, 4),
        "unit": unit,
        "baseline": None,
        "baseline_value": None,
        "ratio": None,
        "seed": None,
        "deployment": "loopback",
        **scale,
    }
