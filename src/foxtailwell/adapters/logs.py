"""Structured logging with loguru, as JSON lines or as text.

The rate of lines is limited per event, and a line is dropped if writing it would block. The next
line that is written reports the dropped lines by event in `left_out`.
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
"""Maximum lines per event and second, above the 200 task starts per second planned for in two
years."""

RATE_WINDOW_S = 1.0
"""Window over which lines are counted for the rate limit."""

MAX_LINE_BYTES = 4096
"""Maximum length of a line: a pipe that polls as writable accepts one page without blocking."""

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {message} {extra}"


def configure_logs(
    form: Literal["json", "text"],
    level: str,
    *,
    stream: TextIO | None = None,
    now_s: Callable[[], float] = time.monotonic,
    **context: str,
) -> None:
    """Replace the log configuration of the process.

    Args:
        form: `json` for one object per line, `text` for a human-readable format.
        level: Minimum level that is written.
        stream: Output stream; standard error by default.
        now_s: Monotonic clock in seconds, used for the rate limit.
        **context: Fields added to every line, such as the instance.
    """
    logger.remove()
    logger.configure(extra=context)
    render = _json_line if form == "json" else _text_line
    sink = _RateLimitedSink(stream or sys.stderr, render, now_s)
    logger.add(sink.write, level=level, format=TEXT_FORMAT)


def _text_line(message: Any, dropped: Mapping[str, int]) -> str:
    return f"{message.rstrip()} left_out={dict(dropped)}\n" if dropped else str(message)


def _json_line(message: Any, dropped: Mapping[str, int]) -> str:
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if dropped:
        line["left_out"] = dropped
    encoded = msgspec.json.encode(line, enc_hook=str)
    if len(encoded) >= MAX_LINE_BYTES:
        line = {name: _truncated(value) for name, value in line.items()}
        encoded = msgspec.json.encode(line, enc_hook=str)
    return encoded.decode() + "\n"


def _truncated(value: object) -> object:
    """Truncate a long value, so that the other fields fit into the line."""
    text = value if isinstance(value, str) else msgspec.json.encode(value, enc_hook=str).decode()
    limit = MAX_LINE_BYTES // 16
    return value if len(text) <= limit else f"{text[:limit]}... ({len(text)} characters)"


class _RateLimitedSink:
    """Writes lines within the rate limit and without blocking, and counts dropped lines."""

    def __init__(
        self,
        stream: TextIO,
        render: Callable[[Any, Mapping[str, int]], str],
        now_s: Callable[[], float],
    ) -> None:
        self._stream = stream
        self._render = render
        self._now_s = now_s
        self._window_start_s = now_s()
        self._written: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        self._poll = _writable_poll(stream)

    def write(self, message: Any) -> None:
        event = str(message.record["extra"].get("event", ""))
        now_s = self._now_s()
        if now_s - self._window_start_s >= RATE_WINDOW_S:
            self._window_start_s = now_s
            self._written.clear()
        count = self._written.get(event, 0)
        if count >= MAX_LINES_PER_S or not self._is_writable():
            self._dropped[event] = self._dropped.get(event, 0) + 1
            return
        self._written[event] = count + 1
        dropped, self._dropped = self._dropped, {}
        self._stream.write(self._render(message, dropped))
        self._stream.flush()

    def _is_writable(self) -> bool:
        return self._poll is None or bool(self._poll.poll(0))


def _writable_poll(stream: TextIO) -> select.poll | None:
    """Return a poll object to check for writability, or None if the stream has no descriptor."""
    try:
        descriptor = stream.fileno()
    except OSError:
        return None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return poll


def log_event(event: Event, **fields: object) -> None:
    """Log an event from the catalogue at its level.

    Args:
        event: Event to log.
        **fields: Further fields of the line; names carry their unit as a suffix.
    """
    logger.bind(event=event.number, **fields).log(event.level, event.text)
