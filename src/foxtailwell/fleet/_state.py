"""State of the fleet tasks and the rules by which store and peer messages update the view.

A configuration comes into force only if its revision is higher than the current one, whatever its
source. Evidence for a higher revision than the one in force is ignored. The functions do no network
I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import Literal

from foxtailwell.adapters import events
from foxtailwell.adapters.documents import decode_document, encode_document
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.peers import Heartbeat, HeartbeatReply, Load
from foxtailwell.core import (
    EVIDENCE_LIMIT_S,
    Configuration,
    Evidence,
    InstanceRecord,
    Role,
    evidence_from_peer,
    evidence_from_store,
    newer_evidence,
)
from foxtailwell.core.errors import DocumentError, UnsupportedSchemaError
from foxtailwell.fleet._view import FleetView, PeerState

PEER_ROLES: tuple[Role, ...] = ("entry", "scheduler")
PEER_TIMEOUT_S = 5.0
"""Time without a heartbeat reply until a peer is removed from the view."""

Adoption = Literal["adopted", "not_newer", "unreadable"]


@dataclass(slots=True)
class FleetState:
    """State shared by the fleet tasks of one daemon.

    Attributes:
        view: View that the other tasks read.
        document: Encoded configuration in force. Peers get these bytes unchanged, so fields that
            this release does not know are kept.
        store_revision: Configuration revision that the store holds; None while it is unknown or
            the document is unreadable.
        refused_document: Hash of the last unreadable document, so that it is logged only once.
        loads: Last load that each listed peer reported.
    """

    view: FleetView
    document: bytes
    store_revision: int | None = None
    refused_document: int = 0
    loads: dict[str, Load] = field(default_factory=dict)


def make_fleet_state(view: FleetView) -> FleetState:
    """Return the state of a daemon that has received no message yet."""
    return FleetState(view, encode_document(view.configuration).encode())


def adopt_document(state: FleetState, document: bytes, source: str) -> tuple[Adoption, int]:
    """Put a configuration into force if its revision is higher than the one in force.

    Args:
        state: State to update.
        document: Encoded configuration.
        source: `store` or `peer`, for the log.

    Returns:
        The outcome, and the revision of the document (0 if it is unreadable).
    """
    try:
        configuration = decode_document(document, Configuration)
    except (UnsupportedSchemaError, DocumentError) as error:
        return _refuse_document(state, document, source, error)
    if configuration.revision <= state.view.configuration.revision:
        return "not_newer", configuration.revision
    state.document = document
    state.view.configuration = configuration
    log_event(events.CONFIGURATION_APPLIED, revision=configuration.revision, source=source)
    state.view.notify()
    return "adopted", configuration.revision


def _refuse_document(
    state: FleetState, document: bytes, source: str, error: Exception
) -> tuple[Adoption, int]:
    if hash(document) != state.refused_document:
        state.refused_document = hash(document)
        log_event(events.CONFIGURATION_UNREADABLE, source=source, cause=str(error))
    return "unreadable", 0


def handle_store_document(state: FleetState, document: bytes | None, *, is_complete: bool) -> None:
    """Process the configuration document that a watch of the store returned.

    Args:
        state: State to update.
        document: Encoded configuration; None if the store holds none.
        is_complete: Whether the watch read the store from the start. Only then does an older
            revision mean that the store was restored, and is logged; otherwise a peer may have
            relayed the newer one before the watch returned.
    """
    adoption, revision = adopt_document(state, document, "store") if document else ("none", 0)
    state.store_revision = None if adoption == "unreadable" else revision
    in_force = state.view.configuration.revision
    if is_complete and adoption != "unreadable" and revision < in_force:
        log_event(events.CONFIGURATION_OLDER, store_revision=revision, revision=in_force)


def handle_store_reply(state: FleetState, sent_at_s: float, now_s: float) -> None:
    """Record evidence from a watch reply if the store holds the configuration in force.

    The revisions differ while the store holds a newer document that this release cannot read, or
    an older one after it was restored. Such replies give no evidence.

    Args:
        state: State to update.
        sent_at_s: Monotonic time at which the watch was sent.
        now_s: Current monotonic time.
    """
    view = state.view
    if state.store_revision == view.configuration.revision:
        update_evidence(view, evidence_from_store(view.configuration.revision, sent_at_s), now_s)


def update_evidence(view: FleetView, offered: Evidence, now_s: float) -> None:
    """Keep the offered evidence if it is newer, and wake waiting tasks if the old one was stale.

    Tasks wait on stale evidence because it blocks the start of tasks on workers.
    """
    current = view.evidence
    view.evidence = newer_evidence(current, offered, view.configuration.revision)
    was_stale = current is None or now_s - current.at_monotonic_s > EVIDENCE_LIMIT_S
    if was_stale and view.evidence is not current:
        view.notify()


def make_reply(view: FleetView, now_s: float) -> HeartbeatReply:
    """Return the reply to a heartbeat, with the age of the evidence rounded up to whole ms.

    Rounding up ensures that the receiver never takes the evidence for fresher than it is.
    """
    evidence = view.evidence
    if evidence is None:
        return HeartbeatReply(view.own_id, view.configuration.revision, False, 0, 0)
    age_ms = max(0, math.ceil((now_s - evidence.at_monotonic_s) * 1000))
    return HeartbeatReply(view.own_id, view.configuration.revision, True, evidence.revision, age_ms)


def handle_peer_reply(
    state: FleetState,
    record: InstanceRecord,
    reply: HeartbeatReply,
    sent_at_s: float,
    now_s: float,
) -> None:
    """Update the peer's state and the evidence from a heartbeat reply.

    Args:
        state: State to update.
        record: Record of the peer in the instance list, or one made from a seed address.
        reply: The reply.
        sent_at_s: Monotonic time at which the heartbeat was sent.
        now_s: Current monotonic time.
    """
    view = state.view
    is_new = record.id not in view.peers
    load = state.loads.get(record.id, reply.load)
    view.peers[record.id] = PeerState(record, reply.revision, load, now_s)
    if reply.has_evidence:
        age_s = reply.evidence_age_ms / 1000
        update_evidence(view, evidence_from_peer(reply.evidence_revision, age_s, sent_at_s), now_s)
    if is_new:
        log_event(events.PEER_REACHED, peer=record.id)
        view.notify()


def handle_peer_heartbeat(state: FleetState, heartbeat: Heartbeat, now_s: float) -> None:
    """Store the load and the evidence against requests that a peer's heartbeat reports.

    A listed peer need not have replied yet; the heartbeats of others are ignored.
    """
    instance, load = heartbeat.instance, heartbeat.load
    is_listed = instance in state.view.instances
    if is_listed:
        state.loads[instance] = load
    peer = state.view.peers.get(instance)
    if peer is not None:
        state.view.peers[instance] = replace(peer, load=load)
    if is_listed or peer is not None:
        state.view.suspects.merge(heartbeat.losses, now_s)


def remove_unresponsive_peers(state: FleetState, now_s: float) -> None:
    """Remove the peers whose last reply is older than `PEER_TIMEOUT_S`."""
    view = state.view
    unresponsive = [
        name
        for name, peer in view.peers.items()
        if now_s - peer.last_reply_monotonic_s > PEER_TIMEOUT_S
    ]
    for name in unresponsive:
        del view.peers[name]
        state.loads.pop(name, None)
        log_event(events.PEER_LOST, peer=name)
    if unresponsive:
        view.notify()


def listed_peers(view: FleetView) -> dict[str, InstanceRecord]:
    """Return the entries and schedulers of the instance list by identifier, without this daemon."""
    return {
        name: record
        for name, record in view.instances.items()
        if record.role in PEER_ROLES and name != view.own_id
    }
