"""Runs two builds in one deployment and checks that each reads what the other wrote.

Both parts begin with the older build alone, which writes settings, jobs in every state,
configuration and claims. The newer build then joins, the two serve side by side, and each takes
over from the other. The stand-ins of the platform are those of the installed build.

Usage: python scripts/check_mixed_builds.py OLD_SOURCE NEW_SOURCE   (two `src` folders)
Exit status: 0 when every check passed, 1 otherwise. A run takes about 2.5 minutes.
"""

from __future__ import annotations

import http.client
import json
import logging
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import MISSING, replace
from dataclasses import fields as fields_of
from pathlib import Path
from typing import Any

import anyio
import msgspec

from foxtailwell.workflows import Resources, Step, Submission
from foxtailwell_bench.deployment import LocalDeployment, check_worker_log
from foxtailwell_standins.platform_server import (
    encode_entry,
    serve_on_loopback,
    store_app,
    worker_app,
)
from foxtailwell_standins.platform_store import MemoryStore
from foxtailwell_standins.platform_worker import MemoryWorker
from foxtailwell_standins.ports import free_ports

WAIT_S = 30.0
"""Limit of every wait."""

MAX_LEASE_MS = 4000
"""Lease of a worker's runs; short, so that a takeover is fast."""

GRACE_S = 2.0
"""Time that an instance has for its planned stop."""

HEARTBEAT_S = 0.2
"""Pause between two entries of a worker."""

COMMANDS = {
    "caller": ("submit", "status", "wait", "cancel", "list", "call"),
    "admin": (
        "status",
        "queue",
        "targets",
        "audit",
        "fragmentation",
        "class set",
        "class delete",
        "class list",
        "account set",
        "account delete",
        "account list",
        "zone out",
        "zone back",
        "instance leave",
        "instance back",
        "explain job",
        "explain request",
        "settings check",
        "config show",
        "survive-zone-loss",
    ),
    "entry": (),
    "scheduler": (),
}

RECORD_PREFIXES = ("foxtailwell/in/job/", "foxtailwell/run/")

ADDED_FIELDS = {
    "foxtailwell/in/job/": {"digest"},
    "foxtailwell/run/": {"queue", "account", "digest", "highest_run", "run_ranges"},
    "FW1703": {"queue"},
}
"""Fields that the newer build may add to records, by prefix, and to events; earlier builds ignore
them in records. No other difference is accepted."""

HOST = "jobs.example"
CAPACITY = Resources(8_000, 8_000, 8)


@contextmanager
def build(source: Path) -> Iterator[None]:
    """Let processes that are started here import one build."""
    before = os.environ.get("PYTHONPATH")
    os.environ["PYTHONPATH"] = str(source)
    try:
        yield
    finally:
        if before is None:
            del os.environ["PYTHONPATH"]
        else:
            os.environ["PYTHONPATH"] = before


def check(text: str, seen: object, expected: object) -> None:
    """Print one check; raise AssertionError unless the value is the expected one."""
    print(f"   {text}: {str(seen)[:100]}", flush=True)
    assert seen == expected, f"{text}: expected {expected}, seen {seen}"


def field_names(value: object) -> object:
    """Return the names of fields in a JSON value, without the values."""
    if isinstance(value, dict):
        return {name: field_names(part) for name, part in sorted(value.items())}
    if isinstance(value, list):
        return [field_names(value[0])] if value else []
    return type(value).__name__


def metric_names(text: str) -> set[str]:
    """Return the names of samples, with the names of their labels."""
    lines = [line for line in text.splitlines() if line and not line.startswith("#")]
    return {re.sub(r'="[^"]*"', "", line.rpartition(" ")[0]) for line in lines}


def check_log_fields(first: Path, second: Path) -> None:
    """Check that events which both builds have written carry the same fields."""
    fields = [_event_fields(first), _event_fields(second)]
    common = sorted(fields[0].keys() & fields[1].keys())
    different = [
        event
        for event in common
        if fields[0][event] != fields[1][event]
        and fields[0][event] != fields[1][event] - ADDED_FIELDS.get(event, set())
    ]
    check(f"events of {len(common)} kinds in {first.name} and {second.name}", different, [])


