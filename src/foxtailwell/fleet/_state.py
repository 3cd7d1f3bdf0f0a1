"""Rules by which the fleet tasks change the view: configuration and evidence."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import Literal

from foxtailwell.adapters import events
from foxtailwell.adapters.documents import decode_document, encode_document
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.peers import HeartbeatReply, Load
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

OWN_ROLES: tuple[Role, ...] = ("entry", "scheduler")
PEER_LIMIT_S = 5.0
"""A peer without a reply for this long is not listed."""

Adoption = Literal["adopted", "not_newer", "unreadable"]


@dataclass(slots=True)
class FleetState:
    """What the fleet tasks keep besides the view.

    Attributes:
        view: View that the other tasks read.
        document: Configuration in force as it was written, so that relaying it loses no field
            that this release does not know.
        store_revision: Revision of the document that the store holds; None while it is unknown
            or unreadable.
        refused_document: Hash of the last unreadable document, which is logged once.
        loads: Last load that each peer reported.
    """

    view: FleetView
    document: bytes
    store_revision: int | None = None
    refused_document: int = 0
    loads: dict[str, Load] = field(default_factory=dict)


def make_fleet_state(view: FleetView) -> FleetState:
    """Return the state at the start of a daemon."""
    return FleetState(view, encode_document(view.configuration).encode())


def adopt_document(state: FleetState, document: bytes, source: str) -> tuple[Adoption, int]:
    """Put a configuration into force if its revision is higher than the one in force.

    Args:
        state: State to change.
        document: Encoded configuration.
        source: Where it came from, for the log.

    Returns:
        What was done, and the revision of the document (0 when it is unreadable).
    """
    try:
        configuration = decode_document(document, Configuration)
    except (UnsupportedSchemaError, DocumentError, RecursionError) as error:
        return _refuse(state, document, source, error)
    if configuration.revision <= state.view.configuration.revision:
        return "not_newer", configuration.revision
    state.document = document
    state.view.configuration = configuration
    log_event(events.CONFIGURATION_APPLIED, revision=configuration.revision, source=source)
    state.view.notify()
    return "adopted", configuration.revision


def _refuse(
    state: FleetState, document: bytes, source: str, error: Exception
) -> tuple[Adoption, int]:
    if hash(document) != state.refused_document:
        state.refused_document = hash(document)
        log_event(events.CONFIGURATION_UNREADABLE, source=source, cause=str(error))
    return "unreadable", 0


def note_store_document(state: FleetState, document: bytes | None, *, is_complete: bool) -> None:
    """Take the document that the store holds now.

    Args:
        state: State to change.
        document: Encoded configuration, None where the store holds none.
        is_complete: Whether the store was read from the start. Only then is an older document a
            restored store; otherwise a peer relayed the newer one before the watch returned.
    """
    adoption, revision = adopt_document(state, document, "store") if document else ("none", 0)
    state.store_revision = None if adoption == "unreadable" else revision
    in_force = state.view.configuration.revision
    if is_complete and adoption != "unreadable" and revision < in_force:
        log_event(events.CONFIGURATION_OLDER, store_revision=revision, revision=in_force)


def note_store_reply(state: FleetState, sent_at_s: float, now_s: float) -> None:
    """Take a reply of the store to a call that confirms the current configuration.

    No evidence arises while the store holds a document that is not the one in force: a newer one
    that this release cannot read, or an older one after the store was restored.
    """
    view = state.view
    if state.store_revision == view.configuration.revision:
        offer_evidence(view, evidence_from_store(view.configuration.revision, sent_at_s), now_s)


def offer_evidence(view: FleetView, offered: Evidence, now_s: float) -> None:
    """Keep the evidence if it is newer; wake waiting tasks when starts become possible."""
    current = view.evidence
    view.evidence = newer_evidence(current, offered, view.configuration.revision)
    was_stale = current is None or now_s - current.at_monotonic_s > EVIDENCE_LIMIT_S
    if was_stale and view.evidence is not current:
        view.notify()


def make_reply(view: FleetView, now_s: float) -> HeartbeatReply:
    """Return the reply to a heartbeat. The age is rounded up so that it never looks fresher."""
    evidence = view.evidence
    if evidence is None:
        return HeartbeatReply(view.own_id, view.configuration.revision, False, 0, 0)
    age_ms = max(0, math.ceil((now_s - evidence.at_monotonic_s) * 1000))
    return HeartbeatReply(view.own_id, view.configuration.revision, True, evidence.revision, age_ms)


def note_peer_reply(
    state: FleetState,
    record: InstanceRecord,
    reply: HeartbeatReply,
    sent_at_s: float,
    now_s: float,
) -> None:
    """Take a peer's reply to the heartbeat that was sent at a time."""
    view = state.view
    is_new = record.id not in view.peers
    load = state.loads.get(record.id, reply.load)
    view.peers[record.id] = PeerState(record, reply.revision, load, now_s)
    if reply.has_evidence:
        age_s = reply.evidence_age_ms / 1000
        offer_evidence(view, evidence_from_peer(reply.evidence_revision, age_s, sent_at_s), now_s)
    if is_new:
        log_event(events.PEER_REACHED, peer=record.id)
        view.notify()


def note_peer_load(state: FleetState, instance: str, load: Load) -> None:
    """Take the load that a listed peer reports in its heartbeat."""
    if instance in state.view.instances:
        state.loads[instance] = load
    peer = state.view.peers.get(instance)
    if peer is not None:
        state.view.peers[instance] = replace(peer, load=load)


def forget_silent_peers(state: FleetState, now_s: float) -> None:
    """Remove the peers that did not reply lately."""
    view = state.view
    silent = [
        name
        for name, peer in view.peers.items()
        if now_s - peer.last_reply_monotonic_s > PEER_LIMIT_S
    ]
    for name in silent:
        del view.peers[name]
        state.loads.pop(name, None)
        log_event(events.PEER_LOST, peer=name)
    if silent:
        view.notify()


def listed_peers(view: FleetView) -> dict[str, InstanceRecord]:
    """Return the other own daemons of the instance list."""
    return {
        name: record
        for name, record in view.instances.items()
        if record.role in OWN_ROLES and name != view.own_id
    }
