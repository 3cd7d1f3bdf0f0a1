"""Daemon of an instance: background tasks, HTTP servers, reload and graceful shutdown."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, fields
from functools import partial
from typing import Any

import anyio
from anyio.abc import TaskGroup

from foxtailwell.adapters.events import (
    DAEMON_STARTED,
    DAEMON_STOPPED,
    DAEMON_STOPPING,
    SETTINGS_REFUSED,
    SETTINGS_RELOADED,
    TASK_FAILED,
)
from foxtailwell.adapters.http_server import serve_http
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.work_metrics import WorkMetrics, render_rows
from foxtailwell.controller import FleetAccess, Intake, Leadership, LeadershipSettings
from foxtailwell.core.errors import ValidationError
from foxtailwell.instance._clock import WallClock, boot_time_s
from foxtailwell.instance._jobs_api import RETRY_AFTER_S, JobsApi, SubmissionDecoder, read_body
from foxtailwell.instance._operators import OperatorKeys, OperatorWatch
from foxtailwell.instance._settings import InstanceSettings
from foxtailwell.workflows import KeyValueStore

__all__ = ["PlatformAdapter", "run_instance"]

UNREADY_PERIOD_S = 2.5
"""Time after SIGTERM in which new requests are still accepted.

The load balancer sends requests until two readiness probes have failed.
"""

REQUEST_GRACE_S = 2.6
"""Time for requests in progress after the servers stop accepting connections.

A submission sends at most two calls to the store, which time out after 1.2 s each.
"""

RESPONSE_GRACE_S = 0.2
"""Time in which the servers send the responses of requests that exceed `REQUEST_GRACE_S`."""

RESTART_DELAY_S = 0.5
"""Delay before a failed background task is restarted."""

RELOADABLE_SETTINGS = frozenset({"max_hold_ms", "revocation_ms", "status_s"})
"""Settings that a reload applies without a restart.

A controller in office applies its settings from its next term on.
"""


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Services, decoders and metrics with which an adapter connects an instance to a platform.

    Attributes:
        metrics: Metrics of the adapter; the instance adds its own.
        decode_error: Exception that `decode_submission` raises for an invalid submission.
        api_key_from_header: Returns the API key in the value of an `Authorization` header.
        load_settings: Reloads the settings; raises `ValidationError`.
    """

    metrics: WorkMetrics
    store: KeyValueStore
    fleet: FleetAccess
    operator_keys: OperatorKeys
    decode_submission: SubmissionDecoder
    decode_error: type[Exception]
    api_key_from_header: Callable[[str], str]
    load_settings: Callable[[], InstanceSettings]


async def run_instance(settings: InstanceSettings, platform: PlatformAdapter) -> None:
    """Serve clients and, while elected, act as the controller until SIGTERM or SIGINT."""
    await _Instance(settings, platform).run()