def _event_fields(path: Path) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for line in path.read_text().splitlines():
        if line.startswith("{"):
            record = json.loads(line)
            record.pop("left_out", None)
            found.setdefault(record["event"], set(record))
    return found


def check_commands(old: Path, new: Path) -> None:
    """Check that both builds have the same commands and flags."""
    for program, commands in COMMANDS.items():
        for command in ("", *commands):
            check(
                f"flags of {program} {command}",
                _flags(new, program, command.split()) - _flags(old, program, command.split()),
                set(),
            )
            check(
                "none removed",
                _flags(old, program, command.split()) - _flags(new, program, command.split()),
                set(),
            )


def _flags(source: Path, program: str, command: list[str]) -> set[str]:
    code = f"from foxtailwell.cli.{program} import main; main()"
    with build(source):
        result = subprocess.run(
            [sys.executable, "-c", code, *command, "--help"], capture_output=True, check=False
        )
    text = re.sub(r"\x1b\[[0-9;]*m", "", result.stdout.decode())
    flags = set(re.findall(r"(?<![\w-])--?[a-z][\w-]*", text))
    return flags | set(re.findall(r"^ {2,}([a-z][a-z-]+)  ", text, re.MULTILINE))


# Entry and scheduler daemons


def check_daemons(old: Path, new: Path, directory: Path) -> None:
    """Check entry and scheduler daemons of both builds on one store and as peers."""
    fleet = LocalDeployment(directory)
    try:
        with build(old):
            fleet.start_platform(minion_count=2, workers_per_zone=2)
            fleet.start_instance(1)
            fleet.configure()
        ended = fleet.submit(1, "ended", run_s=0.2)
        fleet.wait_for_state(ended, "done")
        running = fleet.submit(1, "running", members=2, run_s=45.0)
        fleet.wait_for_state(running, "running")
        waiting = fleet.submit(1, "waiting", members=4, run_s=0.2)
        check("claimed request, old entry", fleet.request(1, "once", b"a", key="k").body, b"a")
        attempt = fleet.job_document(running)["attempt"]

        print("the newer build joins")
        with build(new):
            fleet.start_instance(2)
        fleet.wait_until(lambda: set(fleet.revisions().values()) == {5}, "the stored configuration")
        check("the claim as the new entry reads it", _body(fleet, 2, "k"), b"a")
        check("runs of the claimed request", fleet.execution_count("k"), 1)
        for job, state in ((ended, "done"), (running, "running"), (waiting, "waiting")):
            check(f"{state} job at the new entry", _job_at(fleet, 2, job)["state"], state)
        check("same document at both", _job_at(fleet, 1, ended), _job_at(fleet, 2, ended))
        for one, other in ((1, 2), (2, 1)):
            fleet.wait_until(
                lambda o=one, p=other: f"i{p}/entry" in _peers(fleet, o), "peers see peers"
            )
        check("change of the new entry", _set_class(fleet, 2, "from-new"), 200)
        fleet.wait_until(lambda: set(fleet.revisions().values()) == {6}, "revision 6 everywhere")
        check("change of the old entry", _set_class(fleet, 1, "from-old"), 200)
        fleet.wait_until(lambda: set(fleet.revisions().values()) == {7}, "revision 7 everywhere")
        changes = _operators(fleet, 2, "/v1/audit?limit=50")["changes"]
        check("audit trail at the new entry", len(changes), 7)
        check("audit trail is the same", changes, _operators(fleet, 1, "/v1/audit")["changes"])

        check(
            "zone out at the old entry",
            fleet.change_configuration(
                1, "zone.out", "b", {"reason": "x", "allow_unlisted": True}
            ).status,
            200,
        )
        guarantees = {"guarantees": [{"accelerators": 4, "count": 1}]}
        more = {"quota_accelerators": 64, "guaranteed_slots": 2}
        check(
            "guarantee",
            fleet.change_configuration(2, "account.set", "acme", guarantees | more).status,
            200,
        )
        fleet.wait_until(lambda: set(fleet.revisions().values()) == {9}, "revision 9 everywhere")
        for path in ("/v1/config", "/v1/audit?limit=50"):
            check(f"{path} at both entries", _operators(fleet, 1, path), _operators(fleet, 2, path))
        check_interfaces(fleet)

        print("claims cross the builds while both run")
        fleet.configure_minions(run_ms=700)
        for first, second in ((1, 2), (2, 1)):
            key = f"crossed-{first}"
            begun = fleet.request_in_background(first, "once", b"b", key=key)
            fleet.wait_until(lambda k=key: fleet.execution_count(k) == 1, "the request runs")
            check(f"duplicate at entry {second}", _body(fleet, second, key), b"b")
            check(f"first copy at entry {first}", begun.result().body, b"b")
            check("runs", fleet.execution_count(key), 1)
        fleet.configure_minions(run_ms=0)

        print("the configuration passes between peers while the store is away")
        fleet.configure_store(outage=True)
        for number, source in ((3, new), (4, old)):
            with build(source):
                fleet.start_instance(number, roles="entry")
            fleet.wait_until(
                lambda n=number: fleet.revisions()[f"entry-{n}"] == 9, "revision from a peer"
            )
            check(f"entry {number} answers", fleet.request(number, "ask", b"c").body, b"c")
        fleet.configure_store(outage=False)

        print("schedulers take over from each other")
        fleet.kill("scheduler-1")
        fleet.wait_until(lambda: fleet.holder() == 2, "the new scheduler holds the zone")
        state = fleet.job_document(running)
        check("running job", (state["state"], state["attempt"]), ("running", attempt))
        with build(old):
            fleet.start_instance(1, roles="scheduler")
        fleet.wait_until(lambda: fleet.revisions()["scheduler-1"] == 9, "an old scheduler again")
        fleet.kill("scheduler-2")
        fleet.wait_until(lambda: fleet.holder() == 1, "the old scheduler holds the zone")
        state = fleet.job_document(running)
        check("running job", (state["state"], state["attempt"]), ("running", attempt))
        fleet.wait_for_state(running, "done", 60.0)
        fleet.wait_for_state(waiting, "done")
        late = fleet.submit(2, "late", run_s=0.2)
        fleet.wait_for_state(late, "done")
        check("job of the new entry at the old one", _job_at(fleet, 1, late)["state"], "done")
        check("attempts of the long job", fleet.job_document(running)["attempt"], attempt)
        check_worker_log(fleet.worker_log())
        for role in ("entry", "scheduler"):
            check_log_fields(directory / f"{role}-1.log", directory / f"{role}-2.log")
    finally:
        fleet.close()


