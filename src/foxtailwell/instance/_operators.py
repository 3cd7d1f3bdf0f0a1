"""Follows the configuration and the zones out of service that operators write to the store.

The evidence for the configuration is the newest read that confirmed it. Its age counts from the
time at which that read was sent, because the configuration may have changed since.
"""

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

ZONES_WATCH_MS = 4000
"""Longest wait of one watch on the zones.

A late notification is harmless: the store conditions of a start reject a zone out of service.
"""

CONFIRM_INTERVAL_S = 0.7
"""Interval of confirmations; a changed configuration must be in force within 2 s."""

PROBE_INTERVAL_S = 0.3
"""Interval of probes while the store does not answer."""

EVIDENCE_MARGIN_S = 0.5
"""Deducted from the evidence limit: a request is still processed after its evidence is checked."""


@dataclass(frozen=True, slots=True)
class OperatorKeys:
    """Keys of the store that operators write, and the decoder of the configuration.

    Attributes:
        zones_out_prefix: Prefix of the keys of zones out of service; the zone's name follows.
        decode_error: Exception that `decode_configuration` raises for an invalid value.
    """

    configuration_key: str
    zones_out_prefix: str
    decode_configuration: Callable[[bytes], ClusterConfiguration]
    decode_error: type[Exception]


class OperatorWatch:
    """Keeps the newest configuration and the zones out of service, and confirms the configuration.

    Args:
        store: The platform's store.
        keys: Keys that operators write.
        now_s: Monotonic clock that includes suspended time.
        evidence_limit_s: Age of the evidence from which the configuration is unconfirmed.

    Attributes:
        on_change: Called after each change of the configuration or the zones.
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
        self._zones_out_revisions: dict[str, int] = {}
        self._zones_known_revision = 0
        self._evidence_sent_s = float("-inf")
        self._confirm_lock = anyio.Lock()
        self._is_store_unavailable = False
        self._recheck_event = anyio.Event()
        self.on_change: Callable[[], None] = lambda: None

    def set_evidence_limit(self, limit_s: float) -> None:
        """Set the age of the evidence from which the configuration is unconfirmed.

        Args:
            limit_s: Limit before `EVIDENCE_MARGIN_S` is deducted.
        """
        self._evidence_limit_s = limit_s - EVIDENCE_MARGIN_S

    @property
    def configuration(self) -> ClusterConfiguration | None:
        """The newest configuration; None before the first was read."""
        return self._configuration

    @property
    def is_confirmed(self) -> bool:
        """Whether the evidence for the configuration is within its limit."""
        return self._now_s() - self._evidence_sent_s < self._evidence_limit_s

    @property
    def evidence_age_s(self) -> float:
        """Time since the newest confirming read was sent; infinite before the first."""
        return self._now_s() - self._evidence_sent_s

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the last call got no response; requests should then be refused without a call."""
        return self._is_store_unavailable

    def report_store_failure(self) -> None:
        """Mark the store as unavailable after a failed call, and check it at once."""
        self._is_store_unavailable = True
        self._recheck_event.set()

    def guards(self) -> dict[str, int]:
        """Return the store condition that fails once the configuration has changed."""
        return {self._keys.configuration_key: self._revision}

    def view(self) -> OperatorView | None:
        """Return the operators' view for the controller; None before the first configuration."""
        if self._configuration is None:
            return None
        return OperatorView(
            self._configuration,
            frozenset(self._zones_out_revisions),
            self._start_guards,
            self._apply_items,
        )

    def _apply_items(self, items: Mapping[str, Item]) -> None:
        for item in items.values():
            # The watch reports the deletion of a key once. A response that was under way meanwhile
            # would set it again, and nothing would clear it.
            is_zone = item.key.startswith(self._keys.zones_out_prefix)
            if not is_zone or item.revision > self._zones_known_revision:
                self._apply(Change(item.key, item.value, item.revision))

    def _start_guards(self, zones: frozenset[str]) -> Mapping[str, int]:
        return self.guards() | {self._keys.zones_out_prefix + zone: 0 for zone in zones}

    async def confirm(self, newer_than_s: float) -> bool:
        """Confirm the configuration with the store unless the evidence is recent enough.

        Args:
            newer_than_s: Earliest send time of the confirming read, by the local clock.

        Returns:
            Whether the evidence is recent enough now.
        """
        if self._evidence_sent_s >= newer_than_s:
            return True
        async with self._confirm_lock:
            if self._evidence_sent_s >= newer_than_s:
                return True
            sent_s = self._now_s()
            try:
                await self._check()
            except StoreCallError as error:
                self._log_stale(error)
                self._is_store_unavailable = True
                return False
            self._is_store_unavailable = False
            self._evidence_sent_s = max(self._evidence_sent_s, sent_s)
            return True

    def _log_stale(self, error: StoreCallError) -> None:
        log_event(
            OPERATOR_VIEW_STALE,
            reason=error.reason,
            evidence_age_s=round(min(self.evidence_age_s, 9999), 2),
        )

    async def _probe(self) -> None:
        """Confirm the configuration as soon as the store answers again.

        The probe reads a key that is always absent: several may be under way at once, and the
        configuration would take a second over a slow link for each of them.
        """
        try:
            await self._store.get(self._keys.zones_out_prefix)
        except StoreCallError as error:
            self._log_stale(error)
            return
        await self.confirm(self._now_s())

    async def _check(self) -> None:
        """Compare revisions in the store, which sends the value only if the revision differs."""
        if not self._revision:
            item = await self._store.get(self._keys.configuration_key)
        else:
            result = await self._store.transact(self.guards())
            if isinstance(result, Committed):
                return
            item = result.items.get(self._keys.configuration_key)
        if item is not None:
            self._apply(Change(item.key, item.value, item.revision))

    async def run(self) -> None:
        """Follow the operators' keys and confirm the configuration regularly; never returns."""
        async with anyio.create_task_group() as group:
            group.start_soon(
                follow_prefix,
                self._store,
                self._keys.zones_out_prefix,
                None,
                ZONES_WATCH_MS,
                0.0,
                self._on_changes,
            )
            while True:
                if self._is_store_unavailable:
                    # Calls that the store has lost time out late, so the next probe does not wait
                    # for them.
                    group.start_soon(self._probe)
                    pause_s = PROBE_INTERVAL_S
                else:
                    await self.confirm(self._now_s() - CONFIRM_INTERVAL_S)
                    pause_s = 0.0 if self._is_store_unavailable else CONFIRM_INTERVAL_S
                self._recheck_event = anyio.Event()
                with anyio.move_on_after(pause_s):
                    await self._recheck_event.wait()

    async def _on_changes(self, batch: ChangeBatch) -> None:
        self._zones_known_revision = max(self._zones_known_revision, batch.revision)
        if batch.is_snapshot:
            present = {change.key for change in batch.changes}
            removed = [
                z
                for z in self._zones_out_revisions
                if self._keys.zones_out_prefix + z not in present
            ]
            for zone in removed:
                del self._zones_out_revisions[zone]
        for change in batch.changes:
            self._apply(change)

    def _apply(self, change: Change) -> None:
        if change.key.startswith(self._keys.zones_out_prefix):
            zone = change.key[len(self._keys.zones_out_prefix) :]
            if change.value is None:
                self._zones_out_revisions.pop(zone, None)
            else:
                self._zones_out_revisions[zone] = change.revision
            log_event(OPERATOR_VIEW_APPLIED, zones_out=sorted(self._zones_out_revisions))
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
