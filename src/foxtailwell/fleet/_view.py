"""View of the fleet: written by the fleet tasks, read by the other tasks of a daemon.

`FleetView` here belongs to the model of `core`, `entry` and `scheduler`; `workflows` has another
class of that name.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import anyio

from foxtailwell.adapters.peers import ClaimQuery, ClaimReply, Load
from foxtailwell.core import Configuration, Evidence, InstanceRecord, SuspectRequests

ISOLATION_TIMEOUT_S = 5.0
"""Time without a reply from the store or from another instance until a daemon is isolated."""


@dataclass(frozen=True, slots=True)
class PeerState:
    """State of a peer as of its last heartbeat reply.

    Attributes:
        record: Its record in the instance list.
        revision: Configuration revision in force there.
        load: Load that it last reported.
        last_reply_monotonic_s: Local monotonic time of its last reply.
    """

    record: InstanceRecord
    revision: int
    load: Load
    last_reply_monotonic_s: float


@dataclass(slots=True)
class FleetView:
    """What a daemon knows of the fleet.

    Only the fleet tasks write it, except for `own_load` and `suspects`.

    Attributes:
        configuration: Configuration in force; its revision never decreases.
        evidence: Newest evidence that the configuration was current.
        instances: Instance list by identifier, including this daemon.
        unreadable_instances: Identifiers of the listed instances whose records cannot be used. An
            empty one stands for a record whose identifier cannot be read.
        peers: Peers that replied to a recent heartbeat, by identifier.
        own_id: Identifier of this daemon, `<instance>/<role>`.
        is_store_available: Whether the last watch of the store got a response.
        peer_bytes_sent: Bytes sent to peers since the start.
        instance_list_bytes_sent: Bytes sent to the instance list since the start.
        frames_refused: Messages of peers that were refused since the start.
        own_load: Load that heartbeats report; the entry's queue task sets it.
        suspects: Evidence against requests; the entry records it, and heartbeats exchange it.
        query_claim: Sends a claim query to a peer and returns its response, or None if the peer is
            unknown or does not respond; None itself until the peer server listens.
        changed: Set and replaced by a new event whenever the view changes.
    """

    configuration: Configuration = field(default_factory=Configuration)
    evidence: Evidence | None = None
    instances: dict[str, InstanceRecord] = field(default_factory=dict)
    unreadable_instances: frozenset[str] = frozenset()
    peers: dict[str, PeerState] = field(default_factory=dict)
    own_id: str = ""
    is_store_available: bool = False
    peer_bytes_sent: int = 0
    instance_list_bytes_sent: int = 0
    frames_refused: int = 0
    own_load: Load = field(default_factory=Load)
    suspects: SuspectRequests = field(default_factory=SuspectRequests)
    query_claim: Callable[[str, ClaimQuery], Awaitable[ClaimReply | None]] | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)

    def is_isolated(self, now_s: float) -> bool:
        """Return whether the daemon has lost contact with the store and all other instances.

        An isolated daemon cannot learn that a zone was taken out of service. Daemons on the same
        instance share its network links, so their replies do not count.
        """
        oldest_s = now_s - ISOLATION_TIMEOUT_S
        has_recent_evidence = self.evidence is not None and self.evidence.at_monotonic_s >= oldest_s
        own_prefix = self.own_id.partition("/")[0] + "/"
        others = (p for i, p in self.peers.items() if not i.startswith(own_prefix))
        return not has_recent_evidence and all(p.last_reply_monotonic_s < oldest_s for p in others)

    def removed_instances(self, names: Iterable[str]) -> frozenset[str]:
        """Return those of the named instances that the instance list no longer has.

        An empty list was not read yet, and a record without a readable identifier may be the one
        of any instance.
        """
        if not self.instances or "" in self.unreadable_instances:
            return frozenset()
        return frozenset(names) - self.instances.keys() - self.unreadable_instances

    def notify(self) -> None:
        """Wake the tasks that wait on `changed`."""
        self.changed.set()
        self.changed = anyio.Event()