def check_interfaces(fleet: LocalDeployment) -> None:
    """Check that status, explanations and metrics have the same names in both builds."""
    for role in ("entry", "scheduler"):
        one, two = (
            f"127.0.0.1:{getattr(fleet.instances[number], f'{role}_operators_port')}"
            for number in (1, 2)
        )
        paths = ["/v1/status", "/healthz"]
        if role == "scheduler":
            paths.append("/v1/fragmentation")
        for path in paths:
            seen = [field_names(fleet.call("GET", address, path).json) for address in (one, two)]
            for found in seen:
                if isinstance(found, dict):
                    # One scheduler holds the zone, so only it lists one.
                    found.pop("zones", None)
            check(f"{path} of both {role} daemons", seen[0], seen[1])
        names = [metric_names(fleet.call("GET", a, "/metrics").body.decode()) for a in (one, two)]
        check(f"metrics of the {role} that only one has", _states(names[0] ^ names[1]), set())
    jobs = [
        fleet.call("GET", f"127.0.0.1:{i.callers_port}", "/v1/jobs").json
        for i in (fleet.instances[1], fleet.instances[2])
    ]
    check("list of jobs", jobs[0], jobs[1])


def _states(names: set[str]) -> set[str]:
    """Leave out gangs by zone, which only the holder of a zone has, and targets met so far."""
    return {n for n in names if not n.startswith(("foxtailwell_gangs", "foxtailwell_targets"))}


def _body(fleet: LocalDeployment, instance: int, key: str) -> bytes:
    return fleet.request(instance, "once", b"b" if "-" in key else b"a", key=key).body


