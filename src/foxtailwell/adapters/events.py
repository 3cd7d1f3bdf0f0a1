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
DAEMON_DRAINING = _event("FW1004", "INFO", "requests are still in progress")

# 1100-1199: store
STORE_UNAVAILABLE = _event("FW1101", "WARNING", "the store does not respond")
STORE_AVAILABLE = _event("FW1102", "INFO", "the store responds again")
DOCUMENT_REFUSED = _event("FW1103", "ERROR", "a document cannot be read and was left as it is")

# 1200-1299: configuration in force
CONFIGURATION_APPLIED = _event("FW1201", "INFO", "a configuration is in force")
CONFIGURATION_UNREADABLE = _event("FW1202", "ERROR", "a configuration cannot be read")
CONFIGURATION_OLDER = _event("FW1203", "ERROR", "the store holds an older configuration")

# 1300-1399: instance list and peers
INSTANCE_LIST_UNAVAILABLE = _event("FW1301", "WARNING", "the instance list does not respond")
INSTANCE_LIST_AVAILABLE = _event("FW1302", "INFO", "the instance list responds again")
PEER_LISTENING = _event("FW1303", "INFO", "listening for peers")
PEER_REACHED = _event("FW1304", "INFO", "a peer replies")
PEER_LOST = _event("FW1305", "WARNING", "a peer does not reply")
PEER_FRAME_REFUSED = _event("FW1306", "WARNING", "a message of a peer was refused")
PEER_MISMATCH = _event("FW1307", "WARNING", "another daemon replies at a peer's address")
PEER_CONNECTIONS_FULL = _event("FW1308", "WARNING", "too many connections of peers")
CLAIM_QUERY_FAILED = _event("FW1309", "ERROR", "a claim query could not be answered")

# 1400-1499: scheduler
ZONE_ACQUIRED = _event("FW1401", "INFO", "zone acquired")
ZONE_LOST = _event("FW1402", "WARNING", "zone given up")
ZONE_RELEASED = _event("FW1403", "INFO", "zone released")
GANG_STARTING = _event("FW1411", "INFO", "gang start began")
GANG_RESUMED = _event("FW1412", "INFO", "gang of a previous scheduler continued")
GANG_STOPPING = _event("FW1413", "INFO", "gang stops")
GANG_ENDED = _event("FW1414", "INFO", "attempt of a job ended")
START_REFUSED = _event("FW1415", "WARNING", "gang start given up before its preparation")
JOB_FAILED = _event("FW1416", "WARNING", "job ended because it can never run")
WORKER_QUARANTINED = _event("FW1417", "WARNING", "worker gets no work for a time")
WORKER_RETURNED = _event("FW1418", "INFO", "worker gets work again")
PLAN_FAILED = _event("FW1419", "ERROR", "planning failed, running gangs continue")

# 1500-1599: operators
CONFIGURATION_CHANGED = _event("FW1501", "INFO", "an operator's change is stored")
CHANGE_REFUSED = _event("FW1502", "INFO", "an operator's change was refused")
CHANGE_READ_BACK = _event("FW1503", "WARNING", "the response to a stored change was lost")
AUDIT_NEWER = _event("FW1504", "WARNING", "an audit document holds newer changes")

# 1600-1699: controller and workflow jobs
CONTROLLER_ELECTED = _event("FW1601", "INFO", "this instance is the controller")
CONTROLLER_ENDED = _event("FW1602", "INFO", "this instance is no longer the controller")
CONTROLLER_LOADED = _event("FW1603", "INFO", "the records of all jobs are read")
JOB_WAITING = _event("FW1604", "INFO", "a job waits for placement")
JOB_PLACED = _event("FW1605", "INFO", "tasks of a step are assigned to workers")
JOB_ENDED = _event("FW1606", "INFO", "a job has ended")
RUN_ENDED = _event("FW1607", "INFO", "a run has ended")
RUN_LOST = _event("FW1608", "WARNING", "a run is gone and its task waits again")
TASK_RECLAIMED = _event("FW1609", "INFO", "a run is stopped to make room for urgent work")
COMMIT_UNCONFIRMED = _event("FW1610", "WARNING", "a transaction was not answered")
STARTS_REJECTED = _event("FW1611", "INFO", "starts were given up before any order was sent")
COMMAND_REFUSED = _event("FW1612", "WARNING", "a worker did not accept a start")
WORKER_UNRESPONSIVE = _event("FW1613", "WARNING", "a worker does not answer")
WORKER_REACHED = _event("FW1614", "INFO", "a worker answers again")
ENTRY_REFUSED = _event("FW1615", "WARNING", "a worker entry cannot be read and is not used")
RECORD_UNREADABLE = _event("FW1616", "ERROR", "a stored record cannot be read")
WATCH_FAILED = _event("FW1617", "WARNING", "a watch ended and is opened again")
RUN_STALLED = _event("FW1618", "WARNING", "a run does not advance and is moved")
ELECTION_CALL_FAILED = _event("FW1619", "WARNING", "a call of the election was not answered")
RECORD_DELETION_DEFERRED = _event("FW1620", "INFO", "old records are not deleted yet")
ADVICE_UNAVAILABLE = _event("FW1622", "WARNING", "the advisor did not say where a step may run")
WORKER_DRAINING = _event("FW1623", "INFO", "a worker drains and gets no further start")
WORKER_DELISTED = _event("FW1624", "INFO", "a worker is no longer listed")
WAVE_STARTED = _event("FW1625", "INFO", "a wave of upkeep begins")
MAINTENANCE_STARTED = _event("FW1626", "INFO", "a machine has begun its upkeep or has left")
MAINTENANCE_REFUSED = _event("FW1627", "WARNING", "the platform refused an upkeep")
WAVE_COMPLETED = _event("FW1628", "INFO", "a wave of upkeep is complete")
MACHINE_CALL_FAILED = _event("FW1629", "WARNING", "a call about machines was not answered")
TASK_UNREADABLE = _event("FW1621", "WARNING", "a worker names a task that cannot be read")

# 1700-1799: instances
SUBMISSION_STORED = _event("FW1701", "INFO", "a job is stored")
SUBMISSION_REFUSED = _event("FW1702", "INFO", "a job was not accepted")
CANCELLATION_STORED = _event("FW1703", "INFO", "a cancellation is stored")
REQUEST_REFUSED = _event("FW1704", "INFO", "a request was refused")
OPERATOR_VIEW_APPLIED = _event("FW1705", "INFO", "a configuration or zone change is in force")
OPERATOR_VIEW_STALE = _event("FW1706", "WARNING", "the configuration cannot be confirmed")
SETTINGS_RELOADED = _event("FW1707", "INFO", "the settings file was read again")
SETTINGS_REFUSED = _event("FW1709", "ERROR", "the settings file cannot be read and is not used")
TASK_FAILED = _event("FW1708", "ERROR", "a task of the daemon failed and is started again")
