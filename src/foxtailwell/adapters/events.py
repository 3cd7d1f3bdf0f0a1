"""Numbered log events. `docs/events.md` lists them; a test compares both."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

__all__ = ["CATALOGUE", "Event"]


@dataclass(frozen=True, slots=True)
class Event:
    """A kind of log line."""

    number: str
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"]
    text: str


CATALOGUE: dict[str, Event] = {}


def _event(number: str, level: Literal["DEBUG", "INFO", "WARNING", "ERROR"], text: str) -> Event:
    event = Event(number, level, text)
    if number in CATALOGUE:
        raise ValueError(f"event {number} is defined twice")
    CATALOGUE[number] = event
    return event


# 1000-1099: daemons
DAEMON_STARTED = _event("FW1001", "INFO", "daemon started")
DAEMON_STOPPING = _event("FW1002", "INFO", "graceful shutdown began")
DAEMON_STOPPED = _event("FW1003", "INFO", "daemon stopped")

# 1100-1199: store
STORE_UNAVAILABLE = _event("FW1101", "WARNING", "the store does not respond")
STORE_AVAILABLE = _event("FW1102", "INFO", "the store responds again")
DOCUMENT_REFUSED = _event("FW1103", "ERROR", "a document cannot be read and was left as it is")
