"""Signals that an instance receives as a process, while it starts and for a reload."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path

import anyio
import pytest

from foxtailwell.adapters.http_connection import CallError, HttpEndpoint
from foxtailwell.instance._daemon import UNREADY_PERIOD_S
from foxtailwell_soak._fleet import BOUNDS, is_signal_handled, open_fleet
from foxtailwell_soak._history import History
from foxtailwell_soak._operators import Operators
from foxtailwell_standins.relay import LinkFailures

PROGRAM = Path(__file__).parent.parent / "src/instance.py"
SETTINGS = {
    "node_name": "i1",
    "ip": "127.0.0.1",
    "zone": "a",
    "listen_addrs": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
    "port_range": [0, 0],
    "platform": {"address": "127.0.0.1:9"},
}


@pytest.fixture
def settings_path(tmp_path):
    """Return the path of a valid settings file."""
    path = tmp_path / "local.json"
    path.write_text(json.dumps(SETTINGS))
    return path


@pytest.fixture
def instance(settings_path):
    """Return a process that has just been started and has no store."""
    environment = {**os.environ, "FOXTAILWELL_BOOT": str(settings_path)}
    process = subprocess.Popen(
        [sys.executable, str(PROGRAM)], env=environment, stdout=subprocess.PIPE
    )
    # Without a limit, a test that waits for an event that never comes would hang, not fail.
    limit = threading.Timer(30, process.kill)
    limit.start()
    yield process
    limit.cancel()
    process.kill()
    process.wait()


def next_line(process, event):
    """Return the next log line with this event number; fails when the output ends."""
    for line in process.stdout:
        decoded = json.loads(line)
        if decoded["event"] == event:
            return decoded
    raise AssertionError(f"the process ended without logging {event}")


def test_reload_signal_does_not_end_an_instance_that_starts(instance):
    """Guards against a SIGHUP that ends the process before its handler is installed."""
    first = json.loads(instance.stdout.readline())
    assert first["event"] == "FW1001"
    assert is_signal_handled(instance.pid, signal.SIGHUP)
    for _ in range(20):
        instance.send_signal(signal.SIGHUP)
    assert instance.poll() is None
    # A SIGTERM that is pending together with a SIGHUP may be handled first and drop the reload.
    next_line(instance, "FW1707")
    assert instance.poll() is None
    instance.send_signal(signal.SIGTERM)
    events = [json.loads(line)["event"] for line in instance.stdout]
    assert events[-1] == "FW1003"
    assert instance.wait(10) == 0


def test_reload_reports_what_it_applies_and_rejects_an_invalid_file(instance, settings_path):
    """Guards against a wrong report of a reload, and against an invalid file that takes effect."""
    next_line(instance, "FW1001")
    changed = SETTINGS | {"zone": "b", "bounds": {"revoke_ms": 4000}}
    settings_path.write_text(json.dumps(changed))
    instance.send_signal(signal.SIGHUP)
    line = next_line(instance, "FW1707")
    assert (line["applied"], line["after_restart"]) == (["revocation_ms"], ["zone"])
    settings_path.write_text("{}")
    instance.send_signal(signal.SIGHUP)
    assert "node_name" in next_line(instance, "FW1709")["reason"]
    assert instance.poll() is None


SUBMISSION = (
    b'{"spec":"0.5","phases":[{"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":500}]}'
)


@pytest.fixture
async def deployment(group, tmp_path):
    """Return a deployment of one instance and one worker that accepts jobs, and its client."""
    fleet = await open_fleet(group, tmp_path, 1, 1)
    Operators(fleet, History()).configure()
    endpoint = HttpEndpoint(fleet.instances[0].address, host="jobs.example")
    for _ in range(100):
        if await submit(endpoint, 0) == 200:
            break
        await anyio.sleep(0.1)
    yield fleet, endpoint
    endpoint.close()
    fleet.close()


async def submit(endpoint, job_number):
    """Submit a job and return the status of the response; 0 without a response."""
    headers = {"Authorization": "Token key-1"}
    try:
        reply = await endpoint.call(
            "POST", f"/urgent/{job_number:016x}", SUBMISSION, headers=headers, timeout_s=5.0
        )
    except CallError:
        return 0
    return reply.status


@pytest.mark.anyio
async def test_stop_while_the_store_is_silent_leaves_no_submission_with_an_error(deployment):
    """Guards against status 500, or none, for a submission whose outcome is unknown."""
    fleet, endpoint = deployment
    instance = fleet.instances[0]
    instance.signal(signal.SIGTERM)
    await anyio.sleep(UNREADY_PERIOD_S - 1.0)
    instance.store_link.set_failures(LinkFailures(drop=("to_target", "to_client")))
    assert await submit(endpoint, 1) == 504
    assert await anyio.to_thread.run_sync(instance.process.wait, BOUNDS.grace_s) == 0
    assert not instance.unhandled_errors()
