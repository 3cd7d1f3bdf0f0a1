"""Ports that the stand-ins and tests choose for their processes."""

from __future__ import annotations

import random
import subprocess
import sys

import pytest

from foxtailwell_standins import ports as port_selection
from foxtailwell_standins.ports import ephemeral_ports, free_ports

COUNT = 20
DRAW = """
import sys
from foxtailwell_standins import ports
ports.PORTS = range(int(sys.argv[1]), int(sys.argv[2]))
print(*ports.free_ports(int(sys.argv[3])), flush=True)
sys.stdin.read()
"""


@pytest.fixture
def few_ports(monkeypatch):
    """Let this process draw from few ports, and return them."""
    ephemeral = ephemeral_ports()
    starts = [
        start
        for start in range(10_000, 65_536 - 3 * COUNT)
        if start not in ephemeral and start + 3 * COUNT not in ephemeral
    ]
    start = random.SystemRandom().choice(starts)
    few = range(start, start + 3 * COUNT)
    monkeypatch.setattr(port_selection, "PORTS", few)
    return few


@pytest.fixture
def drawing_process(few_ports):
    """Return a function that starts a process which draws ports, and holds them until its end."""
    processes = []

    def start():
        process = subprocess.Popen(
            [sys.executable, "-c", DRAW, str(few_ports.start), str(few_ports.stop), str(COUNT)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        processes.append(process)
        return process, {int(port) for port in process.stdout.readline().split()}

    yield start
    for process in processes:
        process.kill()
        process.communicate()


def test_port_of_a_process_is_not_assigned_to_another_socket():
    """Guards against a listener that takes the port of a process which has not started yet."""
    for _ in range(20):
        ports = free_ports(9)
        assert len(set(ports)) == 9
        assert not set(ports) & set(ephemeral_ports())


def test_two_processes_draw_no_port_in_common(drawing_process):
    """Guards against an instance that ends because a test of another process uses its port."""
    own = set(free_ports(COUNT))
    _, others = drawing_process()
    assert len(own) == len(others) == COUNT
    assert not own & others


def test_ports_of_a_process_are_free_again_after_its_end(drawing_process):
    """Guards against ports that run out because ended processes keep them."""
    for _ in range(6):
        process, drawn = drawing_process()
        assert len(drawn) == COUNT
        process.kill()
        process.wait()


def test_lack_of_ports_is_reported(few_ports):
    """Guards against a test that waits for ever for a port."""
    with pytest.raises(RuntimeError, match="end the processes"):
        free_ports(len(few_ports) + 1)
