"""What operators want, with evidence of how fresh it is."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio

from foxtailwell.adapters.events import (
    CONFIGURATION_OLDER,
    CONFIGURATION_UNREADABLE,
    OPERATOR_VIEW_APPLIED,
    OPERATOR_VIEW_STALE,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.controller import ChangeBatch, OperatorView, follow_prefix
from foxtailwell.workflows import (
    Change,
    ClusterConfiguration,
    Committed,
    Item,
    KeyValueStore,
    StoreCallError,
)

__all__ = ["OperatorKeys", "OperatorWatch"]

ZONES_WAIT_MS = 4000
"""Wait of the watch on zones; a start is refused by its own condition before the watch tells."""

CONFIRM_PAUSE_S = 0.7
"""Pause between two checks of the configuration; it must be in force within 2 s."""

RETRY_PAUSE_S = 0.25
"""Pause after a check without an answer."""

EVIDENCE_MARGIN_S = 0.5
"""Time kept for an answer between the check of the evidence and its use."""


@dataclass(frozen=True, slots=True)
class OperatorKeys:
    """Where operators write, and how to read it."""

    configuration_key: str
    zones_out_prefix: str
    decode_configuration: Callable[[bytes], ClusterConfiguration]
    decode_error: type[Exception]


class OperatorWatch:
    """The newest configuration and the zones out of service.

    Args:
        store: The platform's store.
        keys: Where operators write.
        now_s: Local clock that counts suspended time.
        evidence_limit_s: Age at which the configuration counts as unproven.
        on_change: Called after each change.
    """

    def __init__(
        self,
        store: KeyValueStore,
        keys: OperatorKeys,
        now_s: Callable[[], float],
        evidence_limit_s: float,
    ) -> None:
        self._store = store
        self._keys = keys
        self._now_s = now_s
        self.set_evidence_limit(evidence_limit_s)
        self._configuration: ClusterConfiguration | None = None
        self._revision = 0
        self._zone_revisions: dict[str, int] = {}
        self._evidence_s = float("-inf")
        self._confirming = anyio.Lock()
        self._is_store_away = False
        self._recheck = anyio.Event()
        self.on_change: Callable[[], None] = lambda: None

    def set_evidence_limit(self, limit_s: float) -> None:
        """Set the age at which the configuration counts as unproven."""
        self._limit_s = limit_s - EVIDENCE_MARGIN_S

    @property
    def configuration(self) -> ClusterConfiguration | None:
        """The newest configuration; None before the first one."""
        return self._configuration

    @property
    def is_proven(self) -> bool:
        """Whether a read sent recently enough confirmed the configuration."""
        return self._now_s() - self._evidence_s < self._limit_s

    @property
    def evidence_age_s(self) -> float:
        """Time since the read that last confirmed the configuration was sent."""
        return self._now_s() - self._evidence_s

    @property
    def is_store_away(self) -> bool:
        """Whether the last call went unanswered; a request had better not be sent now."""
        return self._is_store_away

    def suspect_store(self) -> None:
        """Check the store at once, after a request of this instance went unanswered."""
        self._is_store_away = True
        self._recheck.set()

    def guards(self) -> dict[str, int]:
        """Return the store condition that proves the configuration."""
        return {self._keys.configuration_key: self._revision}

    def view(self) -> OperatorView | None:
        """Return what operators want, for the controller."""
        if self._configuration is None:
            return None
        return OperatorView(
            self._configuration, frozenset(self._zone_revisions), self._start_guards, self._learn
        )

    def _learn(self, items: Mapping[str, Item]) -> None:
        for item in items.values():
            self._apply(Change(item.key, item.value, item.revision))

    def _start_guards(self, zones: frozenset[str]) -> Mapping[str, int]:
        return self.guards() | {self._keys.zones_out_prefix + zone: 0 for zone in zones}

    async def confirm(self, newer_than_s: float) -> bool:
        """Read the configuration unless a read sent after the given time confirmed it.

        Args:
            newer_than_s: Local time.

        Returns:
            Whether such evidence exists now.
        """
        if self._evidence_s >= newer_than_s:
            return True
        async with self._confirming:
            if self._evidence_s >= newer_than_s:
                return True
            sent_s = self._now_s()
            try:
                await self._check()
            except StoreCallError as failure:
                log_event(
                    OPERATOR_VIEW_STALE,
                    reason=failure.reason,
                    evidence_age_s=round(min(self.evidence_age_s, 9999), 2),
                )
                self._is_store_away = True
                return False
            self._is_store_away = False
            self._evidence_s = max(self._evidence_s, sent_s)
            return True

    async def _check(self) -> None:
        """Compare revisions in the store: the value comes only when it has changed."""
        if not self._revision:
            item = await self._store.get(self._keys.configuration_key)
        else:
            answer = await self._store.transact(self.guards())
            if isinstance(answer, Committed):
                return
            item = answer.items.get(self._keys.configuration_key)
        if item is not None:
            self._apply(Change(item.key, item.value, item.revision))

    async def run(self) -> None:
        """Follow the operators' keys and keep the evidence fresh."""
        async with anyio.create_task_group() as group:
            group.start_soon(
                follow_prefix,
                self._store,
                self._keys.zones_out_prefix,
                None,
                ZONES_WAIT_MS,
                0.0,
                self._on_changes,
            )
            while True:
                newest_s = self._now_s() - (0.0 if self._is_store_away else CONFIRM_PAUSE_S)
                await self.confirm(newest_s)
                self._recheck = anyio.Event()
                with anyio.move_on_after(RETRY_PAUSE_S if self._is_store_away else CONFIRM_PAUSE_S):
                    await self._recheck.wait()

    async def _on_changes(self, batch: ChangeBatch) -> None:
        if batch.is_snapshot:
            present = {change.key for change in batch.changes}
            gone = [
                z for z in self._zone_revisions if self._keys.zones_out_prefix + z not in present
            ]
            for zone in gone:
                del self._zone_revisions[zone]
        for change in batch.changes:
            self._apply(change)

    def _apply(self, change: Change) -> None:
        if change.key.startswith(self._keys.zones_out_prefix):
            zone = change.key[len(self._keys.zones_out_prefix) :]
            if change.value is None:
                self._zone_revisions.pop(zone, None)
            else:
                self._zone_revisions[zone] = change.revision
            log_event(OPERATOR_VIEW_APPLIED, zones_out=sorted(self._zone_revisions))
            self.on_change()
        elif change.key == self._keys.configuration_key and change.value is not None:
            self._apply_configuration(change.value, change.revision)

    def _apply_configuration(self, value: bytes, revision: int) -> None:
        if revision <= self._revision:
            return
        try:
            configuration = self._keys.decode_configuration(value)
        except self._keys.decode_error as error:
            log_event(CONFIGURATION_UNREADABLE, revision=revision, reason=str(error))
            return
        if self._configuration and configuration.version < self._configuration.version:
            log_event(CONFIGURATION_OLDER, revision=revision, version=configuration.version)
            return
        self._configuration = configuration
        self._revision = revision
        log_event(OPERATOR_VIEW_APPLIED, version=configuration.version, revision=revision)
        self.on_change()
