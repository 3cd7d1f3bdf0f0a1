"""Deployment of real processes on loopback ports, for benchmarks and process tests.

It starts the stand-ins of the platform and the entry and scheduler daemons of each instance, sends
requests to them, and reads their state.
"""

from __future__ import annotations

import http.client
import json
import signal
import subprocess
import sys
import time
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from foxtailwell_standins.ports import free_ports

WAIT_TIMEOUT_S = 30.0
"""Timeout of each wait; it only ends a run that would hang, and no test result depends on it."""

PROGRAMS = {
    "standin": "foxtailwell_standins.cli",
    "entry": "foxtailwell.cli.entry",
    "scheduler": "foxtailwell.cli.scheduler",
}


@dataclass(frozen=True)
class Reply:
    """An HTTP response; status 0 if no complete response arrived."""

    status: int
    outcome: str = ""
    body: bytes = b""

    @property
    def json(self) -> Any:
        """Body decoded from JSON."""
        return json.loads(self.body)


@dataclass(frozen=True)
class Instance:
    """Number of an instance and the ports of its daemons."""

    number: int
    callers_port: int
    entry_operators_port: int
    scheduler_operators_port: int


@dataclass
class LocalDeployment:
    """Processes of a deployment, by name; `close` ends only those that this object started."""

    directory: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    instances: dict[int, Instance] = field(default_factory=dict)
    executor: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(16))
    store_address: str = ""
    instance_list_address: str = ""
    workers_address: str = ""
    minion_addresses: list[str] = field(default_factory=list)

    # Processes

    def start_platform(
        self, *, zones: str = "a", minion_count: int = 2, workers_per_zone: int = 2
    ) -> None:
        """Start the store, the instance list, minions and workers, and wait until they listen.

        Args:
            zones: Availability zones, separated by commas.
            minion_count: Number of minions over all zones.
            workers_per_zone: Number of workers of each zone.
        """
        self._start("store", "standin", "store")
        self._start("list", "standin", "instance-list")
        (self.store_address,) = self._wait_for_addresses("store", 1)
        (self.instance_list_address,) = self._wait_for_addresses("list", 1)
        where = ["--instance-list", f"http://{self.instance_list_address}", "--zones", zones]
        self._start("minions", "standin", "minions", "--count", str(minion_count), *where)
        self._start("workers", "standin", "workers", "--per-zone", str(workers_per_zone), *where)
        self.minion_addresses = self._wait_for_addresses("minions", minion_count)
        self.workers_address = self._wait_for_addresses(
            "workers", workers_per_zone * len(zones.split(","))
        )[0]

    def _wait_for_addresses(self, name: str, count: int) -> list[str]:
        """Wait until a stand-in has printed its listening addresses, and return them."""
        output = self.directory / f"{name}.out"

        def listening() -> list[str]:
            lines = output.read_text().splitlines()
            return [line.split()[-1] for line in lines if "listening on" in line]

        self.wait_until(lambda: len(listening()) >= count, f"{name} listens")
        return listening()

    def start_relay(self, name: str, target: str) -> tuple[str, str]:
        """Start a relay; return its address and that of its control interface."""
        self._start(name, "standin", "relay", target)
        (address,) = self._wait_for_addresses(name, 1)
        first = (self.directory / f"{name}.out").read_text().splitlines()[0]
        return address, first.split()[-1]

    def start_instance(
        self,
        number: int,
        zone: str = "a",
        *,
        store_address: str = "",
        roles: str = "entry scheduler",
    ) -> Instance:
        """Start or restart the daemons of an instance, on free ports.

        Args:
            number: Number of the instance.
            zone: Availability zone of the instance.
            store_address: Address of the store as seen by the daemons; the store's own by default.
            roles: Daemons to start, separated by spaces.
        """
        ports = free_ports(5)
        instance = Instance(number, ports[0], ports[1], ports[2])
        running = self.instances.get(number)
        if running is not None and "entry" not in roles:
            instance = replace(running, scheduler_operators_port=ports[2])
        self.instances[number] = instance
        for role, peers_port, operators_port in (
            ("entry", ports[3], ports[1]),
            ("scheduler", ports[4], ports[2]),
        ):
            if role not in roles:
                continue
            self._register(f"i{number}/{role}", role, zone, peers_port)
            settings = self._write_settings(
                number, role, zone, peers_port, operators_port, ports[0], store_address
            )
            self._start(f"{role}-{number}", role, "--settings", str(settings))
        return instance

    def _register(self, instance_id: str, role: str, zone: str, port: int) -> None:
        record = {"id": instance_id, "role": role, "zone": zone, "address": f"127.0.0.1:{port}"}
        self.call("PUT", self.instance_list_address, "/v1/instances", [record])

    def _write_settings(
        self,
        number: int,
        role: str,
        zone: str,
        peers_port: int,
        operators_port: int,
        callers_port: int,
        store_address: str,
    ) -> Path:
        def endpoint(port: int) -> dict[str, Any]:
            return {"host": "127.0.0.1", "port": port}

        path = self.directory / f"{role}-{number}.json"
        settings = {
            "instance": f"i{number}",
            "region": "region",
            "availability_zone": zone,
            "platform": {
                "store_url": f"http://{store_address or self.store_address}",
                "instance_list_url": f"http://{self.instance_list_address}",
            },
            "peers": endpoint(peers_port),
            "operators": endpoint(operators_port),
            "callers": endpoint(callers_port),
        }
        path.write_text(json.dumps(settings))
        return path

    def _start(self, name: str, program: str, *arguments: str) -> None:
        command = f"from {PROGRAMS[program]} import main; main()"
        with (
            (self.directory / f"{name}.out").open("w") as out,
            (self.directory / f"{name}.log").open("a") as log,
        ):
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-c", command, *arguments], stdout=out, stderr=log
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this deployment started."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process that this deployment started, and wait until it has ended."""
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def close(self) -> None:
        """Kill all processes that this deployment started, and wait until they have ended."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.executor.shutdown()

    # Calls

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        *,
        headers: dict[str, str] | None = None,
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> Reply:
        """Send an HTTP request; a body other than bytes is encoded as JSON."""
        host, _, port = address.rpartition(":")
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request(method, path, data, headers or {})
            response = connection.getresponse()
            outcome = response.headers.get("Foxtailwell-Outcome", "")
            return Reply(response.status, outcome, response.read())
        except (OSError, http.client.HTTPException):
            return Reply(0)
        finally:
            connection.close()

    def request(
        self, instance: int, work_class: str, body: bytes, *, key: str = "", deadline_ms: int = 0
    ) -> Reply:
        """Send a caller's request of account `acme` to the entry of an instance."""
        headers = {"Foxtailwell-Account": "acme"}
        headers |= {"Idempotency-Key": key} if key else {}
        headers |= {"Foxtailwell-Deadline-Ms": str(deadline_ms)} if deadline_ms else {}
        address = f"127.0.0.1:{self.instances[instance].callers_port}"
        return self.call("POST", address, f"/v1/requests/{work_class}", body, headers=headers)

    def request_in_background(self, *arguments: Any, **options: Any) -> Future[Reply]:
        """Call `request` with these arguments in a thread of the pool."""
        return self.executor.submit(self.request, *arguments, **options)

    def change_configuration(
        self, instance: int, operation: str, subject: str, value: Any = None
    ) -> Reply:
        """Apply an operator's configuration change to the current revision."""
        address = f"127.0.0.1:{self.instances[instance].entry_operators_port}"
        revision = self.call("GET", address, "/v1/config").json["revision"]
        body = {
            "expected_revision": revision,
            "actor": "test",
            "operation": operation,
            "subject": subject,
            "value": value,
        }
        return self.call("POST", address, "/v1/config/changes", body)

    def configure(self, instance: int = 1) -> None:
        """Configure an account and work classes, and wait until all daemons apply them."""
        operators_address = f"127.0.0.1:{self.instances[instance].entry_operators_port}"
        self.wait_until(
            lambda: self.call("GET", operators_address, "/v1/config").status == 200,
            "entry responds",
        )
        classes = {
            "ask": ("request", True),
            "once": ("request", False),
            "model": ("job", True),
            "survey": ("job", False),
        }
        for name, (kind, idempotent) in classes.items():
            value = {
                "kind": kind,
                "target_ms": 60_000,
                "patience_ms": 60_000,
                "idempotent": idempotent,
            }
            assert self.change_configuration(instance, "class.set", name, value).status == 200
        account = {"guarantees": [], "quota_accelerators": 0, "guaranteed_slots": 0}
        assert self.change_configuration(instance, "account.set", "acme", account).status == 200
        self.wait_until(lambda: set(self.revisions().values()) == {5}, "all daemons run revision 5")
        self.wait_until(
            lambda: self.request(instance, "ask", b"x").status == 200, "minions respond"
        )

    def revisions(self) -> dict[str, int]:
        """Return the configuration revision of each running daemon; -1 if it gives no status."""
        found = {}
        for number, instance in self.instances.items():
            for role in ("entry", "scheduler"):
                process = self.processes.get(f"{role}-{number}")
                if process is None or process.poll() is not None:
                    continue
                port = getattr(instance, f"{role}_operators_port")
                reply = self.call("GET", f"127.0.0.1:{port}", "/v1/status", timeout_s=2.0)
                found[f"{role}-{number}"] = reply.json["revision"] if reply.status == 200 else -1
        return found

    def execution_count(self, key: str) -> int:
        """Return how often the minions ran the request with this idempotency key."""
        states = [self.call("GET", m, "/control").json for m in self.minion_addresses]
        return sum(run[1] == key for state in states for run in state["executed"])

    def configure_minions(self, **settings: Any) -> None:
        """Set the run time and injected faults of all minion stand-ins."""
        for minion in self.minion_addresses:
            self.call("POST", minion, "/control", settings)

    def configure_store(self, **settings: Any) -> None:
        """Set the injected faults of the store stand-in."""
        assert self.call("POST", self.store_address, "/control", settings).status == 200

    # Jobs

    def submit(self, instance: int, key: str, *, members: int = 2, run_s: float = 1.0) -> str:
        """Submit a job of 4 accelerators per member and return its identifier."""
        job = {
            "account": "acme",
            "work_class": "model",
            "idempotency_key": key,
            "members": members,
            "accelerators_per_member": 4,
            "declared_run_s": run_s,
            "payload": json.dumps({"run_s": run_s}),
        }
        address = f"127.0.0.1:{self.instances[instance].callers_port}"
        reply = self.call("POST", address, "/v1/jobs", job, headers={"Foxtailwell-Account": "acme"})
        assert reply.status == 201, reply
        return str(reply.json["jobs"][0]["id"])

    def job_document(self, job_id: str) -> dict[str, Any]:
        """Return a job's document from the store; without one, an empty state and attempt 0."""
        for shard in range(16):
            reply = self.call("GET", self.store_address, f"/v1/kv/jobs%2F{shard}")
            if reply.status == 200:
                jobs = json.loads(reply.json["value"])["jobs"]
                if job_id in jobs:
                    return dict(jobs[job_id])
        return {"state": "", "attempt": 0}

    def wait_for_state(self, job_id: str, state: str, timeout_s: float = WAIT_TIMEOUT_S) -> None:
        """Wait until the stored document of a job has a state."""
        self.wait_until(
            lambda: self.job_document(job_id)["state"] == state, f"job is {state}", timeout_s
        )

    def wait_until_working(self, job_id: str) -> None:
        """Wait until all tasks of a job's gang work.

        The job is stored as running before its workers are told to let the tasks pass the barrier.
        """

        def is_working() -> bool:
            worked = [r for r in self.worker_log(job_id) if r["first_work_s"]]
            return len(worked) == int(self.job_document(job_id)["spec"]["members"])

        self.wait_until(is_working, "all tasks of the job work")

    def allocation(self, zone: str = "a") -> dict[str, Any]:
        """Return a zone's allocation document from the store; empty if there is none."""
        reply = self.call("GET", self.store_address, f"/v1/kv/alloc%2F{zone}")
        return json.loads(reply.json["value"]) if reply.status == 200 else {}

    def holder(self, zone: str = "a") -> int:
        """Return the number of the instance whose scheduler holds a zone; 0 if none does."""
        name = self.allocation(zone).get("holder", "").partition("/")[0]
        return int(name.removeprefix("i") or 0)

    def worker_log(self, job_id: str = "") -> list[dict[str, Any]]:
        """Return the task records of all worker stand-ins, optionally of one job only."""
        log = self.call("GET", self.workers_address, "/log").json
        return [record for record in log if not job_id or record["job_id"] == job_id]

    def wait_until(
        self, condition: Any, description: str, timeout_s: float = WAIT_TIMEOUT_S
    ) -> float:
        """Wait until a condition is true, and return the wait in seconds.

        Raises:
            AssertionError: The timeout passed; the message ends with the last log lines.
        """
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > timeout_s:
                raise AssertionError(
                    f"timed out after {timeout_s} s: {description}\n{self._last_log_lines()}"
                )
            time.sleep(0.02)
        return time.monotonic() - started_s

    def _last_log_lines(self) -> str:
        parts = []
        for path in sorted(self.directory.glob("*.log")):
            parts += [f"-- {path.name}", *path.read_text().splitlines()[-4:]]
        return "\n".join(parts)


