"""Structured logs by loguru: JSON lines, or a readable form for people."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Literal, TextIO

import msgspec
from loguru import logger

from foxtailwell.adapters.events import Event

__all__ = ["configure_logs", "log_event"]


def configure_logs(
    form: Literal["json", "text"], level: str, *, stream: TextIO | None = None, **context: str
) -> None:
    """Send logs to a stream.

    Args:
        form: `json` for one object a line, `text` for people.
        level: Lowest level that is written.
        stream: Where to write; standard error unless it is given.
        **context: Fields on every line, such as the instance.
    """
    logger.remove()
    logger.configure(extra=context)
    if form == "json":
        logger.add(_json_sink(stream or sys.stderr), level=level)
    else:
        logger.add(
            stream or sys.stderr,
            level=level,
            format="{time:HH:mm:ss.SSS} {level: <7} {message} {extra}",
        )


def _json_sink(stream: TextIO) -> Callable[[object], None]:
    def write(message: object) -> None:
        record = message.record  # type: ignore[attr-defined]
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "message": record["message"],
            **record["extra"],
        }
        stream.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
        stream.flush()

    return write


def log_event(event: Event, **fields: object) -> None:
    """Write one numbered event.

    Args:
        event: Entry of the catalogue.
        **fields: Values that matter, with their units as suffixes.
    """
    logger.bind(event=event.number, **fields).log(event.level, event.text)
