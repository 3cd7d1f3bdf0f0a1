"""Signals that an instance receives as a process, while it starts and for a reload."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path

import pytest

from foxtailwell_soak._fleet import is_signal_handled

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