def check_worker_log(records: list[dict[str, Any]]) -> None:
    """Check the task records of the workers for scheduling errors.

    Raises:
        AssertionError: A gang worked before all its tasks had started, two attempts of a job
            overlapped, or two tasks used an accelerator at the same time.
    """
    now_s = time.monotonic()
    worked = [r for r in records if r["first_work_s"]]
    for one in worked:
        gang = [
            r for r in records if (r["job_id"], r["attempt"]) == (one["job_id"], one["attempt"])
        ]
        assert all(0 < r["started_s"] <= one["first_work_s"] for r in gang), (one, gang)
    for index, one in enumerate(worked):
        for other in worked[index + 1 :]:
            if not _overlap(one, other, now_s):
                continue
            is_same_job = one["job_id"] == other["job_id"]
            assert not (is_same_job and one["attempt"] != other["attempt"]), (one, other)
            shared = set(one["accelerators"]) & set(other["accelerators"])
            assert not (one["worker"] == other["worker"] and shared), (one, other)


def _overlap(one: dict[str, Any], other: dict[str, Any], now_s: float) -> bool:
    one_end, other_end = one["stopped_s"] or now_s, other["stopped_s"] or now_s
    return bool(one["first_work_s"] < other_end and other["first_work_s"] < one_end)
