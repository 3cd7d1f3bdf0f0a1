"""An instance as a process: signals while it starts."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
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
    """Return the settings file of an instance."""
    path = tmp_path / "local.json"
    path.write_text(json.dumps(SETTINGS))
    return path


@pytest.fixture
def instance(settings_path):
    """Return a process that has just begun to start, without a store."""
    environment = {**os.environ, "FOXTAILWELL_BOOT": str(settings_path)}
    process = subprocess.Popen(
        [sys.executable, str(PROGRAM)], env=environment, stdout=subprocess.PIPE
    )
    yield process
    process.kill()
    process.wait()


def test_reload_signal_does_not_end_an_instance_that_starts(instance):
    """Guards against a process that SIGHUP ends before its handler is in place."""
    first = json.loads(instance.stdout.readline())
    assert first["event"] == "FW1001"
    assert is_signal_handled(instance.pid, signal.SIGHUP)
    for _ in range(20):
        instance.send_signal(signal.SIGHUP)
    assert instance.poll() is None
    instance.send_signal(signal.SIGTERM)
    events = [json.loads(line)["event"] for line in instance.stdout]
    assert "FW1707" in events
    assert events[-1] == "FW1003"
    assert instance.wait(10) == 0


def next_line(process, event):
    """Return the next line of an event."""
    for line in process.stdout:
        decoded = json.loads(line)
        if decoded["event"] == event:
            return decoded
    raise AssertionError(f"the process has ended without {event}")


def test_reload_applies_what_it_says_and_keeps_the_old_settings_otherwise(instance, settings_path):
    """Guards against a reload that is reported and not done, and against a bad file in force."""
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
