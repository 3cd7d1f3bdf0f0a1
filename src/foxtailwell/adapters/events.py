"""Catalogue of numbered log events.

`docs/events.md` lists the same events with their remedies; a test compares both.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

__all__ = ["CATALOGUE", "Event"]


@dataclass(frozen=True, slots=True)
class Event:
    """Number, level and message shared by all log lines of one kind."""

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
DAEMON_STOPPING = _event("FW1002", "INFO", "graceful shutdown started")
DAEMON_STOPPED = _event("FW1003", "INFO", "daemon stopped")
DAEMON_DRAINING = _event("FW1004", "INFO", "waiting for requests in progress")

# 1100-1199: store
STORE_UNAVAILABLE = _event("FW1101", "WARNING", "the store does not respond")
STORE_AVAILABLE = _event("FW1102", "INFO", "the store responds again")
DOCUMENT_REFUSED = _event(
    "FW1103", "ERROR", "a stored document cannot be decoded; it is ignored and left unchanged"
)

# 1200-1299: configuration in force
CONFIGURATION_APPLIED = _event("FW1201", "INFO", "a configuration is in force")
CONFIGURATION_UNREADABLE = _event("FW1202", "ERROR", "a configuration cannot be decoded")
CONFIGURATION_OLDER = _event(
    "FW1203", "ERROR", "the store has an older configuration than the one in force"
)

# 1300-1399: instance list and peers
INSTANCE_LIST_UNAVAILABLE = _event("FW1301", "WARNING", "the instance list does not respond")
INSTANCE_LIST_AVAILABLE = _event("FW1302", "INFO", "the instance list responds again")
PEER_LISTENING = _event("FW1303", "INFO", "listening for peers")
PEER_REACHED = _event("FW1304", "INFO", "a peer responds")
PEER_LOST = _event("FW1305", "WARNING", "a peer does not respond")
PEER_FRAME_REFUSED = _event("FW1306", "WARNING", "a message from a peer was rejected")
PEER_MISMATCH = _event("FW1307", "WARNING", "another daemon responds at a peer's address")
PEER_CONNECTIONS_FULL = _event("FW1308", "WARNING", "too many peer connections")
CLAIM_QUERY_FAILED = _event("FW1309", "ERROR", "a claim query failed")
REQUEST_REFUSED_AS_SUSPECT = _event(
    "FW1310", "WARNING", "a request is refused for a while because minions break under it"
)
RESPONSE_BROKEN = _event("FW1311", "WARNING", "a streamed response broke off")
INSTANCE_REFUSED = _event("FW1312", "WARNING", "a record of the instance list cannot be used")

# 1400-1499: scheduler
ZONE_ACQUIRED = _event("FW1401", "INFO", "zone acquired")
ZONE_LOST = _event("FW1402", "WARNING", "zone lost")
ZONE_RELEASED = _event("FW1403", "INFO", "zone released")
GANG_STARTING = _event("FW1411", "INFO", "gang is starting")
GANG_RESUMED = _event("FW1412", "INFO", "gang of a previous scheduler adopted")
GANG_STOPPING = _event("FW1413", "INFO", "gang is stopping")
GANG_ENDED = _event("FW1414", "INFO", "job attempt ended")
START_REFUSED = _event("FW1415", "WARNING", "gang start abandoned before its preparation")
JOB_FAILED = _event("FW1416", "WARNING", "job terminated because it can never run")
WORKER_QUARANTINED = _event("FW1417", "WARNING", "worker quarantined")
WORKER_RETURNED = _event("FW1418", "INFO", "worker released from quarantine")
PLAN_FAILED = _event("FW1419", "ERROR", "planning failed; running gangs continue")
WORKER_RESTARTED = _event("FW1420", "WARNING", "a worker has restarted and lost its runs")

# 1500-1599: operators
CONFIGURATION_CHANGED = _event("FW1501", "INFO", "operator change stored")
CHANGE_REFUSED = _event("FW1502", "INFO", "operator change refused")
CHANGE_READ_BACK = _event(
    "FW1503", "WARNING", "the response to a change was lost; a read confirmed that it is stored"
)
AUDIT_NEWER = _event(
    "FW1504", "WARNING", "an audit document has newer changes than this configuration"
)

# 1600-1699: controller and jobs of steps and tasks
CONTROLLER_ELECTED = _event("FW1601", "INFO", "this instance is the controller")
CONTROLLER_ENDED = _event("FW1602", "INFO", "this instance is no longer the controller")
CONTROLLER_LOADED = _event("FW1603", "INFO", "all job records are loaded")
JOB_WAITING = _event("FW1604", "INFO", "a job waits for placement")
JOB_PLACED = _event("FW1605", "INFO", "tasks of a step are assigned to workers")
JOB_ENDED = _event("FW1606", "INFO", "a job has ended")
RUN_ENDED = _event("FW1607", "INFO", "a run has ended")
RUN_LOST = _event("FW1608", "WARNING", "a run was lost; its task is queued again")
TASK_RECLAIMED = _event("FW1609", "INFO", "a run is preempted for urgent work")
COMMIT_UNCONFIRMED = _event("FW1610", "WARNING", "a store transaction got no response")
STARTS_REJECTED = _event("FW1611", "INFO", "starts abandoned before any command was sent")
COMMAND_REFUSED = _event("FW1612", "WARNING", "a worker did not accept a start")
WORKER_UNRESPONSIVE = _event("FW1613", "WARNING", "a worker does not respond")
WORKER_REACHED = _event("FW1614", "INFO", "a worker responds again")
ENTRY_REFUSED = _event("FW1615", "WARNING", "a worker entry cannot be decoded and is ignored")
RECORD_UNREADABLE = _event("FW1616", "ERROR", "a stored record cannot be decoded")
WATCH_FAILED = _event("FW1617", "WARNING", "a watch ended and is reopened")
RUN_STALLED = _event("FW1618", "WARNING", "a run makes no progress and is moved")
ELECTION_CALL_FAILED = _event("FW1619", "WARNING", "an election call got no response")
RECORD_DELETION_DEFERRED = _event("FW1620", "INFO", "deletion of old records is deferred")
ADVICE_UNAVAILABLE = _event("FW1622", "WARNING", "no placement advice for a step")
WORKER_DRAINING = _event("FW1623", "INFO", "a worker drains and gets no further start")
WORKER_DELISTED = _event("FW1624", "INFO", "a worker is no longer listed")
WAVE_STARTED = _event("FW1625", "INFO", "a maintenance wave started")
MAINTENANCE_STARTED = _event("FW1626", "INFO", "a machine started maintenance or was removed")
MAINTENANCE_REFUSED = _event("FW1627", "WARNING", "the platform refused maintenance of a machine")
WAVE_COMPLETED = _event("FW1628", "INFO", "a maintenance wave is complete")
MACHINE_CALL_FAILED = _event("FW1629", "WARNING", "a maintenance call failed")
RUN_LEAVES_WORKER = _event("FW1630", "INFO", "a run is stopped before its worker leaves")
WORKER_CRASHED = _event("FW1631", "WARNING", "a worker has crashed")
TASK_GIVEN_UP = _event("FW1632", "WARNING", "a task is given up because workers crash under it")
STARTS_OUTDATED = _event("FW1633", "INFO", "starts abandoned because storing them took too long")
STEP_WAITS = _event("FW1634", "INFO", "a step cannot be placed yet")
TASK_UNREADABLE = _event("FW1621", "WARNING", "a worker reports a task with a malformed identifier")

ROWS_REFUSED = _event("FW1635", "WARNING", "rows of a list cannot be decoded and are left out")
VALUE_UNREADABLE = _event("FW1636", "ERROR", "a value of the store cannot be read")
ENTRY_LATE = _event("FW1637", "INFO", "a worker entry was written long before it appeared")
MACHINE_RELEASED = _event(
    "FW1640", "WARNING", "a machine cannot have its maintenance now and waits"
)
STEP_UNSERVABLE = _event("FW1641", "WARNING", "no set of the listed workers can serve a step")
STEP_SERVABLE = _event("FW1642", "INFO", "the listed workers can serve a step again")
RUN_NOT_STOPPING = _event("FW1643", "WARNING", "a worker does not stop a run; its lease may end")
LISTING_INCOMPLETE = _event("FW1644", "INFO", "a worker lists only a part of its ended runs")
RESERVATION_ENDED = _event("FW1650", "INFO", "a reservation for urgent work has ended")

# 1700-1799: instances
SUBMISSION_STORED = _event("FW1701", "INFO", "a job is stored")
SUBMISSION_REFUSED = _event("FW1702", "INFO", "a job was not accepted")
CANCELLATION_STORED = _event("FW1703", "INFO", "a cancellation is stored")
REQUEST_REFUSED = _event("FW1704", "INFO", "a request was refused")
OPERATOR_VIEW_APPLIED = _event("FW1705", "INFO", "a configuration or zone change is in force")
OPERATOR_VIEW_STALE = _event(
    "FW1706", "WARNING", "the configuration cannot be confirmed with the store"
)
SETTINGS_RELOADED = _event("FW1707", "INFO", "settings file reloaded")
SETTINGS_REFUSED = _event(
    "FW1709", "ERROR", "settings file is invalid; the previous settings stay in force"
)
TASK_FAILED = _event("FW1708", "ERROR", "a background task failed and is restarted")
