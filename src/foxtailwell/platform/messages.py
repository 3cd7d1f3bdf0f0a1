"""Formats of what clients and operators write: submissions, configuration, maintenance waves.

The private structures have the field names of the messages. Unknown fields are ignored.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.adapters.ranges import Integer, NaturalNumber, Seconds
from foxtailwell.workflows import (
    AdviceRules,
    ClientAccount,
    ClusterConfiguration,
    MaintenanceWave,
    Queue,
    Resources,
    Route,
    Step,
    Submission,
    find_submission_fault,
)

__all__ = [
    "CONFIGURATION_KEY",
    "WAVES_PREFIX",
    "WAVE_STATUS_PREFIX",
    "WORKERS_PREFIX",
    "ZONES_OUT_PREFIX",
    "MessageError",
    "api_key_from_header",
    "decode_configuration",
    "decode_submission",
    "decode_wave",
    "encode_wave_status",
]

CONFIGURATION_KEY = "op/config"
ZONES_OUT_PREFIX = "op/evacuate/"
WORKERS_PREFIX = "servers/"
WAVES_PREFIX = "op/wave/"
WAVE_STATUS_PREFIX = "status/wave/"

MAX_STRETCH = 1e6
"""Highest ratio of a target time to the length of the job."""

_AUTHORIZATION_SCHEME = "Token "


class MessageError(Exception):
    """A message is invalid; the text names the fault."""


class _Guaranteed(msgspec.Struct):
    gpu: NaturalNumber = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed = msgspec.field(default_factory=_Guaranteed)


class _Recommendation(msgspec.Struct):
    valid_for_ms: NaturalNumber = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str
    priority: Integer = 1
    max_attempts: NaturalNumber = 3
    stretch: Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)] = 3.0
    target_latency_ms: NaturalNumber = 1000
    no_auth: bool = False
    recommendation: _Recommendation | None = None


class _Configuration(msgspec.Struct):
    version: Integer
    routes: list[_Route]
    tenants: list[_Tenant] = []


class _Wave(msgspec.Struct):
    wave: NaturalNumber
    machines: list[str]
    within_s: Seconds
    max_count: Integer


class _Phase(msgspec.Struct):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    perpetual: bool = False
    max_unavailable: int | None = None
    target_ms: int = 0
    fills: bool = False


class _Job(msgspec.Struct):
    spec: str
    phases: list[_Phase]
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0


def api_key_from_header(header: str) -> str:
    """Return the API key in an `Authorization` header; empty if the header has none."""
    return (
        header[len(_AUTHORIZATION_SCHEME) :].strip()
        if header.startswith(_AUTHORIZATION_SCHEME)
        else ""
    )


def decode_configuration(value: bytes) -> ClusterConfiguration:
    """Decode the operators' configuration.

    Raises:
        MessageError: The value is not a valid configuration.
    """
    try:
        wire = msgspec.json.decode(value, type=_Configuration)
    except MALFORMED as error:
        raise MessageError(f"configuration: {error}") from error
    by_host: dict[str, list[Route]] = {}
    for route in wire.routes:
        decoded = Route(route.host.lower(), route.prefix, _queue(route), route.no_auth)
        by_host.setdefault(decoded.host, []).append(decoded)
    accounts = [
        ClientAccount(tenant.name, frozenset(tenant.api_keys), tenant.guaranteed.gpu)
        for tenant in wire.tenants
    ]
    return ClusterConfiguration(
        version=wire.version,
        routes_by_host={host: tuple(routes) for host, routes in by_host.items()},
        accounts_by_key={key: account for account in accounts for key in account.keys},
        guaranteed_accelerators={a.name: a.guaranteed_accelerators for a in accounts},
        queues={r.queue.name: r.queue for routes in by_host.values() for r in routes},
    )


def _queue(route: _Route) -> Queue:
    advice = route.recommendation
    return Queue(
        name=route.name,
        pool=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_ms=route.target_latency_ms,
        advice=AdviceRules(advice.valid_for_ms / 1000) if advice else None,
    )


def decode_wave(value: bytes) -> MaintenanceWave | None:
    """Decode a maintenance wave; returns None if it is invalid, so that the wave is ignored."""
    try:
        wave = msgspec.json.decode(value, type=_Wave)
    except MALFORMED:
        return None
    return MaintenanceWave(wave.wave, tuple(wave.machines), wave.within_s, max(1, wave.max_count))


def encode_wave_status(number: int, is_complete: bool) -> bytes:
    """Encode the state of a maintenance wave in the format that operators read."""
    return msgspec.json.encode({"wave": number, "state": "completed" if is_complete else "running"})


def decode_submission(
    job_id: str, queue: str, account: str, now_unix_ms: int, body: bytes
) -> Submission:
    """Decode a job that a client submits.

    Args:
        job_id: Identifier from the path.
        queue: Name of the queue of the route.
        account: Name of the client account; empty on an open route without a known key.
        now_unix_ms: Time of the submission.
        body: Request body.

    Raises:
        MessageError: The body is not a valid job; for example, it has no steps or too many tasks.
    """
    try:
        wire = msgspec.json.decode(body, type=_Job)
    except MALFORMED as error:
        raise MessageError(f"job: {error}") from error
    submission = Submission(
        job_id,
        queue,
        account,
        wire.spec,
        tuple(_step(phase) for phase in wire.phases),
        wire.start_at_ms,
        wire.interval_ms,
        wire.repeat_count,
        now_unix_ms,
    )
    fault = find_submission_fault(submission)
    if fault:
        raise MessageError(f"job: {fault}")
    return submission


def _step(phase: _Phase) -> Step:
    # Filling tasks run on processors that others leave idle, so they request none.
    cpu_millicores = 0 if phase.fills else phase.cpu
    return Step(
        count=phase.count,
        request=Resources(cpu_millicores, phase.mem_mb, phase.gpu),
        estimate_ms=phase.estimate_ms,
        after=tuple(phase.after),
        is_gang=phase.gang,
        is_same_rack=phase.same_rack,
        is_checkpointing=phase.checkpointing,
        is_lasting=phase.perpetual,
        max_unavailable=phase.max_unavailable,
        is_serving=phase.target_ms > 0,
        is_filling=phase.fills,
        required_label=phase.required_label,
        data_rack=phase.data_rack,
        max_per_worker=phase.max_per_server,
    )
