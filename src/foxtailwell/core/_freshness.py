"""Evidence that a daemon's configuration was current, and the rule for starting tasks.

All times are readings of the local monotonic clock, so no synchronised clocks are needed.
"""

from __future__ import annotations

from dataclasses import dataclass

EVIDENCE_LIMIT_S = 3.0
"""Oldest evidence with which a task may start."""

PREPARATION_LIMIT_S = 2.0
"""Validity of a preparation by the worker's clock; with the evidence limit it bounds
the time from a zone-out to the last start to 5 s."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """The newest moment at which the configuration is known to have been current."""

    revision: int
    at_monotonic_s: float


def evidence_from_store(revision: int, sent_at_s: float) -> Evidence:
    """Return the evidence that a response of the store gives.

    Args:
        revision: Revision in the response.
        sent_at_s: When the call was sent. The time of arrival would count the delay of the
            response as freshness.
    """
    return Evidence(revision, sent_at_s)


def evidence_from_peer(revision: int, age_s: float, sent_at_s: float) -> Evidence:
    """Return the evidence that a peer's reply gives.

    Args:
        revision: Revision that the peer runs.
        age_s: Age of the peer's evidence when it replied.
        sent_at_s: When the question was sent, so that delay only makes evidence older.
    """
    return Evidence(revision, sent_at_s - age_s)


def newer_evidence(
    current: Evidence | None, offered: Evidence, own_revision: int
) -> Evidence | None:
    """Return the evidence to keep.

    Evidence counts only for a daemon that runs at least the revision it speaks of.
    """
    if offered.revision > own_revision:
        return current
    if current is None or offered.at_monotonic_s > current.at_monotonic_s:
        return offered
    return current


def may_start(evidence: Evidence | None, now_s: float, is_zone_out: bool) -> bool:
    """Return whether a task may start in a zone now."""
    if is_zone_out or evidence is None:
        return False
    return now_s - evidence.at_monotonic_s <= EVIDENCE_LIMIT_S
