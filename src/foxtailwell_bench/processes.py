"""Benchmarks of running daemons: control overhead, scheduler failover, configuration propagation.

All measures come from real processes on loopback with the stand-ins of the platform. The control
overhead is measured without callers at several fleet sizes, for the slopes of the capacity page.
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

SETTLING_TIME_S = 8.0
"""Wait before a measuring window, until leases, heartbeats and gang starts are steady."""

MEASURING_WINDOW_S = 15.0
TASKS_PER_WORKER = 8
ZONE_WORKER_COUNTS = (24, 96, 171)
"""Numbers of workers in a zone; 171 is a seventh of 1,200."""

INSTANCE_COUNTS = (1, 3, 7)
TAKEOVER_COUNT = 6
CHANGE_COUNT = 40

Row = dict[str, Any]


@dataclass(frozen=True, slots=True)
class _Usage:
    """Mean resource usage of one daemon in a measuring window; MB are 10**6 bytes."""

    cpu_percent: float
    rss_mb: float
    sent_bytes_per_s: float
    store_calls_per_s: float


def run() -> Iterator[Row]:
    """Yield the measures of all benchmarks of this module, as they complete."""
    for workers in ZONE_WORKER_COUNTS:
        yield from _measure_zone(workers)
    for count in INSTANCE_COUNTS:
        yield from _measure_instances(count)
    yield from _measure_takeover()
    yield from _measure_configuration()


@contextmanager
def _open_deployment() -> Iterator[LocalDeployment]:
    with tempfile.TemporaryDirectory() as directory:
        deployment = LocalDeployment(Path(directory))
        try:
            yield deployment
        finally:
            deployment.close()


def _measure_zone(workers: int) -> Iterable[Row]:
    with _open_deployment() as deployment:
        deployment.start_platform(workers_per_zone=workers)
        deployment.start_instance(1)
        deployment.configure()
        _occupy_all_accelerators(deployment, workers)
        usages = _measure_usage(deployment, ("entry-1", "scheduler-1"))
        plan_ms = _read_status(deployment, 1, "scheduler").get("plan_ms", 0.0)
    dimensions = {"workers": workers, "tasks": workers * TASKS_PER_WORKER, "instances": 1}
    rows = [row for name, usage in usages.items() for row in _usage_rows(name, usage, dimensions)]
    return [*rows, _row("plan_ms", plan_ms, "ms", dimensions)]


def _measure_instances(count: int) -> Iterable[Row]:
    with _open_deployment() as deployment:
        deployment.start_platform(workers_per_zone=24)
        for number in range(1, count + 1):
            deployment.start_instance(number)
        deployment.configure()
        names = (f"entry-{count}", f"scheduler-{count}")
        usages = _measure_usage(deployment, names)
    dimensions = {"workers": 24, "tasks": 0, "instances": count}
    return [row for name, usage in usages.items() for row in _usage_rows(name, usage, dimensions)]


def _occupy_all_accelerators(deployment: LocalDeployment, workers: int) -> None:
    """Start gangs of 16 one-accelerator tasks until all accelerators of the zone are in use."""
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

    def running_count() -> int:
        listed = deployment.call("GET", address, "/v1/jobs?state=running")
        return int(listed.json["total"])

    deployment.wait_until(lambda: running_count() == gangs, f"{gangs} gangs run", timeout_s=180.0)


def _measure_usage(deployment: LocalDeployment, names: Iterable[str]) -> dict[str, _Usage]:
    time.sleep(SETTLING_TIME_S)
    processes = {n: psutil.Process(deployment.processes[n].pid) for n in names}
    before = {n: (_cpu_time_s(p), _read_counters(deployment, n)) for n, p in processes.items()}
    started_s = time.monotonic()
    time.sleep(MEASURING_WINDOW_S)
    elapsed_s = time.monotonic() - started_s
    usages = {}
    for name, process in processes.items():
        cpu_s, counters_before = before[name]
        after = _read_counters(deployment, name)
        usages[name] = _Usage(
            100 * (_cpu_time_s(process) - cpu_s) / elapsed_s,
            process.memory_info().rss / 1e6,
            (after["sent_bytes"] - counters_before["sent_bytes"]) / elapsed_s,
            (after["store_calls"] - counters_before["store_calls"]) / elapsed_s,
        )
    return usages


def _cpu_time_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _operators_address(deployment: LocalDeployment, name: str) -> str:
    role, _, number = name.partition("-")
    return f"127.0.0.1:{getattr(deployment.instances[int(number)], f'{role}_operators_port')}"


def _read_counters(deployment: LocalDeployment, name: str) -> dict[str, float]:
    text = deployment.call("GET", _operators_address(deployment, name), "/metrics").body.decode()
    totals = {"sent_bytes": 0.0, "store_calls": 0.0}
    for line in text.splitlines():
        if line.startswith("foxtailwell_sent_bytes_total"):
            totals["sent_bytes"] += float(line.rsplit(" ", 1)[1])
        elif line.startswith("foxtailwell_store_calls_total"):
            totals["store_calls"] += float(line.rsplit(" ", 1)[1])
    return totals


def _read_status(deployment: LocalDeployment, number: int, role: str) -> dict[str, Any]:
    reply = deployment.call("GET", _operators_address(deployment, f"{role}-{number}"), "/v1/status")
    return dict(reply.json)


def _measure_takeover() -> Iterable[Row]:
    """Repeatedly kill the scheduler that holds a zone, and measure the time to a new term."""
    times_s = []
    with _open_deployment() as deployment:
        deployment.start_platform(workers_per_zone=4)
        for number in (1, 2, 3):
            deployment.start_instance(number)
        deployment.configure()
        deployment.wait_until(lambda: deployment.holder() != 0, "a scheduler holds the zone")
        for _ in range(TAKEOVER_COUNT):
            holder = deployment.holder()
            term = deployment.allocation()["term"]
            deployment.send_signal(f"scheduler-{holder}", signal.SIGKILL)

            def is_taken_over(term: int = term) -> bool:
                return int(deployment.allocation()["term"]) > term

            times_s.append(deployment.wait_until(is_taken_over, "the zone has a new holder"))
            deployment.processes[f"scheduler-{holder}"].wait()
            deployment.start_instance(holder, roles="scheduler")
            deployment.wait_until(
                lambda: set(deployment.revisions().values()) == {5}, "the killed scheduler is back"
            )
    dimensions = {"instances": 3, "samples": TAKEOVER_COUNT}
    return [_row("takeover_p99_s", max(times_s), "s", dimensions)]


def _measure_configuration() -> Iterable[Row]:
    """Change the configuration, and measure the time until all daemons report the revision."""
    times_s = []
    with _open_deployment() as deployment:
        deployment.start_platform(workers_per_zone=4)
        for number in range(1, 8):
            deployment.start_instance(number)
        deployment.configure()
        for index in range(CHANGE_COUNT):
            value = {
                "kind": "request",
                "target_ms": 1000 + index,
                "patience_ms": 0,
                "idempotent": True,
            }
            reply = deployment.change_configuration(1 + index % 7, "class.set", "changing", value)
            expected_revision = reply.json["revision"]

            def is_in_force(expected_revision: int = expected_revision) -> bool:
                return min(deployment.revisions().values()) >= expected_revision

            times_s.append(
                deployment.wait_until(is_in_force, f"revision {expected_revision} is in force")
            )
    dimensions = {"instances": 7, "samples": CHANGE_COUNT}
    return [_row("config_in_force_p99_s", max(times_s), "s", dimensions)]


def _usage_rows(name: str, usage: _Usage, dimensions: dict[str, Any]) -> Iterable[Row]:
    role = name.partition("-")[0]
    values = (
        ("daemon_idle_cpu_percent", usage.cpu_percent, "% of a core"),
        ("daemon_rss_mb", usage.rss_mb, "MB"),
        ("daemon_control_bytes_per_s", usage.sent_bytes_per_s, "B/s"),
        ("store_calls_per_s", usage.store_calls_per_s, "1/s"),
    )
    for measure, value, unit in values:
        yield _row(measure, value, unit, {"role": role, **dimensions})


def _row(measure: str, value: float, unit: str, dimensions: dict[str, Any]) -> Row:
    """Return a row without baseline and seed, which these absolute measures do not have."""
    return {
        "measure": measure,
        "value": round(value, 4),
        "unit": unit,
        "baseline": None,
        "baseline_value": None,
        "ratio": None,
        "seed": None,
        "deployment": "loopback",
        **dimensions,
    }
