"""Logs why steps wait for placement, at a limited rate."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from foxtailwell.adapters.events import STEP_SERVABLE, STEP_UNSERVABLE, STEP_WAITS
from foxtailwell.adapters.logs import log_event
from foxtailwell.workflows import SchedulingUnit, UnitKey, Wait

__all__ = ["WaitLog"]

EXPLAINED_AFTER_S = 2.0
"""Wait after which a step is explained; most waits for capacity or local workers are shorter."""

EXPLANATION_INTERVAL_S = 2.0
"""Pause between two explanations of one step."""

MAX_EXPLANATIONS = 20
"""Limit of steps that one plan explains, because each one looks at all workers."""


class WaitLog:
    """Selects the waiting steps that a plan explains, and logs the explanations."""

    def __init__(self) -> None:
        self._waiting_since_s: dict[UnitKey, float] = {}
        self._explained_s: dict[UnitKey, float] = {}
        self._unservable: set[UnitKey] = set()

    @property
    def unservable_count(self) -> int:
        """Number of waiting steps that no set of the listed workers can serve."""
        return len(self._unservable)

    def select(self, units: Iterable[SchedulingUnit], now_s: float) -> frozenset[UnitKey]:
        """Return the keys of the units to explain if the next plan does not place them."""
        since_s = {unit.key: self._waiting_since_s.get(unit.key, now_s) for unit in units}
        self._waiting_since_s = since_s
        self._unservable &= since_s.keys()
        self._explained_s = {key: at for key, at in self._explained_s.items() if key in since_s}
        due = [
            key
            for key, since in since_s.items()
            if now_s - max(since, self._explained_s.get(key, 0.0)) >= EXPLANATION_INTERVAL_S
            and now_s - since >= EXPLAINED_AFTER_S
        ]
        due.sort(key=lambda key: self._explained_s.get(key, since_s[key]))
        return frozenset(due[:MAX_EXPLANATIONS])

    def record(self, placed: Collection[UnitKey], waits: Iterable[Wait], now_s: float) -> None:
        """Log the explanations of a plan.

        Args:
            placed: Keys of the units that the plan places; their wait begins anew.
            waits: Explanations from the plan.
            now_s: Local time.
        """
        for wait in waits:
            key = wait.unit.key
            log_event(
                STEP_WAITS,
                job=wait.unit.job_id,
                step=wait.unit.step_number,
                tasks=len(wait.unit.tasks),
                waited_s=round(now_s - self._waiting_since_s.get(key, now_s), 2),
                fitting=wait.fitting_tasks,
                possible=wait.possible_tasks,
                cpu_share=round(wait.pool_use.cpu_share, 2),
                memory_share=round(wait.pool_use.memory_share, 2),
                accelerator_share=round(wait.pool_use.accelerator_share, 2),
                obstacles={obstacle.value: count for obstacle, count in wait.obstacles.items()},
            )
            self._explained_s[key] = now_s
            self._update_unservable(wait)
        for key in placed:
            self._waiting_since_s.pop(key, None)
            self._unservable.discard(key)

    def _update_unservable(self, wait: Wait) -> None:
        key = wait.unit.key
        if wait.is_unservable == (key in self._unservable):
            return
        if wait.is_unservable:
            self._unservable.add(key)
        else:
            self._unservable.remove(key)
        log_event(
            STEP_UNSERVABLE if wait.is_unservable else STEP_SERVABLE,
            job=wait.unit.job_id,
            step=wait.unit.step_number,
            queue=wait.unit.queue.name,
            tasks=len(wait.unit.tasks),
            is_gang=wait.unit.step.is_gang,
            possible=wait.possible_tasks,
            label=wait.unit.step.required_label,
        )
