"""Runs the election on one instance and acts as the controller while elected."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from foxtailwell.adapters.events import CONTROLLER_ELECTED, CONTROLLER_ENDED
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller._controller import (
    Controller,
    ControllerLostError,
    FleetAccess,
    OperatorView,
)
from foxtailwell.controller._election import Election, Term
from foxtailwell.workflows import KeyValueStore, StoreCallError

__all__ = ["Leadership", "LeadershipSettings"]


@dataclass(frozen=True, slots=True)
class LeadershipSettings:
    """Settings of a term as the controller.

    Attributes:
        name: Name of this instance, which is stored with the controller key.
        lease_ms: Duration of the leases of runs at workers.
        retention_s: Time for which clients may query ended jobs.
    """

    name: str
    lease_ms: int
    retention_s: float


class Leadership:
    """Participation of this instance in the election of the controller.

    Args:
        store: The platform's store.
        fleet: Access to workers, the advisor and machines.
        operators: Returns the operators' current view; None while there is no configuration.
        settings: Settings of the next term.
        now_s: Local clock that also advances while the machine is suspended.
        now_unix_ms: Time of day.
        metrics: Counts terms, starts, ends of runs and jobs.
    """

    def __init__(
        self,
        store: KeyValueStore,
        fleet: FleetAccess,
        operators: Callable[[], OperatorView | None],
        settings: LeadershipSettings,
        now_s: Callable[[], float],
        now_unix_ms: Callable[[], int],
        metrics: WorkMetrics,
    ) -> None:
        self._metrics = metrics
        self._store = store
        self._fleet = fleet
        self._operators = operators
        self._settings = settings
        self._now_s = now_s
        self._now_unix_ms = now_unix_ms
        self._election = Election(store, settings.name, now_s)
        self._controller: Controller | None = None
        self._is_stopping = False
        self._stopped = anyio.Event()

    @property
    def is_controller(self) -> bool:
        """Whether this instance acts as the controller."""
        return self._controller is not None

    @property
    def token(self) -> int:
        """Fencing token of the current term; 0 while this instance is not the controller."""
        return self._controller.token if self._controller else 0

    @property
    def waiting_jobs(self) -> int:
        """Number of jobs without a started task; 0 while this instance is not the controller."""
        return self._controller.waiting_jobs if self._controller else 0

    @property
    def unservable_steps(self) -> int:
        """Number of waiting steps that no set of the listed workers can serve; 0 without a term."""
        return self._controller.unservable_steps if self._controller else 0

    def change_settings(self, settings: LeadershipSettings) -> None:
        """Use other settings from the next term on; a changed name takes no effect."""
        self._settings = settings

    def wake(self) -> None:
        """Make the controller plan again after a change of the operators' view."""
        if self._controller is not None:
            self._controller.wake()

    async def stop(self, limit_s: float) -> None:
        """Release the controller key and leave the election.

        Args:
            limit_s: Longest wait for the decisions already made to be stored and sent.
        """
        self._is_stopping = True
        if self._controller is None:
            return
        self._controller.stop()
        with anyio.move_on_after(limit_s):
            await self._stopped.wait()

    async def run(self) -> None:
        """Acquire the controller key and act as the controller, repeatedly until `stop`."""
        while not self._is_stopping:
            term = await self._election.acquire()
            if not self._is_stopping:
                log_event(CONTROLLER_ELECTED, token=term.token)
                reason = await self._serve_term(term)
                log_event(CONTROLLER_ENDED, token=term.token, reason=reason)
            await self._election.release(term)
        self._stopped.set()

    async def _serve_term(self, term: Term) -> str:
        controller = Controller(
            self._store,
            self._fleet,
            self._operators,
            token=term.token,
            lease_ms=self._settings.lease_ms,
            now_s=self._now_s,
            now_unix_ms=self._now_unix_ms,
            renewed_s=lambda: term.renewed_s,
            retention_s=self._settings.retention_s,
            metrics=self._metrics,
        )
        self._metrics.count("terms")
        self._controller = controller
        reason = "stopped"

        async def keep_lease() -> None:
            await self._election.keep_renewed(term)
            controller.stop()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(keep_lease)
                try:
                    await controller.run()
                    reason = "lease ended" if term.is_lost else reason
                finally:
                    group.cancel_scope.cancel()
        except* (ControllerLostError, StoreCallError) as errors:
            reason = str(_first_leaf(errors))
        finally:
            self._controller = None
        return reason


def _first_leaf(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
