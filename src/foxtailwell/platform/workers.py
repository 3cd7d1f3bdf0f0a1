"""Client of a worker, and decoder of the entry with which a worker registers in the store."""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv4Address

import msgspec

from foxtailwell.adapters.addresses import split_address
from foxtailwell.adapters.http_connection import CallError, CallReply, HttpEndpoint
from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.adapters.ranges import Integer, NaturalNumber
from foxtailwell.workflows import (
    CommandOutcome,
    EndedRun,
    EndKind,
    ListedRun,
    Resources,
    StartCommand,
    TaskId,
    WorkerCallError,
    WorkerCalls,
    WorkerEntry,
    WorkerListing,
)

__all__ = ["connect_worker", "decode_worker_entry"]

COMMAND_TIMEOUT_S = 0.25
"""Longest wait for the response to a command, which is then repeated.

A worker takes up to 30 ms across zones, and TCP sends a lost segment again after 0.2 s.
"""

RENEWAL_MARGIN_S = 0.4
"""Added to the wait of a lease renewal to get the timeout of its call."""

MAX_LISTED_ENDS = 500
"""Ends that a worker lists at once; it lists the others once these are acknowledged."""

_IDENTIFIER_PATTERN = re.compile(r"[!-~]{1,128}")
"""Printable ASCII, because the identifier is sent in a header."""

MAX_ZONE_BYTES = 128
"""Starts name the zone in a key of the store, whose keys are limited to 200 bytes."""

_OUTCOMES_BY_REASON = {
    "fence": CommandOutcome.FENCED,
    "old": CommandOutcome.STALE_RUN,
    "late": CommandOutcome.DEADLINE_PASSED,
    "room": CommandOutcome.NO_CAPACITY,
    "ticket": CommandOutcome.NO_TICKET,
}


class _Capacity(msgspec.Struct):
    cpu: NaturalNumber = 0
    mem_mb: NaturalNumber = 0
    gpu: NaturalNumber = 0


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    born: NaturalNumber
    clock_ms: Integer = 0
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    # The first label is the kind of the worker, the second its rack.
    labels: list[str] = []
    remaining_ms: Integer | None = None


class _Response(msgspec.Struct):
    clock_ms: Integer | None = None
    reason: str = ""


class _Running(msgspec.Struct, array_like=True):
    task: str
    run: NaturalNumber
    checkpoint: str
    percent: float


class _Listing(msgspec.Struct):
    clock_ms: Integer
    born: NaturalNumber
    running: list[_Running] = []
    ended: list[tuple[NaturalNumber, str, NaturalNumber, str, str]] = []


def decode_worker_entry(worker: str, value: bytes) -> WorkerEntry | None:
    """Decode the entry with which a worker registers.

    Args:
        worker: Identifier of the worker, from the key of the entry.
        value: JSON from the store.

    Returns:
        The entry; None if the value or the identifier is not valid, as other programs may write
        such keys.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except MALFORMED:
        return None
    is_usable = (
        entry.state in ("ready", "draining")
        and _IDENTIFIER_PATTERN.fullmatch(worker)
        and _is_address(entry.address)
        and len(entry.zone.encode()) <= MAX_ZONE_BYTES
    )
    if not is_usable:
        return None
    return WorkerEntry(
        id=worker,
        pool=entry.service,
        address=entry.address,
        zone=entry.zone,
        rack=entry.labels[1] if len(entry.labels) > 1 else "",
        labels=frozenset(entry.labels),
        capacity=Resources(entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu),
        is_ready=entry.state == "ready",
        boot_unix_ms=entry.born,
        clock_ms=entry.clock_ms,
        remaining_ms=entry.remaining_ms,
    )


def _is_address(text: str) -> bool:
    parts = split_address(text)
    try:
        return parts is not None and bool(IPv4Address(parts[0]))
    except AddressValueError:
        return False


def connect_worker(worker: str, address: str) -> WorkerCalls:
    """Return a client of one worker.

    Args:
        worker: Identifier of the worker; another worker at the address rejects the calls.
        address: `IP:PORT` of the worker.
    """
    return _WorkerClient(worker, HttpEndpoint(address))


class _WorkerClient:
    def __init__(self, worker: str, endpoint: HttpEndpoint) -> None:
        self._endpoint = endpoint
        self._headers = {"X-Expect-Instance": worker}

    async def start(
        self, command: StartCommand, until_clock_ms: int, token: int
    ) -> tuple[CommandOutcome, int | None]:
        body: dict[str, object] = {
            "task": str(command.task),
            "run": command.run,
            "spec": command.payload,
            "deadline_ms": until_clock_ms,
            "fencing_token": token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        return _outcome(await self._call("/-/run-start", body, COMMAND_TIMEOUT_S))

    async def stop(self, task: TaskId, run: int, token: int) -> CommandOutcome:
        body = {"task": str(task), "run": run, "fencing_token": token}
        return _outcome(await self._call("/-/run-stop", body, COMMAND_TIMEOUT_S))[0]

    async def renew_lease(
        self, until_clock_ms: int | None, token: int, acknowledged: int, wait_ms: int
    ) -> WorkerListing | CommandOutcome:
        body: dict[str, object] = {"fencing_token": token, "acked": acknowledged}
        if until_clock_ms is not None:
            body["deadline_ms"] = until_clock_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        timeout_s = wait_ms / 1000 + RENEWAL_MARGIN_S if wait_ms else COMMAND_TIMEOUT_S
        reply = await self._call("/-/hold", body, timeout_s)
        if reply.status != 200:
            return _outcome(reply)[0]
        return _decode_listing(reply.body)

    def close(self) -> None:
        self._endpoint.close()

    async def _call(self, path: str, body: dict[str, object], timeout_s: float) -> CallReply:
        try:
            return await self._endpoint.call(
                "POST",
                path,
                msgspec.json.encode(body),
                headers=self._headers,
                timeout_s=timeout_s,
            )
        except CallError as error:
            raise WorkerCallError(
                error.reason, may_have_been_sent=error.may_have_been_sent
            ) from error


def _outcome(reply: CallReply) -> tuple[CommandOutcome, int | None]:
    if reply.status == 421:
        return CommandOutcome.OTHER_INCARNATION, None
    if reply.status in (429, 503):
        return CommandOutcome.UNHEALTHY, None
    if reply.status == 400:
        return CommandOutcome.INVALID, None
    try:
        response = msgspec.json.decode(reply.body, type=_Response) if reply.body else _Response()
    except MALFORMED as error:
        raise WorkerCallError(f"response cannot be decoded: {error}") from error
    if reply.status == 200:
        return CommandOutcome.DONE, response.clock_ms
    if reply.status == 409 and response.reason in _OUTCOMES_BY_REASON:
        return _OUTCOMES_BY_REASON[response.reason], response.clock_ms
    raise WorkerCallError(f"status {reply.status} {response.reason}")


def _decode_listing(body: bytes) -> WorkerListing:
    try:
        listing = msgspec.json.decode(body, type=_Listing)
        running = tuple(
            ListedRun(row.task, row.run, row.checkpoint, _percent(row.percent))
            for row in listing.running
        )
        ended = tuple(
            EndedRun(number, task, run, EndKind(how), saved)
            for number, task, run, how, saved in listing.ended
        )
    except (*MALFORMED, ValueError) as error:
        raise WorkerCallError(f"listing cannot be decoded: {error}") from error
    is_complete = len(ended) < MAX_LISTED_ENDS
    return WorkerListing(listing.clock_ms, listing.born, running, ended, is_complete)


def _percent(progress: float) -> int:
    return int(min(100.0, max(0.0, progress)))