def _job_at(fleet: LocalDeployment, instance: int, job: str) -> dict[str, Any]:
    address = f"127.0.0.1:{fleet.instances[instance].callers_port}"
    return dict(fleet.call("GET", address, f"/v1/jobs/{job}").json)


def _operators(fleet: LocalDeployment, instance: int, path: str) -> dict[str, Any]:
    address = f"127.0.0.1:{fleet.instances[instance].entry_operators_port}"
    return dict(fleet.call("GET", address, path).json)


def _peers(fleet: LocalDeployment, instance: int) -> set[str]:
    peers = _operators(fleet, instance, "/v1/status")["peers"]
    return {peer["id"] for peer in peers if peer["revision"] > 0 and peer["reply_age_s"] < 5}


def _set_class(fleet: LocalDeployment, instance: int, name: str) -> int:
    value = {"kind": "request", "target_ms": 500, "patience_ms": 900, "idempotent": True}
    return fleet.change_configuration(instance, "class.set", name, value).status


def check_settings(old: Path, new: Path) -> None:
    """Check that the newer build accepts the settings files that ship with the older one."""
    for path in sorted((old.parent / "examples").glob("*.jsonc")):
        command = "from foxtailwell.cli.admin import main; main()"
        with build(new):
            result = subprocess.run(
                [sys.executable, "-c", command, "settings", "check", str(path)],
                capture_output=True,
                check=False,
            )
        check(f"settings file {path.name}, exit code", result.returncode, 0)


# Instances on the platform


class _Platform:
    """Store, workers and instances of one deployment on the platform."""

    def __init__(self, directory: Path) -> None:
        self.store = MemoryStore()
        self.workers: list[tuple[MemoryWorker, str]] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.addresses: dict[str, str] = {}
        self._directory = directory
        self._store_address = ""

    async def open(self, group: anyio.abc.TaskGroup) -> None:
        for number in range(3):
            worker = MemoryWorker(
                f"w{number}", rack="r0", zone="a", capacity=CAPACITY, payload_duration_s=float
            )
            worker.restart()
            self.workers.append((worker, await serve_on_loopback(group, worker_app(worker))))
        app = store_app(self.store.client())
        self._store_address = await serve_on_loopback(group, app)
        routes = [
            {"name": name, "host": HOST, "prefix": f"/{name}/", "service": "pool", "priority": p}
            for p, name in enumerate(("urgent", "later"))
        ]
        tenants = [{"name": "acme", "api_keys": ["key"], "guaranteed": {"gpu": 8}}]
        value = {"version": 7, "routes": routes, "tenants": tenants}
        self.store.write("op/config", msgspec.json.encode(value))
        group.start_soon(self._run)

    async def _run(self) -> None:
        """End due runs of the workers and write their entries."""
        while True:
            for worker, address in self.workers:
                worker.end_due_runs()
                entry = replace(worker.entry(), address=address)
                self.store.write(f"servers/{worker.id}", encode_entry(entry))
            self.store.expire_leases()
            await anyio.sleep(HEARTBEAT_S)

    def start(self, name: str, source: Path) -> None:
        """Start an instance of a build, with a settings file as the platform writes it."""
        front, ready, metrics = free_ports(3)
        settings = {
            "node_name": name,
            "ip": "127.0.0.1",
            "zone": "a",
            "listen_addrs": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "port_range": [metrics, metrics],
            "platform": {"address": self._store_address},
            "bounds": {"max_hold_ms": MAX_LEASE_MS, "grace_s": GRACE_S, "status_s": 120},
        }
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.addresses[name] = f"127.0.0.1:{front}"
        with (self._directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(source / "instance.py")],
                stdout=log,
                stderr=log,
                env={**os.environ, "FOXTAILWELL_BOOT": str(path)},
            )

    def end(self, name: str, number: signal.Signals) -> None:
        """End an instance by a signal."""
        self.processes[name].send_signal(number)

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of an instance."""
        text = (self._directory / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def close(self) -> None:
        """End all instances."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    async def call(self, name: str, method: str, path: str, body: object = None) -> tuple[int, Any]:
        """Send one client's request to an instance."""
        return await anyio.to_thread.run_sync(_http, self.addresses[name], method, path, body)

    async def state(self, name: str, job: str) -> str:
        """Return a job's state as an instance shows it."""
        status, body = await self.call(name, "GET", job)
        return str(body.get("state", status)) if status == 200 else str(status)

    def record_fields(self) -> dict[str, set[str]]:
        """Return the field names of the stored submissions and progress records.

        Fields that the newer build adds are left out, and fields of submissions that it leaves out
        because they have their default values are filled in.
        """
        found: dict[str, set[str]] = {}
        for key, item in self.store.items.items():
            for prefix in RECORD_PREFIXES:
                if key.startswith(prefix):
                    value = json.loads(item.value)
                    for name in ADDED_FIELDS[prefix]:
                        value.pop(name, None)
                    if "steps" in value:
                        value = _with_defaults(Submission, value)
                        value["steps"] = [_with_defaults(Step, step) for step in value["steps"]]
                    found.setdefault(prefix, set()).add(
                        json.dumps(
                            {n: sorted(v[0]) if n == "steps" else None for n, v in value.items()}
                        )
                    )
        return found

    def runs(self, job: str, work_s: float) -> list[tuple[int, str]]:
        """Return the run numbers and workers of the first task of the job with this duration."""
        run_of = (f"{job.rpartition('/')[2]}.0.0.0", f"{work_s}")
        spans = [span for worker, _ in self.workers for span in worker.spans]
        return [(s.run, s.worker) for s in spans if (s.task, s.payload) == run_of]


