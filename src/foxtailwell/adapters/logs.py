"""Structured logs by loguru: JSON lines, or a readable form for people.

The volume is bounded for each kind of event, and a line that would have to wait for its reader is
left out. The next line names the events of which lines are missing, with their numbers.
"""

from __future__ import annotations

import select
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any, Literal, TextIO

import msgspec
from loguru import logger

from foxtailwell.adapters.events import Event

__all__ = ["MAX_LINES_PER_S", "configure_logs", "log_event"]

MAX_LINES_PER_S = 300
"""Lines of one event in one second; 200 task starts a second are planned for two years ahead."""

WINDOW_S = 1.0
"""Span over which lines are counted."""

MAX_LINE_BYTES = 4096
"""Longest line: a pipe that polls as writable takes a page without making its writer wait."""

TEXT_FORM = "{time:HH:mm:ss.SSS} {level: <7} {message} {extra}"


def configure_logs(
    form: Literal["json", "text"],
    level: str,
    *,
    stream: TextIO | None = None,
    now_s: Callable[[], float] = time.monotonic,
    **context: str,
) -> None:
    """Send logs to a stream.

    Args:
        form: `json` for one object a line, `text` for people.
        level: Lowest level that is written.
        stream: Where to write; standard error unless it is given.
        now_s: Clock for the bound on the volume.
        **context: Fields on every line, such as the instance.
    """
    logger.remove()
    logger.configure(extra=context)
    render = _json_line if form == "json" else _text_line
    sink = _BoundedSink(stream or sys.stderr, render, now_s)
    logger.add(sink.write, level=level, format=TEXT_FORM)


def _text_line(message: Any, left_out: Mapping[str, int]) -> str:
    return f"{message.rstrip()} left_out={dict(left_out)}\n" if left_out else str(message)


def _json_line(message: Any, left_out: Mapping[str, int]) -> str:
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if left_out:
        line["left_out"] = left_out
    encoded = msgspec.json.encode(line, enc_hook=str)
    if len(encoded) >= MAX_LINE_BYTES:
        line = {name: _shortened(value) for name, value in line.items()}
        encoded = msgspec.json.encode(line, enc_hook=str)
    return encoded.decode() + "\n"


def _shortened(value: object) -> object:
    """Return a value that leaves room for the other fields of its line."""
    text = value if isinstance(value, str) else msgspec.json.encode(value, enc_hook=str).decode()
    limit = MAX_LINE_BYTES // 16
    return value if len(text) <= limit else f"{text[:limit]}... ({len(text)} characters)"


class _BoundedSink:
    """Writes lines within the bound and without waiting, and counts the others."""

    def __init__(
        self,
        stream: TextIO,
        render: Callable[[Any, Mapping[str, int]], str],
        now_s: Callable[[], float],
    ) -> None:
        self._stream = stream
        self._render = render
        self._now_s = now_s
        self._window_s = now_s()
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        self._poll = _writable_poll(stream)

    def write(self, message: Any) -> None:
        event = str(message.record["extra"].get("event", ""))
        now_s = self._now_s()
        if now_s - self._window_s >= WINDOW_S:
            self._window_s = now_s
            self._written.clear()
        count = self._written.get(event, 0)
        if count >= MAX_LINES_PER_S or not self._is_writable():
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return
        self._written[event] = count + 1
        left_out, self._left_out = self._left_out, {}
        self._stream.write(self._render(message, left_out))
        self._stream.flush()

    def _is_writable(self) -> bool:
        return self._poll is None or bool(self._poll.poll(0))


def _writable_poll(stream: TextIO) -> select.poll | None:
    """Return what tells whether the stream takes a line now; None for one in memory."""
    try:
        descriptor = stream.fileno()
    except OSError:
        return None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return poll


def log_event(event: Event, **fields: object) -> None:
    """Write one numbered event.

    Args:
        event: Entry of the catalogue.
        **fields: Values that matter, with their units as suffixes.
    """
    logger.bind(event=event.number, **fields).log(event.level, event.text)
