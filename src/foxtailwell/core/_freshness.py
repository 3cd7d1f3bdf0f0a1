"""Evidence that the configuration of a process is current, and the rule for starting tasks.

A process that cannot reach the store may miss that a zone was taken out of service. It therefore
starts tasks only while it has recent evidence that its configuration is current. The evidence comes
from responses of the store and from peers. All times are readings of the local monotonic clock, so
the rule does not depend on synchronised clocks.
"""

from __future__ import annotations

from dataclasses import dataclass

EVIDENCE_LIMIT_S = 3.0
"""Maximum age of the evidence with which a task may start."""

PREPARATION_LIMIT_S = 2.0
"""Validity of a task's preparation by the worker's clock. Together with `EVIDENCE_LIMIT_S` it
guarantees that no task starts later than 5 s after its zone was taken out of service."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """Latest time at which a configuration is known to have been current.

    Attributes:
        revision: Revision that was current.
        at_monotonic_s: The time on the local monotonic clock.
    """

    revision: int
    at_monotonic_s: float


def evidence_from_store(revision: int, sent_at_s: float) -> Evidence:
    """Return the evidence from a response of the store.

    Args:
        revision: Revision in the response.
        sent_at_s: When the call was sent. The time of arrival would make the evidence look newer
            than it is by the delay of the response.
    """
    return Evidence(revision, sent_at_s)


def evidence_from_peer(revision: int, age_s: float, sent_at_s: float) -> Evidence:
    """Return the evidence from a reply of a peer.

    Args:
        revision: Revision that the peer uses.
        age_s: Age of the peer's evidence when it replied.
        sent_at_s: When the query was sent, so that network delay can only make the evidence older.
    """
    return Evidence(revision, sent_at_s - age_s)


def newer_evidence(
    current: Evidence | None, offered: Evidence, own_revision: int
) -> Evidence | None:
    """Return the newer of two pieces of evidence.

    Args:
        current: Evidence so far.
        offered: New evidence. It is ignored when it is for a later revision than `own_revision`,
            since it does not show that the older configuration is current.
        own_revision: Revision of the configuration that this process uses.
    """
    if offered.revision > own_revision:
        return current
    if current is None or offered.at_monotonic_s > current.at_monotonic_s:
        return offered
    return current


def may_start(evidence: Evidence | None, now_s: float, is_zone_out: bool) -> bool:
    """Return whether a task may start at a time in a zone that may be out of service."""
    if is_zone_out or evidence is None:
        return False
    return now_s - evidence.at_monotonic_s <= EVIDENCE_LIMIT_S