def _with_defaults(
    data_class: type[Submission] | type[Step], value: dict[str, Any]
) -> dict[str, Any]:
    """Return a stored dataclass with the absent fields that have defaults, and all others."""
    filled = {
        field.name: value.get(field.name, field.default)
        for field in fields_of(data_class)
        if field.name in value or field.default is not MISSING
    }
    return filled | value


def _http(address: str, method: str, path: str, body: object) -> tuple[int, Any]:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        data = None if body is None else json.dumps(body)
        headers = {"Host": HOST, "Authorization": "Token key"}
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()
    return response.status, json.loads(text) if text else {}


async def _until(text: str, condition: Callable[[], Any], limit_s: float = WAIT_S) -> None:
    end_s = time.monotonic() + limit_s
    while not await condition():
        if time.monotonic() > end_s:
            raise AssertionError(f"not within {limit_s:g} s: {text}")
        await anyio.sleep(0.05)
    print(f"   {text}", flush=True)


def _path(queue: str, number: int) -> str:
    return f"/{queue}/{number:016x}"


def _job(work_s: float, count: int = 1, **more: object) -> dict[str, object]:
    phase = {"count": count, "cpu": 4000, "mem_mb": 100, "gpu": 4, "estimate_ms": 1000}
    return {"spec": f"{work_s}", "phases": [phase | more]}


