"""Log lines: their form, the bound on their volume, and a reader that stops reading."""

from __future__ import annotations

import io
import os
import sys

import msgspec
import pytest

from foxtailwell.adapters.events import JOB_WAITING, RUN_ENDED
from foxtailwell.adapters.logs import MAX_LINE_BYTES, MAX_LINES_PER_S, configure_logs, log_event


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now_s = 0.0

    def read_s(self):
        """Return the set time."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock, and restore the logs of the test run."""
    yield Clock()
    configure_logs("json", "INFO", stream=sys.stderr)


def decoded(text):
    """Return the lines as objects."""
    return [msgspec.json.decode(line) for line in text.splitlines()]


def test_volume_is_bounded_and_what_is_missing_is_counted(clock):
    """Guards against logs that grow with the load, and against a gap that nothing shows."""
    stream = io.StringIO()
    configure_logs("json", "INFO", stream=stream, now_s=clock.read_s, instance="i1")
    for number in range(MAX_LINES_PER_S + 25):
        log_event(RUN_ENDED, run=number)
    log_event(JOB_WAITING, job="a")
    clock.now_s = 1.5
    log_event(JOB_WAITING, job="b")
    lines = decoded(stream.getvalue())
    assert [line["event"] for line in lines].count(RUN_ENDED.number) == MAX_LINES_PER_S
    assert [line["job"] for line in lines if line["event"] == JOB_WAITING.number] == ["a", "b"]
    assert [line["left_out"] for line in lines if "left_out" in line] == [{RUN_ENDED.number: 25}]
    assert {line["instance"] for line in lines} == {"i1"}


def test_reader_that_stops_reading_does_not_stop_the_daemon(clock):
    """Guards against a daemon that waits for its log collector."""
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
    lines = decoded(received.decode())
    written = [line["run"] for line in lines if line["event"] == RUN_ENDED.number]
    assert 0 < len(written) < 4000
    left_out = sum(line.get("left_out", {}).get(RUN_ENDED.number, 0) for line in lines)
    assert len(written) + left_out == 4000
    assert lines[-1]["event"] == JOB_WAITING.number


def test_long_fields_are_shortened_and_the_line_stays_readable(clock):
    """Guards against a line that a pipe takes only in part."""
    stream = io.StringIO()
    configure_logs("json", "INFO", stream=stream, now_s=clock.read_s)
    log_event(JOB_WAITING, job="a", workers=[f"worker-{n}" for n in range(2000)])
    (line,) = decoded(stream.getvalue())
    assert len(stream.getvalue()) <= MAX_LINE_BYTES
    assert line["job"] == "a"
    assert line["workers"].startswith('["worker-0"')