class _Instance:
    def __init__(self, settings: InstanceSettings, platform: PlatformAdapter) -> None:
        self._settings = settings
        self._platform = platform
        self._wall_clock = WallClock()
        self._metrics = platform.metrics
        self._operators = OperatorWatch(
            platform.store,
            platform.operator_keys,
            boot_time_s,
            settings.revocation_ms / 1000,
        )
        self._api = JobsApi(
            Intake(platform.store, settings.max_value_bytes),
            self._operators,
            platform.decode_submission,
            platform.decode_error,
            boot_time_s,
            self._wall_clock.now_unix_ms,
            self._metrics,
        )
        self._leadership = Leadership(
            platform.store,
            platform.fleet,
            self._operators.view,
            _leadership_settings(settings),
            boot_time_s,
            self._wall_clock.now_unix_ms,
            self._metrics,
        )
        self._operators.on_change = self._leadership.wake
        self._metrics.gauge("evidence_age_seconds", lambda: self._operators.evidence_age_s)
        self._metrics.gauge("controller_token", lambda: self._leadership.token)
        self._metrics.gauge("waiting_jobs", lambda: self._leadership.waiting_jobs)
        self._metrics.gauge("unservable_steps", lambda: self._leadership.unservable_steps)
        self._is_stopping = False
        self._stop_serving = anyio.Event()

    async def run(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            log_event(DAEMON_STARTED, zone=self._settings.zone)
            await self._serve(signals)
            log_event(DAEMON_STOPPED)

    async def _serve(self, signals: AsyncIterator[signal.Signals]) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._supervise, "clock", self._wall_clock.run)
            group.start_soon(self._supervise, "operators", self._operators.run)
            group.start_soon(self._supervise, "controller", self._leadership.run)
            async with anyio.create_task_group() as servers:
                await self._start_servers(servers)
                await self._wait_for_stop(signals)
            group.cancel_scope.cancel()

    async def _start_servers(self, group: TaskGroup) -> None:
        """Start the HTTP servers in a group, which ends once they have stopped serving."""
        grace_s = REQUEST_GRACE_S + RESPONSE_GRACE_S
        for app, address in (
            (self._readiness_app, self._settings.readiness_address),
            (self._client_app, self._settings.client_address),
            (self._metrics_app, self._settings.metrics_address),
        ):
            host, port = _split_address(address)
            await group.start(
                partial(serve_http, app, host, port, self._stop_serving, grace_s=grace_s)
            )

    async def _supervise(self, name: str, task: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await task()
                return
            except Exception as error:
                log_event(TASK_FAILED, task=name, reason=repr(error))
                await anyio.sleep(RESTART_DELAY_S)

    async def _wait_for_stop(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for number in signals:
            if number != signal.SIGHUP:
                break
            self._reload()
        log_event(DAEMON_STOPPING)
        self._is_stopping = True
        with anyio.CancelScope() as unready_period:
            unready_period.deadline = anyio.current_time() + UNREADY_PERIOD_S
            await self._leadership.stop(UNREADY_PERIOD_S)
            await anyio.sleep(UNREADY_PERIOD_S)
        self._api.finish_requests_by(anyio.current_time() + REQUEST_GRACE_S)
        self._stop_serving.set()

    def _reload(self) -> None:
        """Reload the settings and apply those that need no restart; an invalid file is ignored."""
        try:
            settings = self._platform.load_settings()
        except ValidationError as error:
            log_event(SETTINGS_REFUSED, reason=str(error))
            return
        changed = {
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        }
        self._operators.set_evidence_limit(settings.revocation_ms / 1000)
        self._leadership.change_settings(_leadership_settings(settings))
        self._settings = settings
        log_event(
            SETTINGS_RELOADED,
            applied=sorted(changed & RELOADABLE_SETTINGS),
            after_restart=sorted(changed - RELOADABLE_SETTINGS),
        )

    async def _readiness_app(self, scope: Any, receive: Any, send: Any) -> None:
        is_ready = (
            not self._is_stopping
            and self._operators.configuration is not None
            and self._operators.is_confirmed
            and not self._operators.is_store_unavailable
        )
        await _send_response(send, 200 if is_ready else 503, b"{}", ())

    async def _metrics_app(self, scope: Any, receive: Any, send: Any) -> None:
        content, headers = render_rows(self._metrics)
        pairs = [(k.lower().encode(), v.encode()) for k, v in headers.items()]
        await send({"type": "http.response.start", "status": 200, "headers": pairs})
        await send({"type": "http.response.body", "body": content})

    async def _client_app(self, scope: Any, receive: Any, send: Any) -> None:
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1")
        key = self._platform.api_key_from_header(
            headers.get(b"authorization", b"").decode("latin-1")
        )
        reply = await self._api.handle(
            scope["method"], host, scope["path"], key, partial(read_body, receive)
        )
        extra_headers: tuple[tuple[bytes, bytes], ...] = ()
        if reply.status in (429, 503):
            extra_headers = ((b"retry-after", str(RETRY_AFTER_S).encode()),)
        await _send_response(send, reply.status, reply.body, extra_headers)


def _leadership_settings(settings: InstanceSettings) -> LeadershipSettings:
    return LeadershipSettings(settings.name, settings.max_hold_ms, settings.status_s)


async def _send_response(
    send: Any, status: int, body: bytes, extra_headers: tuple[tuple[bytes, bytes], ...]
) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        *extra_headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