async def _check_instances(old: Path, new: Path, directory: Path) -> None:
    fleet = _Platform(directory)
    async with anyio.create_task_group() as group:
        try:
            await fleet.open(group)
            fleet.start("one", old)

            async def submit(name: str, path: str, body: object) -> bool:
                status, _ = await fleet.call(name, "POST", path, body)
                return status == 200

            def shows(name: str, job: str, state: str) -> Callable[[], Any]:
                async def look() -> bool:
                    return await fleet.state(name, job) == state

                return look

            ended, running, waiting = _path("later", 1), _path("urgent", 2), _path("later", 3)
            # Jobs with the IDs of `running` and of one that the instance "two" completes.
            namesakes = {"two": _path("later", 2), "four": _path("urgent", 20)}
            cancelled, later = _path("later", 4), _path("later", 5)
            await _until("a job is accepted", lambda: submit("one", ended, _job(0.2)))
            await _until("it has completed", shows("one", ended, "completed"))
            await submit("one", running, _job(25.0, 5, checkpointing=True))
            await _until("a job runs", shows("one", running, "running"))
            await submit("one", waiting, _job(0.2, 6, gang=True))
            await submit("one", cancelled, _job(0.2, 6, gang=True))
            await fleet.call("one", "DELETE", cancelled)
            # Jobs that start in an hour keep the records of the builds that accepted them.
            timed = _job(0.1) | {"start_at_ms": int(time.time() * 1000) + 3_600_000}
            await submit("one", later, timed)
            jobs = (ended, running, waiting, cancelled, later)
            before = {job: await fleet.state("one", job) for job in jobs}
            print(f"   states at the old build: {before}", flush=True)
            check(
                "states",
                sorted(before.values()),
                sorted(["completed", "running", "queued", "cancelled", "queued"]),
            )

            for number, (name, source, leaving, how) in enumerate(
                (
                    ("two", new, "one", signal.SIGKILL),
                    ("three", old, "two", signal.SIGTERM),
                    ("four", new, "three", signal.SIGKILL),
                )
            ):
                print(f"{name} joins, {leaving} ends by {how.name}")
                fleet.start(name, source)
                await _until("the job is shown", shows(name, ended, "completed"))
                after = {job: await fleet.state(name, job) for job in jobs}
                check("states at the joining instance", after, before)
                check(
                    "timed job accepted",
                    await submit(name, _path("later", 30 + number), timed),
                    True,
                )
                if source is new:
                    namesake = namesakes[name]
                    check("namesake accepted", await submit(name, namesake, _job(0.3)), True)
                    check("namesake shown", await fleet.state(name, namesake), "queued")
                second, third = _path("later", 10 + number), _path("later", 20 + number)
                await _until("it accepts a job", lambda n=name, s=second: submit(n, s, _job(0.2)))
                await _until("the leaving one shows its end", shows(leaving, second, "completed"))
                fleet.end(leaving, how)

                async def elected(name: str = name) -> bool:
                    return any(line["event"] == "FW1601" for line in fleet.log(name))

                await _until("it is the controller", elected)
                await _until("it accepts a job", lambda n=name, t=third: submit(n, t, _job(0.2)))
                await _until("the job completes", shows(name, third, "completed"))
                if source is new:
                    # It has waited for this controller, as the earlier build leaves it alone.
                    await _until("the namesake completes", shows(name, namesake, "completed"))
                    check("runs of the namesake", len(fleet.runs(namesake, 0.3)), 1)
                check("runs of the long job", len(fleet.runs(running, 25.0)), 1)
            await _until("the long job completes", shows("four", running, "completed"), 60.0)
            check("runs of the long job", len(fleet.runs(running, 25.0)), 1)
            await _until("the waiting job completes", shows("four", waiting, "completed"), 60.0)
            check_log_fields(directory / "one.log", directory / "two.log")
            fields = fleet.record_fields()
            check(
                "kinds of records with more than one set of fields",
                [prefix for prefix, found in fields.items() if len(found) != 1],
                [],
            )
            check("kinds of records", sorted(fields), sorted(RECORD_PREFIXES))
            for name in fleet.processes:
                unreadable = [
                    line
                    for line in fleet.log(name)
                    if line["event"] in ("FW1616", "FW1621", "FW1615")
                ]
                check(f"records that {name} could not read", unreadable, [])
        finally:
            group.cancel_scope.cancel()
            fleet.close()


def main(arguments: Sequence[str]) -> int:
    """Run all parts."""
    # A cancelled watch of a stand-in would print a traceback at the end of each part.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    if len(arguments) != 2:
        print(__doc__)
        return 2
    old, new = (Path(argument).resolve() for argument in arguments)
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        try:
            print("settings and commands")
            check_settings(old, new)
            check_commands(old, new)
            print("instances on the platform")
            anyio.run(_check_instances, old, new, directory, backend="asyncio")
            print("entry and scheduler daemons")
            check_daemons(old, new, directory)
        except (AssertionError, ExceptionGroup) as error:
            print(f"failed: {error}", *getattr(error, "exceptions", ()), sep="\n")
            for path in sorted(directory.glob("*.log")):
                print(f"-- {path.name}", *path.read_text().splitlines()[-8:], sep="\n")
            return 1
    print("all checks passed")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
