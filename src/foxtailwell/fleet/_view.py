"""The state that the fleet tasks own and the other tasks of a daemon read."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from foxtailwell.adapters.peers import ClaimAnswer, ClaimQuery, Load
from foxtailwell.core import Configuration, Evidence, InstanceRecord

ISOLATION_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class PeerState:
    """What is known of one own daemon.

    Attributes:
        record: Entry of the instance list.
        revision: Configuration revision that it runs.
        load: Load that it last reported.
        last_reply_monotonic_s: When it last replied.
    """

    record: InstanceRecord
    revision: int
    load: Load
    last_reply_monotonic_s: float


@dataclass(slots=True)
class FleetView:
    """Current view of the fleet. Only the fleet tasks write it.

    Attributes:
        configuration: Configuration in force; its revision never falls.
        evidence: Newest evidence that the configuration was current.
        instances: Instance list by identifier, own daemons included.
        peers: Own daemons that replied within the last seconds, by identifier.
        own_id: Identifier of this daemon, `<instance>/<role>`.
        is_store_available: Whether the last store call was answered.
        peer_bytes_sent: Bytes sent to peers so far.
        instance_list_bytes_sent: Bytes sent to the instance list so far.
        frames_refused: Messages of peers that were refused so far.
        own_load: Load that heartbeats report; the entry's queue task sets it.
        query_claim: Sends a claim query to a peer by its identifier; None where it does not reply.
        changed: Replaced and set whenever the view changes.
    """

    configuration: Configuration = field(default_factory=Configuration)
    evidence: Evidence | None = None
    instances: dict[str, InstanceRecord] = field(default_factory=dict)
    peers: dict[str, PeerState] = field(default_factory=dict)
    own_id: str = ""
    is_store_available: bool = False
    peer_bytes_sent: int = 0
    instance_list_bytes_sent: int = 0
    frames_refused: int = 0
    own_load: Load = field(default_factory=Load)
    query_claim: Callable[[str, ClaimQuery], Awaitable[ClaimAnswer | None]] | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)

    def is_isolated(self, now_s: float) -> bool:
        """Return whether neither the store nor a daemon of another instance replied lately.

        An isolated daemon could not learn that a zone was taken out. Daemons of the same instance
        share its links, so they are no contact with the fleet.
        """
        limit_s = now_s - ISOLATION_TIMEOUT_S
        has_store = self.evidence is not None and self.evidence.at_monotonic_s >= limit_s
        own = self.own_id.partition("/")[0] + "/"
        others = (p for i, p in self.peers.items() if not i.startswith(own))
        return not has_store and all(p.last_reply_monotonic_s < limit_s for p in others)

    def notify(self) -> None:
        """Wake the tasks that wait for a change of the view."""
        self.changed.set()
        self.changed = anyio.Event()
