"""Tests of log lines: format, rate limit and behaviour when the reader stops."""

from __future__ import annotations

import io
import os
import sys

import msgspec
import pytest

from foxtailwell.adapters.events import JOB_WAITING, RUN_ENDED
from foxtailwell.adapters.logs import MAX_LINE_BYTES, MAX_LINES_PER_S, configure_logs, log_event


class ManualClock:
    """A manually controlled clock."""

    def __init__(self):
        self.now_s = 0.0

    def read_s(self):
        """Return the current time of the clock in seconds."""
        return self.now_s


@pytest.fixture
def clock():
    """Provide a clock, and restore the default log configuration afterwards."""
    yield ManualClock()
    configure_logs("json", "INFO", stream=sys.stderr)


def decode_lines(text):
    """Decode JSON lines."""
    return [msgspec.json.decode(line) for line in text.splitlines()]


def test_lines_above_rate_limit_are_dropped_and_counted(clock):
    """Guards against unlimited log volume, and against dropped lines that are not reported."""
    stream = io.StringIO()
    configure_logs("json", "INFO", stream=stream, now_s=clock.read_s, instance="i1")
    for number in range(MAX_LINES_PER_S + 25):
        log_event(RUN_ENDED, run=number)
    log_event(JOB_WAITING, job="a")
    clock.now_s = 1.5
    log_event(JOB_WAITING, job="b")
    lines = decode_lines(stream.getvalue())
    assert [line["event"] for line in lines].count(RUN_ENDED.number) == MAX_LINES_PER_S
    assert [line["job"] for line in lines if line["event"] == JOB_WAITING.number] == ["a", "b"]
    assert [line["left_out"] for line in lines if "left_out" in line] == [{RUN_ENDED.number: 25}]
    assert {line["instance"] for line in lines} == {"i1"}


def test_stalled_reader_does_not_block_the_daemon(clock):
    """Guards against a daemon that blocks because its log collector stopped reading."""
    reader, writer = os.pipe()
    with open(reader, "rb", buffering=0) as source, open(writer, "w") as stream:
        configure_logs("json", "INFO", stream=stream, now_s=clock.read_s)
        for number in range(4000):
            clock.now_s += 0.1
            log_event(RUN_ENDED, run=number, worker="w" * 100)
        received = source.read(1 << 20)
        clock.now_s += 2
        log_event(JOB_WAITING, job="a")
        received += source.read(1 << 20)
    lines = decode_lines(received.decode())
    written = [line["run"] for line in lines if line["event"] == RUN_ENDED.number]
    assert 0 < len(written) < 4000
    dropped = sum(line.get("left_out", {}).get(RUN_ENDED.number, 0) for line in lines)
    assert len(written) + dropped == 4000
    assert lines[-1]["event"] == JOB_WAITING.number


def test_long_fields_are_truncated_and_line_stays_valid(clock):
    """Guards against lines that are too long for a non-blocking write to a pipe."""
    stream = io.StringIO()
    configure_logs("json", "INFO", stream=stream, now_s=clock.read_s)
    log_event(JOB_WAITING, job="a", workers=[f"worker-{n}" for n in range(2000)])
    (line,) = decode_lines(stream.getvalue())
    assert len(stream.getvalue()) <= MAX_LINE_BYTES
    assert line["job"] == "a"
    assert line["workers"].startswith('["worker-0"')
