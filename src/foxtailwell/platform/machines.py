"""Client of the platform's machine interface: list machines and begin maintenance."""

from __future__ import annotations

from collections.abc import Sequence
from urllib.parse import quote

import msgspec

from foxtailwell.adapters.http_connection import CallError, CallReply, HttpEndpoint
from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.workflows import (
    Machine,
    MachineCallError,
    MachineCalls,
    MachineState,
    MaintenanceOutcome,
)

__all__ = ["open_machines"]

CALL_TIMEOUT_S = 1.5
"""Longest time without progress of a response; the interface may be slow."""

_OUTCOMES_BY_REASON = {
    "fence": MaintenanceOutcome.FENCED,
    "busy": MaintenanceOutcome.BUSY,
    "wave": MaintenanceOutcome.OTHER_WAVE,
}


class _ListedMachine(msgspec.Struct):
    machine: str
    state: MachineState
    # Identifier of the worker on the machine.
    id: str = ""


class _Page(msgspec.Struct):
    machines: list[_ListedMachine]
    next_token: str | None = None


class _Refusal(msgspec.Struct):
    reason: str = ""


def open_machines(address: str, holder: str) -> MachineCalls:
    """Return a client of the machine interface.

    Args:
        address: `IP:PORT` of the interface.
        holder: Name of this instance, which is sent with each maintenance command.
    """
    return _MachineClient(HttpEndpoint(address), holder)


class _MachineClient:
    def __init__(self, endpoint: HttpEndpoint, holder: str) -> None:
        self._endpoint = endpoint
        self._holder = holder

    async def list_machines(self) -> Sequence[Machine]:
        machines: list[Machine] = []
        path = "/-/machines"
        while True:
            reply = await self._call("GET", path)
            if reply.status != 200:
                raise MachineCallError(f"status {reply.status}")
            try:
                page = msgspec.json.decode(reply.body, type=_Page)
            except MALFORMED as error:
                raise MachineCallError(f"response cannot be decoded: {error}") from error
            machines += [Machine(m.machine, m.state, m.id) for m in page.machines]
            if not page.next_token:
                return machines
            path = f"/-/machines?page_token={quote(page.next_token, safe='')}"

    async def begin_maintenance(self, machine: str, wave: int, token: int) -> MaintenanceOutcome:
        body = msgspec.json.encode({"machine": machine, "wave": wave})
        headers = {"X-Duty-Holder": self._holder, "X-Fencing-Token": str(token)}
        reply = await self._call("POST", "/-/machine-upkeep", body, headers)
        if reply.status == 200:
            return MaintenanceOutcome.BEGUN
        if reply.status == 400:
            return MaintenanceOutcome.ABSENT
        if reply.status in (429, 503):
            return MaintenanceOutcome.LIMITED
        if reply.status == 409:
            try:
                reason = msgspec.json.decode(reply.body, type=_Refusal).reason
            except MALFORMED as error:
                raise MachineCallError(f"response cannot be decoded: {error}") from error
            if reason in _OUTCOMES_BY_REASON:
                return _OUTCOMES_BY_REASON[reason]
        raise MachineCallError(f"status {reply.status}")

    async def _call(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> CallReply:
        try:
            return await self._endpoint.call(
                method, path, body, headers=headers, timeout_s=CALL_TIMEOUT_S
            )
        except CallError as error:
            raise MachineCallError(error.reason) from error
